"""Client of the platform's store, over one persistent connection."""

from __future__ import annotations

import asyncio
from typing import Any
from urllib.parse import urlencode

import orjson
from attrs import evolve

from cottonlink._numbers import MAX_INTEGER
from cottonlink.errors import CottonlinkError, Step
from cottonlink.path import (
    UNKNOWN_ERA,
    Configuration,
    EraChangedError,
    ExchangeFailed,
    HistoryLostError,
    HttpConnection,
    HttpResponse,
    Listing,
    StoreItem,
    StorePosition,
    Upstream,
)
from cottonlink.platform._fields import is_integer
from cottonlink.platform._records import (
    CONFIGURATION_KEY,
    decode_configuration,
    decode_item,
    hide_keys,
)
from cottonlink.platform._upstream_entries import UPSTREAM_PREFIX, decode_upstream

# The store usually answers within milliseconds; a slow one takes about a hundred times as long.
READ_TIMEOUT_S = 1.0
CONNECT_TIMEOUT_S = 1.0
# How long the store holds a watch open when nothing changes. Other nodes rely on a watcher until it
# has had no answer for HEARTBEAT_TIMEOUT_MS.
WATCH_WAIT_MS = 700
# A watch fails if it isn't answered within this time after its wait. A connection that went silent
# never answers; a node must be back in touch 3 s later.
WATCH_MARGIN_S = 1.0
# A connection that was idle for longer isn't used again: it may have gone silent unnoticed, and a
# read on it would take READ_TIMEOUT_S to fail.
MAX_IDLE_S = 1.0
# Longest response of the store; its pages have about 1 MB, or a single value of that size.
PAGE_LIMIT_BYTES = 8 * 1024 * 1024
# Counts the times that the store returned from a copy.
_ERA_HEADER = b"store-era"
# More digits than any counter has; a longer number would not fit a frame between nodes.
_ERA_DIGITS_LIMIT = 18
_GONE = 410
# One call covers the configuration and the upstreams, whose keys share no prefix.
_ALL_KEYS_PREFIX = ""


class StoreClient:
    """Reads the store. Supports one call at a time; the calls raise CottonlinkError."""

    def __init__(self, address: tuple[str, int], loop: asyncio.AbstractEventLoop) -> None:
        self._address = address
        self._loop = loop
        self._connection: HttpConnection | None = None
        self._answered_s = 0.0

    async def read_all(self, *, may_be_stale: bool = False) -> Listing:
        """Return the configuration and all entries of upstreams, as they were at one position.

        With ``may_be_stale`` they may be seconds old: such reads cost a tenth and aren't counted
        towards the store's rate limit. Raises EraChangedError if the store returned from a copy in
        between.
        """
        items: list[StoreItem] = []
        problems: list[str] = []
        position: StorePosition | None = None
        query = {"prefix": _ALL_KEYS_PREFIX, **({"serializable": 1} if may_be_stale else {})}
        while True:
            answer = _expect_ok(await self._get("/-/kv-range", query, READ_TIMEOUT_S))
            data = _parse(answer)
            page_position = _read_position(answer, data)
            # The watch continues from the first page, so that no change between pages is missed.
            position = position or page_position
            _expect_era(page_position.era, position.era)
            page, page_problems = _read_items(data, "items", position.era)
            items += page
            problems += page_problems
            if not data.get("has_more") or not (page or page_problems):
                return Listing(tuple(items), position, tuple(problems))
            if not page or page[-1].key <= query.get("after", ""):
                raise CottonlinkError(
                    "store_answer_invalid",
                    f"no page follows {query.get('after', '')!r}",
                    step=Step.POLICY_READ,
                )
            query["after"] = page[-1].key

    def is_configuration(self, key: str) -> bool:
        """Return whether ``key`` holds the operator's configuration."""
        return key == CONFIGURATION_KEY

    def is_upstream(self, key: str) -> bool:
        """Return whether ``key`` holds the entry of an upstream."""
        return key.startswith(UPSTREAM_PREFIX)

    def decode_configuration(self, item: StoreItem) -> Configuration:
        """Return the configuration in ``item``. Raises CottonlinkError if it is invalid."""
        return decode_configuration(item.value)

    def decode_upstream(self, item: StoreItem) -> Upstream:
        """Return the upstream that ``item`` registers. Raises CottonlinkError if it is invalid."""
        return decode_upstream(item)

    async def watch(self, position: StorePosition) -> Listing:
        """Return the changes after ``position``, or none if there are none within WATCH_WAIT_MS.

        Raises HistoryLostError if the store no longer holds all of them, and EraChangedError if it
        is of another era, in which the same revision stands for another change.
        """
        return await self._read_events(position, WATCH_WAIT_MS)

    async def read_changes(self, position: StorePosition) -> Listing:
        """Return the changes after ``position`` that there are by now. Raises as ``watch`` does."""
        return await self._read_events(position, 0)

    async def _read_events(self, position: StorePosition, wait_ms: int) -> Listing:
        query = {"prefix": _ALL_KEYS_PREFIX, "after": position.revision, "wait_ms": wait_ms}
        timeout_s = wait_ms / 1000.0 + WATCH_MARGIN_S
        answer = await self._get("/-/kv-watch", query, timeout_s)
        if answer.status == _GONE:
            _expect_era(_read_era(answer), position.era)
            raise HistoryLostError(
                "store_history_lost",
                f"the store no longer holds the changes after revision {position.revision}",
                step=Step.POLICY_READ,
            )
        data = _parse(_expect_ok(answer))
        answered = _read_position(answer, data)
        _expect_era(answered.era, position.era)
        events, problems = _read_items(data, "events", answered.era)
        if problems:
            # It may be of any key, so only the present items tell what has changed.
            raise HistoryLostError("store_event_invalid", problems[0], step=Step.POLICY_READ)
        return Listing(tuple(events), max(position, answered))

    def close(self) -> None:
        """Close the connection; the next call opens a new one."""
        if self._connection is not None:
            self._connection.abort()
            self._connection = None

    async def _get(self, path: str, query: dict[str, Any], timeout_s: float) -> HttpResponse:
        try:
            connection = await self._connect()
            result = await asyncio.wait_for(
                self._exchange(connection, f"{path}?{urlencode(query, safe='/')}"), timeout_s
            )
        except (OSError, TimeoutError) as error:
            self.close()
            raise self._unreachable_error(type(error).__name__) from error
        except asyncio.CancelledError:
            # An answer that arrives later must not be taken for that to the next call.
            self.close()
            raise
        if isinstance(result, ExchangeFailed):
            self.close()
            raise self._unreachable_error(result.reason)
        self._answered_s = self._loop.time()
        if not connection.is_reusable:
            self.close()
        return result

    async def _connect(self) -> HttpConnection:
        if self._connection is not None and self._loop.time() - self._answered_s > MAX_IDLE_S:
            self.close()
        if self._connection is not None and self._connection.can_send:
            return self._connection
        connecting = self._loop.create_connection(
            lambda: HttpConnection(None, self._loop, body_limit_bytes=PAGE_LIMIT_BYTES),
            *self._address,
        )
        _, connection = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        self._connection = connection
        return connection

    def _exchange(self, connection: HttpConnection, request_target: str) -> asyncio.Future:
        future = self._loop.create_future()

        def finish(result: Any) -> None:
            if not future.done():
                future.set_result(result)

        host = f"{self._address[0]}:{self._address[1]}"
        head = f"GET {request_target} HTTP/1.1\r\nHost: {host}\r\n\r\n"
        connection.send(head.encode(), finish)
        return future

    def _unreachable_error(self, detail: str) -> CottonlinkError:
        peer = f"{self._address[0]}:{self._address[1]}"
        return CottonlinkError("store_unreachable", detail, step=Step.POLICY_READ, peer=peer)


