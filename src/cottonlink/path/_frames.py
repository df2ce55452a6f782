"""Frames between nodes: MessagePack arrays that begin with a type code.

Many calls share a connection, told apart by stream numbers, so that a call costs no handshake and
few bytes between data centres. Fields are positional: their order and the type codes are the wire
format.
"""

from __future__ import annotations

from collections.abc import Iterator
from functools import singledispatch
from typing import Any

import msgpack
from attrs import frozen

from cottonlink.errors import CottonlinkError, Step
from cottonlink.overload import CrashNotice, QuarantineReport, ReportedLevel, TargetStart
from cottonlink.path._model import Answered, Load, NotRun, OutcomeUnknown, TargetReport

# Largest frame that is accepted; it has room for the largest body of a caller and its headers.
FRAME_LIMIT_BYTES = 80_000_000


@frozen
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
    body: bytes
    remaining_ms: int
    objective_ms: int
    tier: int
    rank: int
    is_repeatable: bool
    is_retry: bool
    route: str


@frozen
class OutcomeFrame:
    """Returns the outcome of a call."""

    stream: int
    outcome: Answered | NotRun | OutcomeUnknown


@frozen
class CancelFrame:
    """Cancels a call because its caller is gone."""

    stream: int


@frozen
class PingFrame:
    """Asks the receiver for a pong, to check that it is alive."""

    number: int


@frozen
class PongFrame:
    """Answers a ping with the load of the sender's target."""

    number: int
    load: Load


@frozen
class LeavingFrame:
    """The sender is shutting down; ``takes_calls`` tells whether it still runs new calls."""

    takes_calls: bool


@frozen
class QuarantineFrame:
    """Reports requests that crash targets."""

    report: QuarantineReport


@frozen
class TargetsLeavingFrame:
    """Reports targets that have said in a response that they leave."""

    targets: tuple[TargetStart, ...]


@frozen
class TargetLimitFrame:
    """Tells a node of a limit that a response of its target named ``age_ms`` ago."""

    start: TargetStart
    limit_per_s: float
    age_ms: int


@frozen
class StoreChangesFrame:
    """Changes of the store after one revision up to another, as (key, revision, value) each.

    ``value`` is None for a removed key. Without items, the frame is a heartbeat of its sender. The
    revisions are of ``era``, None if the sender's build doesn't know eras.
    """

    after: int
    revision: int
    items: tuple[tuple[str, int, bytes | None], ...]
    era: int | None = None


@frozen
class SnapshotRequestFrame:
    """Requests the receiver's copy of the store, if it is later than the sender's.

    ``era`` and ``revision`` are 0 if the sender has none.
    """

    era: int = 0
    revision: int = 0


@frozen
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
_ERA_KEY = "\x00era"

# Pressure is sent as an integer, multiplied by this factor.
_PRESSURE_SCALE = 50

(
    _CALL,
    _ANSWERED,
    _NOT_RUN,
    _UNKNOWN,
    _CANCEL,
    _PING,
    _PONG,
    _LEAVING,
    _QUARANTINE,
    _STORE_CHANGES,
) = range(10)
_SNAPSHOT_REQUEST, _STORE_SNAPSHOT = range(10, 12)
# Fields of a report of requests that crash targets, after their levels.
_QUARANTINE_LATER_FIELDS = 3


@singledispatch
def encode(frame: Any) -> bytes:
    """Return the encoded ``frame``. Raises TypeError for an unknown type."""
    raise TypeError(f"expected a frame, got {type(frame).__name__}")


@encode.register
def _(frame: CallFrame) -> bytes:
    return msgpack.packb(
        (
            _CALL,
            frame.stream,
            frame.upstream_id,
            frame.caller_service,
            frame.request_id,
            frame.method,
            frame.target,
            frame.host,
            frame.headers,
            frame.body,
            frame.remaining_ms,
            frame.objective_ms,
            frame.tier,
            frame.rank,
            frame.is_repeatable,
            frame.is_retry,
            frame.route,
        )
    )


