"""Retry budgets of root requests at their home node, and retry rules of an ingress.

A root request is a request from outside; all calls made to serve it carry its id. Its home node is
the one node that counts their retries; all nodes find it by rendezvous hashing. The ingress of a
call is the node that receives it from its caller and forwards it to an upstream. A retry needs a
token from the home node and must not exceed the retry ratio of its upstream. Times are monotonic
milliseconds of the node.
"""

from __future__ import annotations

import collections
import enum
from collections.abc import Iterable

from attrs import define, field, frozen

from cottonlink._hashing import rendezvous_first
from cottonlink.errors import Executed
from cottonlink.policy._records import Policy

# Aggressive callers retry within seconds. As a new home grants no retries for this time, a longer
# one would leave a fleet after a start, or the root requests of a replaced node, without retries
# for longer.
BUDGET_EXPIRY_MS = 60_000
NEW_HOME_PERIOD_MS = BUDGET_EXPIRY_MS
BUDGET_LIMIT = 16_384
REMOVED_LIMIT = 1_024

RATIO_WINDOW_MS = 10_000
_RATIO_SLICE_MS = 1_000


class DrawResult(enum.StrEnum):
    """Whether a retry may be made, or why not."""

    GRANTED = "granted"
    EXHAUSTED = "exhausted"
    HOME_TOO_NEW = "too_young"
    FULL = "full"


@frozen
class Draw:
    """Answer of a home node to a draw; ``remaining`` is the number of tokens left, 0 if unknown."""

    result: DrawResult
    remaining: int


@define
class _Budget:
    spent: int
    last_draw_ms: int


@frozen
class _Removal:
    removed_ms: int
    names: frozenset[str]


class RetryBudgets:
    """Tokens drawn by the root requests whose home node is ``node``."""

    def __init__(self, now_ms: int, node: str) -> None:
        self._node = node
        self._home_since_ms = now_ms
        self._removals: collections.deque[_Removal] = collections.deque()
        # Ordered by last draw, so that expired budgets are found at the front.
        self._budgets: collections.OrderedDict[str, _Budget] = collections.OrderedDict()

    def __len__(self) -> int:
        return len(self._budgets)

    def draw(self, root_id: str, budget: int, now_ms: int) -> Draw:
        """Take one of the ``budget`` tokens of a root request.

        A node that became the home of the root request recently refuses, since an earlier home
        may have granted all tokens.
        """
        self._expire(now_ms)
        if self._is_new_home(root_id, now_ms):
            return Draw(DrawResult.HOME_TOO_NEW, 0)
        entry = self._budgets.get(root_id)
        if entry is None:
            if len(self._budgets) >= BUDGET_LIMIT:
                return Draw(DrawResult.FULL, 0)
            entry = self._budgets[root_id] = _Budget(0, now_ms)
        return self._draw_token(root_id, entry, budget, now_ms)

    def note_home_change(self, now_ms: int, removed: Iterable[str] | None = None) -> None:
        """Record that root requests may have had another home until now.

        ``removed`` names the upstreams that the policy no longer lists, if this node was listed
        before and still is: then it is a new home only for root requests of the removed nodes.
        If ``removed`` is None, it is a new home for all root requests.
        """
        names = None if removed is None else frozenset(removed)
        self._expire(now_ms)
        if names is None or not self._node or self._removed_count() + len(names) > REMOVED_LIMIT:
            self._home_since_ms = now_ms
            self._removals.clear()
        elif names:
            self._removals.append(_Removal(now_ms, names))

    def _is_new_home(self, root_id: str, now_ms: int) -> bool:
        if now_ms - self._home_since_ms < NEW_HOME_PERIOD_MS:
            return True
        removed = frozenset().union(*(removal.names for removal in self._removals))
        # The other listed nodes rank below this one for the root request, so only a removed node
        # can have been its home before.
        return rendezvous_first(root_id, removed | {self._node}) != self._node

    def _removed_count(self) -> int:
        return sum(len(removal.names) for removal in self._removals)

    def _draw_token(self, root_id: str, entry: _Budget, budget: int, now_ms: int) -> Draw:
        # A refused draw also renews the budget's expiry, so that a caller that keeps retrying does
        # not get a second budget.
        entry.last_draw_ms = now_ms
        self._budgets.move_to_end(root_id)
        if entry.spent >= budget:
            return Draw(DrawResult.EXHAUSTED, 0)
        entry.spent += 1
        return Draw(DrawResult.GRANTED, budget - entry.spent)

    def _expire(self, now_ms: int) -> None:
        while self._removals and now_ms - self._removals[0].removed_ms >= NEW_HOME_PERIOD_MS:
            self._removals.popleft()
        while self._budgets:
            root_id, entry = next(iter(self._budgets.items()))
            if now_ms - entry.last_draw_ms < BUDGET_EXPIRY_MS:
                return
            del self._budgets[root_id]


