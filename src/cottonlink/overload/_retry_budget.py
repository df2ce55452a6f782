"""Retry budget of each service, kept by every node without shared state.

Used when a service fails or turns away a part of its calls and every node would send them again.
Each node may retry a share of its own first sends, and has its part of a fixed allowance, so that
the sum over all nodes stays within the fleet-wide bound wherever the traffic enters.

A request that needs several calls succeeds only if all of them do, so while the budget is scarce it
goes to important requests, and to those that need few more calls. What important requests are
likely to ask for is set aside before others may use the rest.

In a large fleet the part of one node is a fraction of a retry. Each node rounds it up or down at
random, so that the sum over all nodes is what the fleet may use.

While several organisations ask for retries, each may use at most its max-min share of what the node
may use, so that the failures of one leave retries for the others. Fractions of a retry are rounded
at random there, too: of a single retry the one that asks first would otherwise get all.
"""

from __future__ import annotations

import math
import random
from collections import deque

import xxhash
from attrs import define, field

from cottonlink.organisations import FairShare, make_fair_share

# Width of the buckets that make up the sliding window.
BUCKET_MS = 500.0
# Part of the bound that retries to a service whose targets make no calls may use, for requests of
# rank 0, by the number of calls that a request still needs, from one on. The rest is for the calls
# of runs that are retries themselves.
TOP_RANK_LEAF_SHARES = (0.75, 0.75, 0.7, 0.6)
# The same for all other requests together.
LEAF_SHARES = (0.45, 0.4, 0.3, 0.2)
# The same for all requests where targets make calls: every call that a retried run makes counts as
# a retry at the services below, and the retries of several levels add up there.
NON_LEAF_SHARE = 0.12
# Time over which the demand of requests of rank 0 is measured.
DEMAND_MS = 2_000.0
# Calls that a request still needs, if that isn't known.
UNKNOWN_CALLS_LEFT = 2
# Weight below which an organisation's requests for retries no longer count: that of one at the
# start of the window.
MIN_ASKED = math.exp(-1.0)


@define
class _Bucket:
    started_ms: float
    first_sends: int = 0
    retries: int = 0
    # Retries of requests below rank 0, as far as they are known to be.
    other_retries: int = 0
    # Retries that requests of rank 0 asked for, whether or not they were allowed.
    top_rank_demand: int = 0


@define
class _ServiceWindow:
    """The buckets of two windows; ``rounding`` decides whether a part of a retry is rounded up."""

    buckets: deque[_Bucket] = field(factory=deque)
    rounding: float = 0.0
    rounded_at_ms: float = float("-inf")
    # None until an organisation asks for a retry.
    fair_share: FairShare | None = None


