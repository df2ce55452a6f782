"""Frames between nodes: MessagePack arrays that begin with a type code.

Many calls share a connection, told apart by stream numbers, so that a call costs no handshake and
few bytes between data centres. Fields are positional: their order and the type codes are the wire
format, which ``_frame_reader`` decodes.
"""

from __future__ import annotations

import math
from functools import singledispatch
from typing import Any

import msgpack

from cottonlink._value_class import value_class
from cottonlink.organisations import QuotaAnswer, QuotaExchange
from cottonlink.overload import QuarantineReport, TargetStart
from cottonlink.path._body import WholeBody
from cottonlink.path._model import Answered, Load, NotRun, OutcomeUnknown, TargetReport


@value_class
class CallFrame:
    """A call for the target next to the receiver.

    ``remaining_ms`` is the time until the deadline, counted from sending, and ``objective_ms``
    bounds the wait for a slot of the target. ``tier`` is 0 for a
    nested call, which a running request makes, and 1 for a new request of a caller. ``is_retry``
    marks a call that was sent before, or that a request makes which is a retry itself.
    """

    stream: int
    upstream_id: str
    caller_service: str
    request_id: bytes
    method: bytes
    target: bytes
    host: bytes
    headers: tuple[tuple[bytes, bytes], ...]
    body: WholeBody
    remaining_ms: int
    objective_ms: int
    tier: int
    rank: int
    is_repeatable: bool
    is_retry: bool
    route: str


@value_class
class LongCallFrame:
    """A call without its body, of ``length`` bytes, which follows in pieces as the peer grants."""

    call: CallFrame
    length: int


@value_class
class LongAnswerFrame:
    """The head of a response whose body follows in pieces, and an EndFrame.

    ``answer`` has an empty body; ``length`` is None if it isn't known.
    """

    stream: int
    answer: Answered
    length: int | None


@value_class
class PieceFrame:
    """The next bytes of a body."""

    stream: int
    data: bytes


@value_class
class CreditFrame:
    """Grants the receiver ``count`` bytes more of a body that it sends."""

    stream: int
    count: int


@value_class
class EndFrame:
    """The end of the body of a response, which is cut short unless ``is_whole``."""

    stream: int
    is_whole: bool


@value_class
class OutcomeFrame:
    """Returns the outcome of a call."""

    stream: int
    outcome: Answered | NotRun | OutcomeUnknown


@value_class
class CancelFrame:
    """Cancels a call because its caller is gone."""

    stream: int


@value_class
class PingFrame:
    """Asks the receiver for a pong, to check that it is alive.

    With the number TAKES_PIECES it also tells that its sender knows the frames for long bodies.
    """

    number: int


@value_class
class PongFrame:
    """Answers a ping with the load of the sender's target.

    With the number SENDS_PIECES it also tells that its sender knows the frames for long bodies;
    earlier builds return the number of the ping.
    """

    number: int
    load: Load


@value_class
class LeavingFrame:
    """The sender is shutting down; ``takes_calls`` tells whether it still runs new calls."""

    takes_calls: bool


@value_class
class QuarantineFrame:
    """Reports requests that crash targets."""

    report: QuarantineReport


@value_class
class TargetsLeavingFrame:
    """Reports targets that have said in a response that they leave."""

    targets: tuple[TargetStart, ...]


@value_class
class TargetLimitFrame:
    """Tells a node of a limit that a response of its target named ``age_ms`` ago."""

    start: TargetStart
    limit_per_s: float
    age_ms: int


@value_class
class CurrencyQuestionFrame:
    """Asks how old the receiver's proof is that its configuration is current.

    ``version`` is that of the sender's configuration.
    """

    number: int
    version: int


@value_class
class CurrencyAnswerFrame:
    """Answers a question; ``age_ms`` is None without a proof.

    ``version`` is that of the sender's configuration.
    """

    number: int
    version: int
    age_ms: int | None


@value_class
class QuotaRequestFrame:
    """Asks the receiver, as the steward of quotas, for tokens; ``node`` is the sender's VM."""

    node: str
    exchange: QuotaExchange


@value_class
class QuotaAnswerFrame:
    """Answers a request for tokens, or a probe."""

    number: int
    answer: QuotaAnswer
    is_probe: bool = False


@value_class
class StoreChangesFrame:
    """Changes of the store after one revision up to another, as (key, revision, value) each.

    ``value`` is None for a removed key. Without items, the frame is a heartbeat of its sender. The
    revisions are of ``era``, None if the sender's build doesn't know eras.
    """

    after: int
    revision: int
    items: tuple[tuple[str, int, bytes | None], ...]
    era: int | None = None


