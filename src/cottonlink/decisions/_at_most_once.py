"""At-most-once execution: permits and runs at their owner, and bindings of child calls.

The owner of an idempotency key is the node that issues permits for it. An operation is the work
that is requested with one key. A registry belongs to one incarnation (process) of a node and is
lost with it. A permit is accepted for one run, only by the incarnation that issued it. Times are
monotonic milliseconds of that node.
"""

from __future__ import annotations

import collections
import enum
import heapq

from attrs import define, field, frozen

from cottonlink.decisions._permits import Permit, digest_key, sign_permit, verify_permit
from cottonlink.errors import Executed

PERMIT_LIFETIME_MS = 60_000
RECORD_RETENTION_MS = 120_000
# For this time after a node became the owner of a key, an earlier owner may still have run the
# operation.
NEW_OWNER_PERIOD_MS = 120_000
RECORD_LIMIT = 8_192
BINDINGS_PER_RUN = 64

# The whole process may use 128 MB, and a record may hold an answer as large as the body limit.
ANSWER_BYTES_LIMIT = 16 * 1024 * 1024

# The connection limits of the listeners keep the runs in progress far below this; it only guards
# against runs that are never closed.
BOUND_RUNS_LIMIT = 4_096


@frozen
class StoredAnswer:
    """The complete answer of a finished run."""

    status: int
    headers: tuple[tuple[str, str], ...]
    body: bytes


@frozen
class Issued:
    """A permit was issued. ``executed`` is what the 428 answer may report of the operation.

    It is ``UNKNOWN`` if the owner is new or the permit has already been used, else ``NO``.
    """

    permit: str
    owner_is_new: bool
    executed: Executed = Executed.NO


@frozen
class KeyAlreadyUsed:
    """No permit: a permit of the key has been used. ``code`` is the refusal code of the answer."""

    code: str
    executed: Executed


@frozen
class RegistryFull:
    """No permit: the registry holds its maximum number of records."""


@frozen
class Run:
    """The request may run, once; ``serial`` identifies the run in later calls."""

    serial: int


@frozen
class Attach:
    """The operation is running; the request waits for the result of that run."""

    serial: int


@frozen
class Replay:
    """The operation has finished with this answer."""

    answer: StoredAnswer


@frozen
class Denied:
    """The request must not run. ``code`` is the refusal code of the answer."""

    code: str
    executed: Executed


class _State(enum.Enum):
    ISSUED = enum.auto()
    RUNNING = enum.auto()
    FINISHED = enum.auto()
    REFUSED = enum.auto()
    LOST = enum.auto()


_STARTED_STATES = frozenset({_State.RUNNING, _State.FINISHED, _State.LOST})


@define(eq=False)
class _Record:
    permit: Permit
    text: str
    expires_ms: int
    retained_until_ms: int
    state: _State = _State.ISSUED
    answer: StoredAnswer | None = None