def make_retry_budgets(now_ms: int, node: str = "") -> RetryBudgets:
    """Return the budgets of a starting ``node``, which refuses draws while it is a new home."""
    return RetryBudgets(now_ms, node)


def home_node(root_id: str, policy: Policy) -> str | None:
    """Return the name of the home node of a root request, or None without upstreams."""
    return rendezvous_first(root_id, policy.upstreams_by_name)


@define
class _Slice:
    start_ms: int
    first_attempts: int = 0
    retries: int = 0


@define
class RetryRatio:
    """Limits retries to one upstream to a ratio of the first attempts in the last 10 s.

    One retry per window is always allowed; otherwise an ingress with little traffic to an
    upstream could never retry there.
    """

    ratio: float
    _slices: collections.deque[_Slice] = field(factory=collections.deque, init=False)

    def record_first_attempt(self, now_ms: int) -> None:
        """Count a first attempt."""
        self._current_slice(now_ms).first_attempts += 1

    def record_retry(self, now_ms: int) -> None:
        """Count a retry."""
        self._current_slice(now_ms).retries += 1

    def allows_retry(self, now_ms: int) -> bool:
        """Return whether one more retry stays within the ratio."""
        self._drop_old_slices(now_ms)
        first_attempts = sum(s.first_attempts for s in self._slices)
        retries = sum(s.retries for s in self._slices)
        return retries + 1 <= max(1, self.ratio * first_attempts)

    def _current_slice(self, now_ms: int) -> _Slice:
        self._drop_old_slices(now_ms)
        start_ms = now_ms - now_ms % _RATIO_SLICE_MS
        if not self._slices or self._slices[-1].start_ms < start_ms:
            self._slices.append(_Slice(start_ms))
        return self._slices[-1]

    def _drop_old_slices(self, now_ms: int) -> None:
        while self._slices and now_ms - self._slices[0].start_ms >= RATIO_WINDOW_MS:
            self._slices.popleft()


def make_retry_ratio(ratio: float) -> RetryRatio:
    """Return the retry limit of one upstream."""
    return RetryRatio(ratio)


class RetryAction(enum.StrEnum):
    """What an ingress does after a failed attempt.

    ``REROUTE`` sends the call to another upstream without a token. ``RETRY`` (to another upstream)
    and ``SAME_OWNER`` (to the owner of the permit) need a token each.
    """

    GIVE_UP = "give_up"
    REROUTE = "reroute"
    RETRY = "retry"
    SAME_OWNER = "same_owner"


@frozen
class AttemptFailure:
    """A failed attempt of an ingress.

    ``retried_downstream`` is True if a node nearer to the failure has already retried.
    ``reroutes`` is the number of reroutes of this call so far, which needed no token.
    """

    code: str
    executed: Executed
    retried_downstream: bool = False
    repeatable: bool = True
    has_permit: bool = False
    reroutes: int = 0


# Failures on the path to a target or of the target itself. All others are final: the call would
# fail again, or they report an overload, which retries would make worse.
_RETRIABLE = frozenset(
    {
        "leaving",
        "not_ready",
        "upstream_unreachable",
        "connection_lost",
        "answer_incomplete",
        "answer_mismatch",
        "target_crashed",
    }
)
# The upstream takes no calls at all, so a retry there would fail too. The call reached no target.
_REROUTABLE = frozenset({"leaving", "not_ready", "upstream_unreachable"})
# The owner of a permit may be asked again if its answer was lost, but not if its target crashed.
_RETRIABLE_AT_OWNER = frozenset(
    {"upstream_unreachable", "connection_lost", "answer_incomplete", "answer_mismatch"}
)


def decide_retry(failure: AttemptFailure) -> RetryAction:
    """Return what to do after ``failure``."""
    if failure.retried_downstream:
        return RetryAction.GIVE_UP
    if failure.has_permit:
        may_ask_owner = failure.code in _RETRIABLE_AT_OWNER
        return RetryAction.SAME_OWNER if may_ask_owner else RetryAction.GIVE_UP
    if _may_reroute(failure):
        return RetryAction.REROUTE
    if failure.code not in _RETRIABLE:
        return RetryAction.GIVE_UP
    if failure.repeatable or failure.executed is Executed.NO:
        return RetryAction.RETRY
    return RetryAction.GIVE_UP


def _may_reroute(failure: AttemptFailure) -> bool:
    if failure.reroutes or failure.executed is not Executed.NO:
        return False
    if failure.code in _REROUTABLE:
        return True
    return failure.code == "overloaded" and not failure.repeatable