@value_class
class SnapshotRequestFrame:
    """Requests the receiver's copy of the store, if it is later than the sender's.

    ``era`` and ``revision`` are 0 if the sender has none.
    """

    era: int = 0
    revision: int = 0


@value_class
class StoreSnapshotFrame:
    """The sender's copy of the store at a revision, as (key, revision, value) each.

    The revisions are of ``era``, None if the sender's build doesn't know eras.
    """

    revision: int
    items: tuple[tuple[str, int, bytes], ...]
    era: int | None = None

    def is_later_than(self, request: SnapshotRequestFrame) -> bool:
        """Return whether the snapshot tells the sender of ``request`` anything new."""
        return (self.era or 0, self.revision) > (request.era, request.revision)


# Key of an item that is not of the store and carries the era in place of a revision. Earlier builds
# refuse frames with further fields, but ignore items with unknown keys; as a removed item it isn't
# part of the snapshots that they send.
ERA_KEY = "\x00era"

# Pressure is sent as an integer, multiplied by this factor.
PRESSURE_SCALE = 50

(
    CALL,
    ANSWERED,
    NOT_RUN,
    UNKNOWN,
    CANCEL,
    PING,
    PONG,
    LEAVING,
    QUARANTINE,
    STORE_CHANGES,
) = range(10)
SNAPSHOT_REQUEST, STORE_SNAPSHOT = range(10, 12)
# Sent only to peers that know them; earlier builds end a connection at an unknown code.
LONG_CALL, LONG_ANSWER, PIECE, CREDIT, END = range(12, 17)
CURRENCY_QUESTION, CURRENCY_ANSWER, QUOTA_REQUEST, QUOTA_ANSWER = range(17, 21)

# Numbers of pings and pongs that tell of the frames for long bodies.
TAKES_PIECES, SENDS_PIECES = 1, 2
# The same for questions about the configuration and quotas, in a ping and in its pong.
TAKES_QUESTIONS, ANSWERS_QUESTIONS = 3, 4
# Body bytes in one frame.
PIECE_BYTES = 32 * 1024


@singledispatch
def encode(frame: Any) -> bytes:
    """Return the encoded ``frame``. Raises TypeError for an unknown type."""
    raise TypeError(f"expected a frame, got {type(frame).__name__}")


@encode.register
def _(frame: CallFrame) -> bytes:
    return msgpack.packb((CALL, *_pack_call(frame, frame.body)))


@encode.register
def _(frame: LongCallFrame) -> bytes:
    return msgpack.packb((LONG_CALL, *_pack_call(frame.call, frame.length)))


@encode.register
def _(frame: LongAnswerFrame) -> bytes:
    answer = frame.answer
    report = _pack_report(answer.report)
    return msgpack.packb(
        (LONG_ANSWER, frame.stream, answer.status, answer.headers, frame.length, report)
    )


@encode.register
def _(frame: PieceFrame) -> bytes:
    return msgpack.packb((PIECE, frame.stream, frame.data))


@encode.register
def _(frame: CreditFrame) -> bytes:
    return msgpack.packb((CREDIT, frame.stream, frame.count))


@encode.register
def _(frame: EndFrame) -> bytes:
    return msgpack.packb((END, frame.stream, frame.is_whole))


def _pack_call(frame: CallFrame, body: WholeBody | int) -> tuple:
    return (
        frame.stream,
        frame.upstream_id,
        frame.caller_service,
        frame.request_id,
        frame.method,
        frame.target,
        frame.host,
        frame.headers,
        body,
        frame.remaining_ms,
        frame.objective_ms,
        frame.tier,
        frame.rank,
        frame.is_repeatable,
        frame.is_retry,
        frame.route,
    )


@encode.register
def _(frame: OutcomeFrame) -> bytes:
    return _encode_outcome(frame.outcome, frame.stream)


@encode.register
def _(frame: CancelFrame) -> bytes:
    return msgpack.packb((CANCEL, frame.stream))


@encode.register
def _(frame: PingFrame) -> bytes:
    return msgpack.packb((PING, frame.number))


@encode.register
def _(frame: PongFrame) -> bytes:
    return msgpack.packb((PONG, frame.number, _pack_load(frame.load)))


@encode.register
def _(frame: LeavingFrame) -> bytes:
    return msgpack.packb((LEAVING, frame.takes_calls))