@encode.register
def _(frame: OutcomeFrame) -> bytes:
    return _encode_outcome(frame.outcome, frame.stream)


@encode.register
def _(frame: CancelFrame) -> bytes:
    return msgpack.packb((_CANCEL, frame.stream))


@encode.register
def _(frame: PingFrame) -> bytes:
    return msgpack.packb((_PING, frame.number))


@encode.register
def _(frame: PongFrame) -> bytes:
    return msgpack.packb((_PONG, frame.number, _pack_load(frame.load)))


@encode.register
def _(frame: LeavingFrame) -> bytes:
    return msgpack.packb((_LEAVING, frame.takes_calls))


@encode.register
def _(frame: QuarantineFrame) -> bytes:
    report = frame.report
    levels = tuple((reported.fingerprint, reported.level) for reported in report.levels)
    # Earlier versions read only the levels, as pairs, so the ages follow separately.
    ages_ms = tuple(reported.age_ms for reported in report.levels)
    crashes = tuple((c.crash_id, c.age_ms, c.fingerprints) for c in report.crashes)
    return msgpack.packb((_QUARANTINE, levels, ages_ms, crashes, report.cleared))


@encode.register
def _(frame: TargetsLeavingFrame) -> bytes:
    # Earlier builds end a connection at an unknown type code. They read this frame as a report of
    # no requests, and ignore its last field.
    targets = tuple((target.upstream_id, target.started_at_ms) for target in frame.targets)
    return msgpack.packb((_QUARANTINE, (), (), (), (), targets))


@encode.register
def _(frame: TargetLimitFrame) -> bytes:
    # As for leaving targets, of which this frame reports none.
    start = (frame.start.upstream_id, frame.start.started_at_ms)
    limit = (start, frame.limit_per_s, frame.age_ms)
    return msgpack.packb((_QUARANTINE, (), (), (), (), (), limit))


@encode.register
def _(frame: StoreChangesFrame) -> bytes:
    items = _add_era(frame.items, frame.era)
    return msgpack.packb((_STORE_CHANGES, frame.after, frame.revision, items))


@encode.register
def _(frame: SnapshotRequestFrame) -> bytes:
    # Earlier builds read only the type code.
    return msgpack.packb((_SNAPSHOT_REQUEST, frame.era, frame.revision))


@encode.register
def _(frame: StoreSnapshotFrame) -> bytes:
    return msgpack.packb((_STORE_SNAPSHOT, frame.revision, _add_era(frame.items, frame.era)))


@singledispatch
def _encode_outcome(outcome: Any, _stream: int) -> bytes:
    raise TypeError(f"expected an outcome, got {type(outcome).__name__}")


@_encode_outcome.register
def _(outcome: Answered, stream: int) -> bytes:
    report = _pack_report(outcome.report)
    return msgpack.packb((_ANSWERED, stream, outcome.status, outcome.headers, outcome.body, report))


@_encode_outcome.register
def _(outcome: NotRun, stream: int) -> bytes:
    report = _pack_report(outcome.report)
    retry_after_ms = round(outcome.retry_after_ms)
    return msgpack.packb(
        (_NOT_RUN, stream, outcome.reason, retry_after_ms, outcome.reached_target, report)
    )


@_encode_outcome.register
def _(outcome: OutcomeUnknown, stream: int) -> bytes:
    return msgpack.packb((_UNKNOWN, stream, outcome.reason, outcome.target_crashed))