class ExecutionRegistry:
    """Permits issued by one incarnation of a node, and the runs started with them."""

    def __init__(self, node: str, incarnation: str, secret: bytes, now_ms: int) -> None:
        self._node = node
        self._incarnation = incarnation
        self._secret = secret
        self._owner_since_ms = now_ms
        self._last_serial = 0
        self._records: dict[int, _Record] = {}
        self._latest_by_key: dict[str, _Record] = {}
        self._expiries: list[tuple[int, int]] = []
        self._answers: collections.OrderedDict[int, int] = collections.OrderedDict()
        self._answer_bytes = 0

    def __len__(self) -> int:
        return len(self._records)

    def issue(self, key: str, now_ms: int) -> Issued | KeyAlreadyUsed | Replay | RegistryFull:
        """Return a permit for ``key``, or what is known of an earlier run for it."""
        self.expire(now_ms)
        digest = digest_key(key)
        record = self._latest_by_key.get(digest)
        if record is not None:
            self._refuse_if_expired(record, now_ms)
            if record.state is not _State.REFUSED:
                return self._describe_used_key(record, now_ms)
        if len(self._records) >= RECORD_LIMIT:
            # The ingress now asks the next owner in order, so this node no longer sees all uses of
            # its keys.
            self.note_owner_change(now_ms)
            return RegistryFull()
        return self._make_issued(self._reserve(digest, now_ms), now_ms)

    def has_record(self, key: str) -> bool:
        """Return whether ``issue`` can answer for ``key`` without a new permit.

        An owner that is overloaded or leaving issues no new permits, but still answers for these
        keys; otherwise it would report an operation that it ran as not run.
        """
        record = self._latest_by_key.get(digest_key(key))
        return record is not None and record.state is not _State.REFUSED

    def begin(
        self, permit: str, key: str, call_id: str, now_ms: int
    ) -> Run | Attach | Replay | Denied:
        """Decide whether a request with ``permit`` runs, waits, is answered or is denied."""
        content = verify_permit(permit, self._secret)
        record = self._find_record(content, key)
        if record is None:
            return Denied("permit_invalid", Executed.UNKNOWN)
        self._refuse_if_expired(record, now_ms)
        if record.state is _State.REFUSED:
            return self._answer_refused(record)
        if record.state is _State.ISSUED:
            record.state = _State.RUNNING
            return Run(record.permit.serial)
        return self._answer_started(record)

    def refuse(self, serial: int, now_ms: int) -> None:
        """Mark a permit as refused for good: its request certainly did not reach the target."""
        record = self._records.get(serial)
        if record is not None and record.state in (_State.ISSUED, _State.RUNNING):
            self._end(record, _State.REFUSED, now_ms)

    def finish(self, serial: int, answer: StoredAnswer, now_ms: int) -> None:
        """Record that a run has finished, and keep its answer.

        The run may have been marked as lost before.
        """
        record = self._records.get(serial)
        if record is None or record.state is _State.FINISHED:
            return
        self._end(record, _State.FINISHED, now_ms)
        self._store_answer(record, answer)

    def mark_lost(self, serial: int, now_ms: int) -> None:
        """Record that a run has started and that its outcome is unknown."""
        record = self._records.get(serial)
        if record is not None and record.state in (_State.ISSUED, _State.RUNNING):
            self._end(record, _State.LOST, now_ms)

    def note_owner_change(self, now_ms: int) -> None:
        """Record that keys may have had another owner until now."""
        self._owner_since_ms = now_ms

    def expire(self, now_ms: int) -> None:
        """Remove records whose retention has ended; those of runs in progress are kept."""
        while self._expiries and self._expiries[0][0] <= now_ms:
            _, serial = heapq.heappop(self._expiries)
            record = self._records.get(serial)
            # The end of a run schedules a later expiry, so this entry is out of date.
            if record is None or record.state is _State.RUNNING:
                continue
            if record.retained_until_ms <= now_ms:
                self._forget(record)

    def _find_record(self, content: Permit | None, key: str) -> _Record | None:
        if content is None or content.incarnation != self._incarnation:
            return None
        if content.key_digest != digest_key(key):
            return None
        return self._records.get(content.serial)

    def _refuse_if_expired(self, record: _Record, now_ms: int) -> None:
        if record.state is _State.ISSUED and now_ms >= record.expires_ms:
            record.state = _State.REFUSED

    def _describe_used_key(self, record: _Record, now_ms: int) -> Issued | KeyAlreadyUsed | Replay:
        if record.state in (_State.ISSUED, _State.RUNNING):
            return self._make_issued(record, now_ms)
        described = self._answer_started(record)
        if isinstance(described, Denied):
            return KeyAlreadyUsed(described.code, described.executed)
        return described

    def _make_issued(self, record: _Record, now_ms: int) -> Issued:
        is_new_owner = now_ms - self._owner_since_ms < NEW_OWNER_PERIOD_MS
        may_have_run = is_new_owner or record.state is _State.RUNNING
        executed = Executed.UNKNOWN if may_have_run else Executed.NO
        return Issued(record.text, is_new_owner, executed)

    def _reserve(self, digest: str, now_ms: int) -> _Record:
        self._last_serial += 1
        permit = Permit(self._node, self._incarnation, self._last_serial, digest, now_ms)
        expires_ms = now_ms + PERMIT_LIFETIME_MS
        record = _Record(
            permit=permit,
            text=sign_permit(permit, self._secret),
            expires_ms=expires_ms,
            retained_until_ms=expires_ms + RECORD_RETENTION_MS,
        )
        self._records[permit.serial] = record
        self._latest_by_key[digest] = record
        self._schedule_expiry(record)
        return record

    def _answer_refused(self, record: _Record) -> Attach | Replay | Denied:
        # A later permit of the same key may have been used, and then "not run" would be false.
        latest = self._latest_by_key.get(record.permit.key_digest)
        if latest is not None and latest.state in _STARTED_STATES:
            return self._answer_started(latest)
        return Denied("already_refused", Executed.NO)

    def _answer_started(self, record: _Record) -> Attach | Replay | Denied:
        if record.state is _State.RUNNING:
            return Attach(record.permit.serial)
        if record.state is _State.LOST:
            return Denied("execution_unknown", Executed.UNKNOWN)
        if record.answer is None:
            return Denied("already_executed", Executed.YES)
        return Replay(record.answer)

    def _end(self, record: _Record, state: _State, now_ms: int) -> None:
        record.state = state
        record.retained_until_ms = max(record.retained_until_ms, now_ms + RECORD_RETENTION_MS)
        self._schedule_expiry(record)

    def _schedule_expiry(self, record: _Record) -> None:
        heapq.heappush(self._expiries, (record.retained_until_ms, record.permit.serial))

    def _store_answer(self, record: _Record, answer: StoredAnswer) -> None:
        size = len(answer.body) + sum(len(n) + len(v) for n, v in answer.headers)
        record.answer = answer
        self._answers[record.permit.serial] = size
        self._answer_bytes += size
        while self._answer_bytes > ANSWER_BYTES_LIMIT:
            self._drop_answer(next(iter(self._answers)))

    def _drop_answer(self, serial: int) -> None:
        self._answer_bytes -= self._answers.pop(serial)
        self._records[serial].answer = None

    def _forget(self, record: _Record) -> None:
        serial = record.permit.serial
        if serial in self._answers:
            self._drop_answer(serial)
        del self._records[serial]
        if self._latest_by_key.get(record.permit.key_digest) is record:
            del self._latest_by_key[record.permit.key_digest]


