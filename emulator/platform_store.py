"""Stand-in for the platform's key-value store, with revisions, ranges, watches and faults."""

from __future__ import annotations

import asyncio
import base64
import contextlib
import json
from urllib.parse import parse_qs, urlsplit

from attrs import frozen

from emulator.http_stand_in import (
    HttpStandIn,
    ReceivedRequest,
    make_response,
    send_endless,
    serve_http,
)


@frozen
class StoreCopy:
    """A copy of the store's items and history, from which it can return later."""

    revision: int
    items: dict[str, tuple[bytes, int]]
    history: tuple[dict, ...]


class PlatformStore:
    """Items in memory.

    Each answer carries the store's era in the header ``Store-Era``. It rises by one whenever the
    store returns from a copy, after which it gives out revisions again.

    ``fault`` is one of ``FAULTS`` or None: ``silent`` never answers, ``busy`` answers 503,
    ``reset`` closes the connection without an answer, ``endless`` sends bytes until the node closes
    it. ``request_targets`` lists the HTTP request
    targets received. A page of a range has ``page_items`` items. Reads that may be old are answered
    from ``stale_copy``, if it is set.
    """

    FAULTS = ("silent", "busy", "reset", "endless")

    def __init__(self, page_items: int = 2) -> None:
        self._page_items = page_items
        self._era = 1
        self._revision = 1
        self._items: dict[str, tuple[bytes, int]] = {}
        self._history: list[dict] = []
        self._oldest_known_revision = 0
        self._changed = asyncio.Event()
        self._server: HttpStandIn | None = None
        self.fault: str | None = None
        self.endless_start = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        self.endless_unit = b"400\r\n" + b" " * 1_024 + b"\r\n"
        self.stale_copy: StoreCopy | None = None
        self.request_targets: list[str] = []
        self.address = ""
        self._are_watches_held = False
        # How often the waiting watches were cut.
        self._cut_count = 0

    async def start(self, host: str = "127.0.0.1") -> None:
        """Listen on a free port."""
        self._server = await serve_http(self._handle, host, 0)
        self.address = f"{host}:{self._server.port}"

    async def stop(self) -> None:
        """Stop listening."""
        self._server.close()

    async def put(self, key: str, value: dict | bytes) -> None:
        """Write an item; a dict is stored as JSON."""
        data = value if isinstance(value, bytes) else json.dumps(value).encode()
        self._revision += 1
        self._items[key] = (data, self._revision)
        self._record(_event(key, self._items[key]))

    async def remove(self, key: str) -> None:
        """Remove an item."""
        self._revision += 1
        self._items.pop(key, None)
        self._record({"key": key, "revision": self._revision, "removed": True})

    async def compact(self) -> None:
        """Discard the event history; watches from an earlier revision are then answered 410."""
        self._history.clear()
        self._oldest_known_revision = self._revision

    def hold_watches(self) -> None:
        """Answer no watch until the history is forgotten, as if nothing had changed."""
        self._are_watches_held = True

    def forget_and_cut_watches(self) -> None:
        """Discard the history and close the connections of waiting watches without an answer."""
        self._are_watches_held = False
        self._history.clear()
        self._oldest_known_revision = self._revision
        self._cut_count += 1
        self._wake_watches()

    def value(self, key: str) -> bytes | None:
        """Return the value of an item, or None if there is none."""
        item = self._items.get(key)
        return None if item is None else item[0]

    def take_copy(self) -> StoreCopy:
        """Return a copy of the present items."""
        return StoreCopy(self._revision, dict(self._items), tuple(self._history))

    def return_from_copy(self, copy: StoreCopy) -> None:
        """Replace all items and the history by those of ``copy``, and begin the next era."""
        self._era += 1
        self._revision = copy.revision
        self._items = dict(copy.items)
        self._history = list(copy.history)
        self._oldest_known_revision = min(self._oldest_known_revision, copy.revision)
        self._wake_watches()

    def _record(self, event: dict) -> None:
        self._history.append(event)
        self._wake_watches()

    def _wake_watches(self) -> None:
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()

    async def _handle(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bytes | None:
        self.request_targets.append(request.target)
        url = urlsplit(request.target)
        query = {name: values[0] for name, values in parse_qs(url.query).items()}
        if url.path == "/-/kv-watch" and await self._wait_for_events(query):
            return None
        # Checked after the wait, so that a fault set during a watch affects its answer.
        if self.fault == "silent":
            await asyncio.Event().wait()
        if self.fault == "reset":
            return None
        if self.fault == "endless":
            await send_endless(writer, self.endless_start, self.endless_unit)
            return None
        if self.fault == "busy":
            return self._json(503, {"error": "busy"})
        source = StoreCopy(self._revision, self._items, ())
        if query.get("serializable") == "1" and self.stale_copy is not None:
            source = self.stale_copy
        if url.path == "/-/kv-key":
            return self._get_key(query["key"], source)
        if url.path == "/-/kv-range":
            return self._get_range(query.get("prefix", ""), query.get("after", ""), source)
        return self._get_events_after(query)

    def _get_key(self, key: str, source: StoreCopy) -> bytes:
        if key not in source.items:
            return self._json(404, {"error": "no such key", "as_of": source.revision})
        return self._json(200, {**_event(key, source.items[key]), "as_of": source.revision})

    def _get_range(self, prefix: str, after: str, source: StoreCopy) -> bytes:
        items = source.items
        keys = [key for key in sorted(items) if key.startswith(prefix) and key > after]
        page = [_event(key, items[key]) for key in keys[: self._page_items]]
        has_more = len(keys) > len(page)
        return self._json(200, {"items": page, "has_more": has_more, "as_of": source.revision})

    def _get_events_after(self, query: dict[str, str]) -> bytes:
        after = int(query["after"])
        if not self._oldest_known_revision <= after <= self._revision:
            return self._json(410, {"error": "history is gone"})
        events = self._events(query)
        as_of = after if self._are_watches_held else self._revision
        return self._json(200, {"events": events, "as_of": as_of})

    async def _wait_for_events(self, query: dict[str, str]) -> bool:
        """Wait until a watch can be answered; return whether it was cut instead."""
        loop = asyncio.get_running_loop()
        end_s = loop.time() + int(query["wait_ms"]) / 1000
        cut_count = self._cut_count
        while self._must_wait(query) and loop.time() < end_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(self._changed.wait(), end_s - loop.time())
            if self._cut_count != cut_count:
                return True
        return False

    def _must_wait(self, query: dict[str, str]) -> bool:
        """Return whether a watch has nothing to return yet, and isn't refused."""
        return int(query["after"]) <= self._revision and not self._events(query)

    def _events(self, query: dict[str, str]) -> list[dict]:
        if self._are_watches_held:
            return []
        after, prefix = int(query["after"]), query.get("prefix", "")
        return [e for e in self._history if e["revision"] > after and e["key"].startswith(prefix)]

    def _json(self, status: int, data: dict) -> bytes:
        headers = (("Content-Type", "application/json"), ("Store-Era", str(self._era)))
        return make_response(status, json.dumps(data).encode(), *headers)


def _event(key: str, item: tuple[bytes, int]) -> dict:
    data, revision = item
    value = base64.b64encode(data).decode()
    return {"key": key, "value": value, "revision": revision, "created": 1, "lease": 0}