class FrameReader:
    """Decodes a stream of bytes into frames."""

    def __init__(self) -> None:
        self._unpacker = msgpack.Unpacker(
            use_list=False, raw=False, max_buffer_size=FRAME_LIMIT_BYTES
        )

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yield the frames that are complete after ``data``.

        Raises CottonlinkError if the bytes are not valid frames; the connection is then unusable.
        """
        try:
            self._unpacker.feed(data)
            for parts in self._unpacker:
                yield _DECODERS[parts[0]](parts)
        except (ValueError, TypeError, LookupError, msgpack.exceptions.UnpackException) as error:
            detail = f"unreadable frame: {type(error).__name__}: {error}"
            raise CottonlinkError("peer_frame_invalid", detail, step=Step.ACCEPT) from error


def _pack_load(load: Load | None) -> tuple | None:
    if load is None:
        return None
    return (load.running, load.queued, load.limit, round(load.service_ms))


def _unpack_load(parts: tuple | None) -> Load | None:
    return None if parts is None else Load(*parts)


def _pack_report(report: TargetReport | None) -> tuple | None:
    if report is None:
        return None
    return (
        _pack_load(report.load),
        report.is_nested,
        report.makes_calls,
        round(report.pressure * _PRESSURE_SCALE),
        # Earlier builds read only the fields before this one.
        report.is_failed_by_calls,
    )


def _unpack_report(parts: tuple | None) -> TargetReport | None:
    if parts is None:
        return None
    load, is_nested, makes_calls, pressure, *later_fields = parts
    is_failed_by_calls = bool(later_fields and later_fields[0])
    return TargetReport(
        Load(*load), is_nested, makes_calls, pressure / _PRESSURE_SCALE, is_failed_by_calls
    )


def _decode_answered(fields: tuple) -> OutcomeFrame:
    return OutcomeFrame(
        fields[1], Answered(fields[2], fields[3], fields[4], _unpack_report(fields[5]))
    )


def _decode_not_run(fields: tuple) -> OutcomeFrame:
    return OutcomeFrame(
        fields[1], NotRun(fields[2], fields[3], fields[4], _unpack_report(fields[5]))
    )


def _decode_quarantine(
    fields: tuple,
) -> QuarantineFrame | TargetsLeavingFrame | TargetLimitFrame:
    levels, *later_fields = fields[1:]
    notices = later_fields[_QUARANTINE_LATER_FIELDS:]
    if len(notices) > 1:
        start, limit_per_s, age_ms = notices[1]
        return TargetLimitFrame(TargetStart(*start), float(limit_per_s), int(age_ms))
    if notices:
        return TargetsLeavingFrame(tuple(TargetStart(*target) for target in notices[0]))
    if not later_fields:
        return QuarantineFrame(QuarantineReport(tuple(ReportedLevel(*pair) for pair in levels)))
    ages_ms, crashes, cleared = later_fields
    return QuarantineFrame(
        QuarantineReport(
            tuple(
                ReportedLevel(*pair, age_ms) for pair, age_ms in zip(levels, ages_ms, strict=True)
            ),
            tuple(CrashNotice(*crash) for crash in crashes),
            cleared,
        )
    )


def _add_era(items: tuple, era: int | None) -> tuple:
    return items if era is None else ((_ERA_KEY, era, None), *items)


def _split_era(items: tuple) -> tuple[tuple, int | None]:
    eras = [revision for key, revision, _ in items if key == _ERA_KEY]
    return tuple(item for item in items if item[0] != _ERA_KEY), eras[0] if eras else None


_DECODERS = {
    _CALL: lambda fields: CallFrame(*fields[1:]),
    _ANSWERED: _decode_answered,
    _NOT_RUN: _decode_not_run,
    _UNKNOWN: lambda fields: OutcomeFrame(fields[1], OutcomeUnknown(fields[2], fields[3])),
    _CANCEL: lambda fields: CancelFrame(fields[1]),
    _PING: lambda fields: PingFrame(fields[1]),
    _PONG: lambda fields: PongFrame(fields[1], _unpack_load(fields[2])),
    _LEAVING: lambda fields: LeavingFrame(fields[1]),
    _QUARANTINE: _decode_quarantine,
    _STORE_CHANGES: lambda fields: StoreChangesFrame(*fields[1:3], *_split_era(fields[3])),
    _SNAPSHOT_REQUEST: lambda fields: SnapshotRequestFrame(*fields[1:3]),
    _STORE_SNAPSHOT: lambda fields: StoreSnapshotFrame(fields[1], *_split_era(fields[2])),
}
