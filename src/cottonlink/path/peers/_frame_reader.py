"""Decodes and checks the frames that other nodes send.

Every value is checked here, once, so that a frame of a faulty peer costs its connection and nothing
else: what a handler gets has the types and sizes that it relies on.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Iterator
from typing import Any

import msgpack

from cottonlink._numbers import MAX_INTEGER
from cottonlink._status import FINAL_STATUSES
from cottonlink.errors import CottonlinkError, Step, describe_error
from cottonlink.organisations import QuotaAnswer, QuotaExchange, QuotaGrant, QuotaUsage
from cottonlink.overload import (
    NESTED_CALL_TIER,
    NEW_REQUEST_TIER,
    CrashNotice,
    QuarantineReport,
    ReportedLevel,
    TargetStart,
)
from cottonlink.path._model import Answered, Load, NotRun, OutcomeUnknown, TargetReport
from cottonlink.path.peers._frames import (
    ANSWERED,
    CALL,
    CANCEL,
    CREDIT,
    CURRENCY_ANSWER,
    CURRENCY_QUESTION,
    END,
    ERA_KEY,
    LEAVING,
    LONG_ANSWER,
    LONG_CALL,
    NOT_RUN,
    PIECE,
    PING,
    PONG,
    PRESSURE_SCALE,
    QUARANTINE,
    QUOTA_ANSWER,
    QUOTA_REQUEST,
    SNAPSHOT_REQUEST,
    STORE_CHANGES,
    STORE_SNAPSHOT,
    UNKNOWN,
    CallFrame,
    CancelFrame,
    CreditFrame,
    CurrencyAnswerFrame,
    CurrencyQuestionFrame,
    EndFrame,
    LeavingFrame,
    LongAnswerFrame,
    LongCallFrame,
    OutcomeFrame,
    PieceFrame,
    PingFrame,
    PongFrame,
    QuarantineFrame,
    QuotaAnswerFrame,
    QuotaRequestFrame,
    SnapshotRequestFrame,
    StoreChangesFrame,
    StoreSnapshotFrame,
    TargetLimitFrame,
    TargetsLeavingFrame,
)

# Largest frame that is accepted; it has room for the largest body of a caller and its headers.
FRAME_LIMIT_BYTES = 80_000_000
# An unpacker that has held more is replaced once it is empty.
KEPT_BUFFER_BYTES = 512 * 1024
# Most elements of an array in a frame, such as the entries in a copy of the store.
ARRAY_LIMIT = 200_000
# Fields of a report of requests that crash targets, after their levels.
_QUARANTINE_LATER_FIELDS = 3


class FrameReader:
    """Decodes a stream of bytes into frames."""

    def __init__(self) -> None:
        self._unpacker = _make_unpacker()
        # The unpacker's buffer grows to the longest frame and never shrinks.
        self._fed_bytes = 0
        self._longest_bytes = 0

    def feed(self, data: bytes) -> Iterator[Any]:
        """Yield the frames that are complete after ``data``.

        Those that aren't taken are yielded by the next call, which may bring no data.
        Raises CottonlinkError if the bytes are not valid frames; the connection is then unusable.
        """
        unpacker = self._unpacker
        read_bytes = -1
        try:
            unpacker.feed(data)
            self._fed_bytes += len(data)
            self._longest_bytes = max(self._longest_bytes, self._fed_bytes - unpacker.tell())
            for fields in unpacker:
                read_bytes = unpacker.tell()
                yield _DECODERS[fields[0]](*fields[1:])
        except Exception as error:
            # Also what a message about a deeply nested value raises.
            detail = f"unreadable frame: {describe_error(error)}"
            raise CottonlinkError("peer_frame_invalid", detail, step=Step.ACCEPT) from error
        if self._longest_bytes > KEPT_BUFFER_BYTES and read_bytes == self._fed_bytes:
            self._unpacker = _make_unpacker()
            self._fed_bytes = self._longest_bytes = 0


def _make_unpacker() -> msgpack.Unpacker:
    return msgpack.Unpacker(
        use_list=False,
        raw=False,
        max_buffer_size=FRAME_LIMIT_BYTES,
        max_array_len=ARRAY_LIMIT,
    )


def _integer(value: Any) -> int:
    if type(value) is not int or not 0 <= value <= MAX_INTEGER:
        raise TypeError(f"expected an integer from 0 on, got {value!r:.40}")
    return value


def _number(value: Any) -> float:
    if type(value) not in (int, float) or not 0 <= value <= MAX_INTEGER or math.isnan(value):
        raise TypeError(f"expected a number from 0 on, got {value!r:.40}")
    return value


def _optional_integer(value: Any) -> int | None:
    return None if value is None else _integer(value)


def _make_check(kind: type) -> Callable[[Any], Any]:
    def check(value: Any) -> Any:
        if type(value) is not kind:
            raise TypeError(f"expected {kind.__name__}, got {value!r:.40}")
        return value

    return check


_text = _make_check(str)
_bytes = _make_check(bytes)
_boolean = _make_check(bool)
_tuple = _make_check(tuple)


def _optional_boolean(value: Any) -> bool | None:
    return None if value is None else _boolean(value)


def _texts(value: Any) -> tuple[str, ...]:
    return tuple(_text(part) for part in _tuple(value))


def _headers(value: Any) -> tuple[tuple[bytes, bytes], ...]:
    for name, content in _tuple(value):
        if type(name) is not bytes or type(content) is not bytes:
            raise TypeError(f"expected a header, got {name!r:.40}: {content!r:.40}")
    return value


def _tier(value: Any) -> int:
    if type(value) is not int or value not in (NESTED_CALL_TIER, NEW_REQUEST_TIER):
        raise ValueError(f"expected a tier, got {value!r:.40}")
    return value


def _rank(value: Any) -> int:
    # Operators may rank routes below 0, too.
    if type(value) is not int or abs(value) > MAX_INTEGER:
        raise TypeError(f"expected an integer, got {value!r:.40}")
    return value


_CALL_TYPES = (
    int, str, str, bytes, bytes, bytes, bytes, tuple, bytes, int, int,
    int, int, bool, bool, str,
)  # fmt: skip

# Index of the body among the fields of a call.
_BODY_FIELD = 8


def _decode_call(*fields: Any) -> CallFrame:
    # All types at once, since a call has many fields.
    if tuple(map(type, fields)) != _CALL_TYPES:
        for kind, value in zip(_CALL_TYPES, fields, strict=True):
            _make_check(kind)(value)
    frame = CallFrame(*fields)
    _headers(frame.headers)
    for number in (frame.stream, frame.remaining_ms, frame.objective_ms):
        _integer(number)
    _tier(frame.tier)
    _rank(frame.rank)
    return frame


def _decode_long_call(*fields: Any) -> LongCallFrame:
    before, length, behind = fields[:_BODY_FIELD], fields[_BODY_FIELD], fields[_BODY_FIELD + 1 :]
    return LongCallFrame(_decode_call(*before, b"", *behind), _integer(length))


def _decode_long_answer(
    stream: Any, status: Any, headers: Any, length: Any, report: Any
) -> LongAnswerFrame | OutcomeFrame:
    answer = Answered(_integer(status), _headers(headers), b"", _decode_report(report))
    frame = LongAnswerFrame(_integer(stream), answer, _optional_integer(length))
    return frame if status in FINAL_STATUSES else _decode_invalid_status(frame.stream)


def _decode_load(fields: Any) -> Load:
    running, queued, limit, service_ms = _tuple(fields)
    return Load(_integer(running), _integer(queued), _integer(limit), _number(service_ms))


def _decode_report(fields: Any) -> TargetReport | None:
    if fields is None:
        return None
    load, is_nested, makes_calls, pressure, *later_fields = _tuple(fields)
    return TargetReport(
        _decode_load(load),
        _optional_boolean(is_nested),
        _boolean(makes_calls),
        _number(pressure) / PRESSURE_SCALE,
        bool(later_fields) and _boolean(later_fields[0]),
    )


def _decode_answered(
    stream: Any, status: Any, headers: Any, body: Any, report: Any
) -> OutcomeFrame:
    outcome = Answered(_integer(status), _headers(headers), _bytes(body), _decode_report(report))
    frame = OutcomeFrame(_integer(stream), outcome)
    return frame if status in FINAL_STATUSES else _decode_invalid_status(frame.stream)


def _decode_invalid_status(stream: int) -> OutcomeFrame:
    """Return the outcome of a call whose target gave no response, as earlier builds report it.

    Other calls on the connection go on.
    """
    return OutcomeFrame(stream, OutcomeUnknown("bad_answer"))


def _decode_not_run(
    stream: Any, reason: Any, retry_after_ms: Any, reached_target: Any, report: Any
) -> OutcomeFrame:
    outcome = NotRun(
        _text(reason), _number(retry_after_ms), _boolean(reached_target), _decode_report(report)
    )
    return OutcomeFrame(_integer(stream), outcome)


def _decode_unknown(stream: Any, reason: Any, target_crashed: Any) -> OutcomeFrame:
    return OutcomeFrame(_integer(stream), OutcomeUnknown(_text(reason), _boolean(target_crashed)))


def _decode_start(fields: Any) -> TargetStart:
    upstream_id, started_at_ms = _tuple(fields)
    return TargetStart(_text(upstream_id), _optional_integer(started_at_ms))


def _decode_quarantine(
    levels: Any, *later_fields: Any
) -> QuarantineFrame | TargetsLeavingFrame | TargetLimitFrame:
    notices = later_fields[_QUARANTINE_LATER_FIELDS:]
    if len(notices) > 1:
        start, limit_per_s, age_ms = _tuple(notices[1])
        limit = float(_number(limit_per_s))
        return TargetLimitFrame(_decode_start(start), limit, int(_number(age_ms)))
    if notices:
        return TargetsLeavingFrame(tuple(_decode_start(target) for target in _tuple(notices[0])))
    pairs = [(_text(fingerprint), _integer(level)) for fingerprint, level in _tuple(levels)]
    if not later_fields:
        return QuarantineFrame(QuarantineReport(tuple(ReportedLevel(*pair) for pair in pairs)))
    ages_ms, crashes, cleared = later_fields
    return QuarantineFrame(
        QuarantineReport(
            tuple(
                ReportedLevel(*pair, _number(age_ms))
                for pair, age_ms in zip(pairs, _tuple(ages_ms), strict=True)
            ),
            tuple(_decode_crash(*crash) for crash in _tuple(crashes)),
            _texts(cleared),
        )
    )


def _decode_crash(crash_id: Any, age_ms: Any, fingerprints: Any) -> CrashNotice:
    return CrashNotice(_text(crash_id), _number(age_ms), _texts(fingerprints))


def _decode_items(fields: Any) -> tuple[tuple, int | None]:
    """Return the items of the store in a frame, and the era of their revisions."""
    items: list[tuple[str, int, bytes | None]] = []
    era = None
    for key, revision, value in _tuple(fields):
        if key == ERA_KEY:
            era = _integer(revision)
        else:
            items.append((_text(key), _integer(revision), None if value is None else _bytes(value)))
    return tuple(items), era


def _decode_snapshot(revision: Any, fields: Any) -> StoreSnapshotFrame:
    items, era = _decode_items(fields)
    if any(value is None for _, _, value in items):
        raise TypeError("expected no removed items in a snapshot")
    return StoreSnapshotFrame(_integer(revision), items, era)


def _decode_quota_request(node: Any, number: Any, usages: Any, is_probe: Any) -> QuotaRequestFrame:
    decoded = tuple(
        # What a node has used without a lease is negative where it returns tokens.
        QuotaUsage(_text(organisation), _rank(unleased), _integer(waiting), _integer(ahead))
        for organisation, unleased, waiting, ahead in _tuple(usages)
    )
    exchange = QuotaExchange(_integer(number), "", decoded, _boolean(is_probe))
    return QuotaRequestFrame(_text(node), exchange)


def _decode_quota_answer(
    number: Any, grants: Any, heard_share: Any, is_probe: Any
) -> QuotaAnswerFrame:
    decoded = tuple(
        QuotaGrant(_text(organisation), _integer(tokens), _integer(overdraft), _number(wait_ms))
        for organisation, tokens, overdraft, wait_ms in _tuple(grants)
    )
    answer = QuotaAnswer(decoded, _number(heard_share))
    return QuotaAnswerFrame(_integer(number), answer, _boolean(is_probe))


_DECODERS: dict[int, Callable[..., Any]] = {
    CALL: _decode_call,
    ANSWERED: _decode_answered,
    NOT_RUN: _decode_not_run,
    UNKNOWN: _decode_unknown,
    CANCEL: lambda stream: CancelFrame(_integer(stream)),
    PING: lambda number: PingFrame(_integer(number)),
    PONG: lambda number, load: PongFrame(_integer(number), _decode_load(load)),
    LEAVING: lambda takes_calls: LeavingFrame(_boolean(takes_calls)),
    QUARANTINE: _decode_quarantine,
    STORE_CHANGES: lambda after, revision, items: StoreChangesFrame(
        _integer(after), _integer(revision), *_decode_items(items)
    ),
    SNAPSHOT_REQUEST: lambda *position: SnapshotRequestFrame(*map(_integer, position)),
    STORE_SNAPSHOT: _decode_snapshot,
    LONG_CALL: _decode_long_call,
    LONG_ANSWER: _decode_long_answer,
    PIECE: lambda stream, data: PieceFrame(_integer(stream), _bytes(data)),
    CREDIT: lambda stream, count: CreditFrame(_integer(stream), _integer(count)),
    CURRENCY_QUESTION: lambda number, version: CurrencyQuestionFrame(
        _integer(number), _integer(version)
    ),
    CURRENCY_ANSWER: lambda number, version, age_ms: CurrencyAnswerFrame(
        _integer(number), _integer(version), _optional_integer(age_ms)
    ),
    QUOTA_REQUEST: _decode_quota_request,
    QUOTA_ANSWER: _decode_quota_answer,
    END: lambda stream, is_whole: EndFrame(_integer(stream), _boolean(is_whole)),
}