def _expect_ok(answer: HttpResponse) -> HttpResponse:
    if answer.status != 200:
        raise CottonlinkError(
            "store_refused", f"expected status 200, got {answer.status}", step=Step.POLICY_READ
        )
    return answer


def _expect_era(era: int, expected: int) -> None:
    if era != expected:
        raise EraChangedError(
            "store_era_changed",
            f"expected an answer from era {expected}, got one from era {era}",
            step=Step.POLICY_READ,
        )


def _parse(answer: HttpResponse) -> dict[str, Any]:
    try:
        data = orjson.loads(answer.body) if answer.body else {}
    except ValueError as error:
        raise CottonlinkError("store_answer_invalid", str(error), step=Step.POLICY_READ) from error
    if not isinstance(data, dict):
        raise CottonlinkError(
            "store_answer_invalid", "expected a JSON object", step=Step.POLICY_READ
        )
    return data


def _read_items(data: dict[str, Any], name: str, era: int) -> tuple[list[StoreItem], list[str]]:
    """Return the items of an answer, and what is wrong with those that can't be read."""
    items = data.get(name, [])
    if not isinstance(items, list):
        raise CottonlinkError(
            "store_answer_invalid", f"expected a list in {name}", step=Step.POLICY_READ
        )
    read: list[StoreItem] = []
    problems: list[str] = []
    for item in items:
        try:
            read.append(_hide_keys(decode_item(item, era)))
        except CottonlinkError as error:
            problems.append(error.detail)
    return read, problems


def _hide_keys(item: StoreItem) -> StoreItem:
    if item.key != CONFIGURATION_KEY or item.value is None:
        return item
    return evolve(item, value=hide_keys(item.value))


def _read_position(answer: HttpResponse, data: dict[str, Any]) -> StorePosition:
    revision = data.get("as_of")
    if not is_integer(revision) or not 0 <= revision <= MAX_INTEGER:
        raise CottonlinkError(
            "store_answer_invalid", "expected a revision in as_of", step=Step.POLICY_READ
        )
    return StorePosition(_read_era(answer), revision)


def _read_era(answer: HttpResponse) -> int:
    """Return the era of the store that gave ``answer``. Raises CottonlinkError if it is invalid."""
    value = answer.header(_ERA_HEADER)
    if value is None:
        return UNKNOWN_ERA
    if not value.isdigit() or len(value) > _ERA_DIGITS_LIMIT:
        raise CottonlinkError(
            "store_answer_invalid", f"expected an era, got {value[:40]!r}", step=Step.POLICY_READ
        )
    return int(value)