class RetryBudget:
    """First sends and retries of one node, by service, over a sliding window."""

    def __init__(
        self, ratio: float, allowance: float, window_ms: float, rng: random.Random
    ) -> None:
        self._ratio = ratio
        self._allowance = allowance
        self._window_ms = window_ms
        self._rng = rng
        self._node_count = 1
        self._services: dict[str, _ServiceWindow] = {}

    def set_node_count(self, count: int) -> None:
        """Divide the fixed allowance among ``count`` nodes."""
        self._node_count = max(1, count)

    def record_first_send(self, service: str, now_ms: float) -> None:
        """Record that a call was sent to ``service`` for the first time."""
        self._current_bucket(service, now_ms).first_sends += 1

    def record_retry(
        self, service: str, now_ms: float, *, rank: int = 0, organisation: str = ""
    ) -> None:
        """Record that a call was sent again, or that a retried request made it."""
        bucket = self._current_bucket(service, now_ms)
        bucket.retries += 1
        bucket.other_retries += rank > 0
        fair_share = self._fair_share(service, organisation)
        if fair_share is not None:
            fair_share.record_given(organisation, now_ms)

    def allows(
        self,
        service: str,
        now_ms: float,
        *,
        is_leaf: bool,
        rank: int = 1,
        calls_left: int = UNKNOWN_CALLS_LEFT,
        organisation: str = "",
    ) -> bool:
        """Count a call that should be retried; return whether it may be.

        This holds while retries are within this node's part of the bound, and those of
        ``organisation`` within its share if several ask for some.

        ``is_leaf`` is whether the targets of ``service`` make no calls of their own, ``rank`` the
        importance of the request, 0 being the highest, and ``calls_left`` the number of calls that
        it needs before it can be answered, this one included.
        """
        bucket = self._current_bucket(service, now_ms)
        bucket.top_rank_demand += rank == 0
        fair_share = self._fair_share(service, organisation)
        if fair_share is not None:
            fair_share.record_asked(organisation, now_ms)
        state = self._services[service]
        if now_ms - state.rounded_at_ms >= self._window_ms:
            # Drawn once a window: a node that drew for each call would round up before long.
            state.rounding, state.rounded_at_ms = self._rng.random(), now_ms
        bound = self._ratio * self._first_sends(state, now_ms) + self._allowance / self._node_count
        recent = [b for b in state.buckets if b.started_ms > now_ms - self._window_ms]
        share = _share(is_leaf=is_leaf, rank=rank, calls_left=calls_left)
        if sum(b.retries for b in recent) + state.rounding >= share * bound:
            return False
        if fair_share is not None:
            retries = math.ceil(share * bound - state.rounding)
            allowed = fair_share.share(retries, now_ms)
            used = fair_share.given(organisation, now_ms)
            if used + _rounding(organisation, state.rounding) >= allowed:
                return False
        if rank == 0 or not is_leaf:
            return True
        demand = sum(b.top_rank_demand for b in recent if b.started_ms > now_ms - DEMAND_MS)
        set_aside = demand * self._window_ms / DEMAND_MS
        rest = TOP_RANK_LEAF_SHARES[0] * bound - set_aside
        return sum(b.other_retries for b in recent) + state.rounding < rest

    def _fair_share(self, service: str, organisation: str) -> FairShare | None:
        state = self._services[service]
        if organisation and state.fair_share is None:
            # The counts then stand for about one window.
            half_life_ms = self._window_ms * math.log(2)
            state.fair_share = make_fair_share(half_life_ms, MIN_ASKED)
        return state.fair_share

    def _first_sends(self, state: _ServiceWindow, now_ms: float) -> int:
        """Return the first sends in this window, or in that half a window or a window ago.

        The largest counts, as in the bound: where requests end early because their calls fail,
        fewer calls are made than before.
        """
        return max(
            sum(
                bucket.first_sends
                for bucket in state.buckets
                if ended_ms - self._window_ms < bucket.started_ms <= ended_ms
            )
            for ended_ms in (now_ms, now_ms - self._window_ms / 2, now_ms - self._window_ms)
        )

    def _current_bucket(self, service: str, now_ms: float) -> _Bucket:
        state = self._services.setdefault(service, _ServiceWindow())
        buckets = state.buckets
        while buckets and buckets[0].started_ms <= now_ms - 2 * self._window_ms:
            buckets.popleft()
        if not buckets or now_ms - buckets[-1].started_ms >= BUCKET_MS:
            buckets.append(_Bucket(now_ms))
        return buckets[-1]


def _share(*, is_leaf: bool, rank: int, calls_left: int) -> float:
    if not is_leaf:
        return NON_LEAF_SHARE
    shares = TOP_RANK_LEAF_SHARES if rank == 0 else LEAF_SHARES
    return shares[min(max(calls_left, 1), len(shares)) - 1]


def _rounding(organisation: str, rounding: float) -> float:
    """Return a number from 0 to 0.5 that is drawn for each organisation along with ``rounding``.

    Numbers up to 1 left a third of the budget of ten nodes unused, since retries of the window
    before still count in part.
    """
    return xxhash.xxh3_64_intdigest(f"{organisation}\0{rounding}".encode()) / 2**65


def make_retry_budget(
    ratio: float, allowance: float, window_ms: float, rng: random.Random
) -> RetryBudget:
    """Return a budget for a fleet-wide bound on retries in any ``window_ms``.

    The bound is ``ratio`` times the first sends in the window, plus ``allowance`` retries.
    """
    return RetryBudget(ratio, allowance, window_ms, rng)