def make_execution_registry(
    node: str, incarnation: str, secret: bytes, now_ms: int
) -> ExecutionRegistry:
    """Return the empty registry of a starting node. ``secret`` must not outlive the process."""
    return ExecutionRegistry(node, incarnation, secret, now_ms)


@frozen
class Binding:
    """The only owner incarnation to which calls with a child's key may be sent.

    ``is_new`` is True for the first use of the key in the run.
    """

    owner: str
    incarnation: str
    is_new: bool


@frozen
class BindingsFull:
    """There are too many bindings, of this run or in all; the call must be refused."""


@define
class ChildBindings:
    """Owner incarnations of the non-repeatable calls that runs of the local target make.

    A child is a call that a run makes; ``parent_call`` is the call id of the run.
    """

    _bound: dict[str, dict[str, Binding]] = field(factory=dict, init=False)

    def __len__(self) -> int:
        return len(self._bound)

    def bind(
        self, parent_call: str, key: str, owner: str, incarnation: str
    ) -> Binding | BindingsFull:
        """Bind ``key`` to an owner incarnation on first use; return its binding.

        If the binding names another incarnation than the given one, the call must not be sent.
        """
        if parent_call not in self._bound and len(self._bound) >= BOUND_RUNS_LIMIT:
            return BindingsFull()
        keys = self._bound.setdefault(parent_call, {})
        digest = digest_key(key)
        if digest in keys:
            return keys[digest]
        if len(keys) >= BINDINGS_PER_RUN:
            return BindingsFull()
        keys[digest] = Binding(owner, incarnation, is_new=False)
        return Binding(owner, incarnation, is_new=True)

    def find(self, parent_call: str, key: str) -> Binding | None:
        """Return the binding of ``key`` in a run, or None if the run has not used it yet."""
        return self._bound.get(parent_call, {}).get(digest_key(key))

    def close(self, parent_call: str) -> None:
        """Remove the bindings of a run that has ended."""
        self._bound.pop(parent_call, None)


def make_child_bindings() -> ChildBindings:
    """Return the bindings of a starting node, without entries."""
    return ChildBindings()