@encode.register
def _(frame: QuarantineFrame) -> bytes:
    report = frame.report
    levels = tuple((reported.fingerprint, reported.level) for reported in report.levels)
    # Earlier versions read only the levels, as pairs, so the ages follow separately.
    ages_ms = tuple(reported.age_ms for reported in report.levels)
    crashes = tuple((c.crash_id, c.age_ms, c.fingerprints) for c in report.crashes)
    return msgpack.packb((QUARANTINE, levels, ages_ms, crashes, report.cleared))


@encode.register
def _(frame: TargetsLeavingFrame) -> bytes:
    # Earlier builds end a connection at an unknown type code. They read this frame as a report of
    # no requests, and ignore its last field.
    targets = tuple((target.upstream_id, target.started_at_ms) for target in frame.targets)
    return msgpack.packb((QUARANTINE, (), (), (), (), targets))


@encode.register
def _(frame: TargetLimitFrame) -> bytes:
    # As for leaving targets, of which this frame reports none.
    start = (frame.start.upstream_id, frame.start.started_at_ms)
    limit = (start, frame.limit_per_s, frame.age_ms)
    return msgpack.packb((QUARANTINE, (), (), (), (), (), limit))


@encode.register
def _(frame: StoreChangesFrame) -> bytes:
    items = _add_era(frame.items, frame.era)
    return msgpack.packb((STORE_CHANGES, frame.after, frame.revision, items))


@encode.register
def _(frame: SnapshotRequestFrame) -> bytes:
    # Earlier builds read only the type code.
    return msgpack.packb((SNAPSHOT_REQUEST, frame.era, frame.revision))


@encode.register
def _(frame: StoreSnapshotFrame) -> bytes:
    return msgpack.packb((STORE_SNAPSHOT, frame.revision, _add_era(frame.items, frame.era)))


@encode.register
def _(frame: CurrencyQuestionFrame) -> bytes:
    return msgpack.packb((CURRENCY_QUESTION, frame.number, frame.version))


@encode.register
def _(frame: CurrencyAnswerFrame) -> bytes:
    return msgpack.packb((CURRENCY_ANSWER, frame.number, frame.version, frame.age_ms))


@encode.register
def _(frame: QuotaRequestFrame) -> bytes:
    exchange = frame.exchange
    usages = tuple((u.organisation, u.unleased, u.waiting, u.ahead) for u in exchange.usages)
    return msgpack.packb((QUOTA_REQUEST, frame.node, exchange.number, usages, exchange.is_probe))


@encode.register
def _(frame: QuotaAnswerFrame) -> bytes:
    grants = tuple(
        (g.organisation, g.tokens, g.overdraft, math.ceil(g.retry_after_ms))
        for g in frame.answer.grants
    )
    return msgpack.packb(
        (QUOTA_ANSWER, frame.number, grants, frame.answer.heard_share, frame.is_probe)
    )


@singledispatch
def _encode_outcome(outcome: Any, _stream: int) -> bytes:
    raise TypeError(f"expected an outcome, got {type(outcome).__name__}")


@_encode_outcome.register
def _(outcome: Answered, stream: int) -> bytes:
    report = _pack_report(outcome.report)
    return msgpack.packb((ANSWERED, stream, outcome.status, outcome.headers, outcome.body, report))


@_encode_outcome.register
def _(outcome: NotRun, stream: int) -> bytes:
    report = _pack_report(outcome.report)
    retry_after_ms = round(outcome.retry_after_ms)
    return msgpack.packb(
        (NOT_RUN, stream, outcome.reason, retry_after_ms, outcome.reached_target, report)
    )


@_encode_outcome.register
def _(outcome: OutcomeUnknown, stream: int) -> bytes:
    return msgpack.packb((UNKNOWN, stream, outcome.reason, outcome.target_crashed))


def _pack_load(load: Load | None) -> tuple | None:
    if load is None:
        return None
    return (load.running, load.queued, load.limit, round(load.service_ms))


def _pack_report(report: TargetReport | None) -> tuple | None:
    if report is None:
        return None
    return (
        _pack_load(report.load),
        report.is_nested,
        report.makes_calls,
        round(report.pressure * PRESSURE_SCALE),
        # Earlier builds read only the fields before this one.
        report.is_failed_by_calls,
    )


def _add_era(items: tuple, era: int | None) -> tuple:
    return items if era is None else ((ERA_KEY, era, None), *items)
