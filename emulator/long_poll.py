"""Serves a versioned value by long poll, with faults that can be set over HTTP.

Used by the stand-ins for the configuration service and the VM list. Requests:

- the resource itself, ``GET <path>?after_version=N&wait_ms=W``: 200 with the value, or 304;
- ``PUT /_emulator/value`` publishes a value; its version is its JSON field ``version``, or the
  query parameter ``version`` if the body is invalid on purpose;
- ``POST /_emulator/faults`` sets the faults, see ``Faults``;
- ``GET /_emulator/reads`` returns the numbers of reads.
"""

from __future__ import annotations

import collections
import json
import threading
import time
import zlib
from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qs

import waitress
from attrs import define, evolve, field, frozen
from cattrs import Converter

MAX_WAIT_MS = 30_000
MAX_VALUE_BYTES = 1 << 20
HISTORY_COUNT = 100
THREAD_COUNT = 64


@frozen
class Faults:
    """Faults of the service. A fault that a request doesn't name is switched off.

    With ``is_down`` the service answers 503. With ``is_stale`` it serves the value that was current
    when the faults were set. With ``rolled_back_to`` it serves the last value whose version is not
    higher. With ``ignores_after_version`` it answers at once even if the reader has the value.
    ``delay_ms`` delays each answer.
    """

    is_down: bool = False
    is_stale: bool = False
    rolled_back_to: int | None = None
    ignores_after_version: bool = False
    delay_ms: int = 0


@frozen
class _Value:
    version: int
    body: bytes


@define(eq=False)
class VersionedStore:
    """Published values, faults and read counts. Thread-safe.

    ``_stale_count`` is the number of values published when the faults were set.
    """

    _changed: threading.Condition = field(factory=threading.Condition)
    _values: list[_Value] = field(factory=list)
    _stale_count: int = 0
    faults: Faults = field(factory=Faults)
    _reads_by_second: collections.Counter[int] = field(factory=collections.Counter)
    _waiting_count: int = 0
    _served_count: int = 0

    def publish(self, body: bytes, version: int | None = None) -> None:
        """Make ``body`` the current value.

        Without ``version`` it must be JSON with a field ``version``; ValueError, TypeError or
        LookupError otherwise.
        """
        if version is None:
            version = json.loads(body)["version"]
        with self._changed:
            self._values = [*self._values[-HISTORY_COUNT:], _Value(version, body)]
            self._changed.notify_all()

    def set_faults(self, faults: Faults) -> None:
        """Replace the faults."""
        with self._changed:
            self._stale_count = len(self._values)
            self.faults = faults
            self._changed.notify_all()

    def read(self, after_version: int, wait_ms: int) -> bytes | None:
        """Return a value later than ``after_version``, or None after ``wait_ms`` or if down."""
        with self._changed:
            self._reads_by_second[int(time.monotonic())] += 1
            self._waiting_count += 1
            found = self._changed.wait_for(
                lambda: self.faults.is_down or self._find_served_value(after_version),
                min(wait_ms, MAX_WAIT_MS) / 1000,
            )
            self._waiting_count -= 1
            self._served_count += isinstance(found, _Value)
        return found.body if isinstance(found, _Value) else None

    def reads(self) -> dict[str, int]:
        """Return the number of reads: all, with a value, in the busiest second, waiting now."""
        with self._changed:
            counts = self._reads_by_second.values()
            return {
                "total": sum(counts),
                "served": self._served_count,
                "peak_per_second": max(counts, default=0),
                "waiting": self._waiting_count,
            }

    def _find_served_value(self, after_version: int) -> _Value | None:
        faults = self.faults
        values = self._values[: self._stale_count] if faults.is_stale else self._values
        if faults.rolled_back_to is not None:
            values = [value for value in values if value.version <= faults.rolled_back_to]
        current = values[-1] if values else None
        if current and (current.version > after_version or faults.ignores_after_version):
            return current
        return None


class LongPollApp:
    """WSGI application that serves one store at ``path``."""

    def __init__(self, path: str, store: VersionedStore) -> None:
        self._path = path
        self.store = store
        self._routes: dict[tuple[str, str], Callable[[dict], tuple[str, bytes]]] = {
            ("GET", path): self._get,
            ("PUT", "/_emulator/value"): self._put_value,
            ("POST", "/_emulator/faults"): self._post_faults,
            ("GET", "/_emulator/reads"): self._get_reads,
        }

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        route = self._routes.get((environ["REQUEST_METHOD"], environ["PATH_INFO"]))
        try:
            status, body = route(environ) if route else ("404 Not Found", b"")
        except (ValueError, TypeError, LookupError) as error:
            status, body = "400 Bad Request", str(error).encode()
        headers = [("Content-Type", "application/json")]
        if body and "deflate" in environ.get("HTTP_ACCEPT_ENCODING", ""):
            headers.append(("Content-Encoding", "deflate"))
            body = zlib.compress(body)
        if not status.startswith("304"):
            headers.append(("Content-Length", str(len(body))))
        start_response(status, headers)
        return [body]

    def _get(self, environ: dict) -> tuple[str, bytes]:
        query = _query(environ)
        body = self.store.read(int(query.get("after_version", 0)), int(query.get("wait_ms", 0)))
        time.sleep(self.store.faults.delay_ms / 1000)
        if self.store.faults.is_down:
            return "503 Service Unavailable", b""
        return ("304 Not Modified", b"") if body is None else ("200 OK", body)

    def _put_value(self, environ: dict) -> tuple[str, bytes]:
        version = _query(environ).get("version")
        self.store.publish(_body(environ), int(version) if version else None)
        return "200 OK", b"{}"

    def _post_faults(self, environ: dict) -> tuple[str, bytes]:
        data = json.loads(_body(environ))
        self.store.set_faults(Converter(forbid_extra_keys=True).structure(data, Faults))
        return "200 OK", b"{}"

    def _get_reads(self, environ: dict) -> tuple[str, bytes]:
        return "200 OK", json.dumps(self.store.reads()).encode()


@define(eq=False)
class RunningService:
    """A served application; ``address`` is ``ip:port``."""

    address: str
    store: VersionedStore
    _server: Any
    _sockets: dict
    _stopping: threading.Event = field(factory=threading.Event)
    _thread: threading.Thread | None = None

    def run(self) -> None:
        """Serve until ``stop``."""
        while not self._stopping.is_set():
            self._server.asyncore.loop(timeout=0.2, use_poll=True, map=self._sockets, count=1)
        self._server.task_dispatcher.shutdown(timeout=1)
        self._server.asyncore.close_all(self._sockets)

    def stop(self) -> None:
        """Answer the waiting reads, and close the listener and all connections."""
        self.store.set_faults(evolve(self.store.faults, is_down=True))
        self._stopping.set()
        if self._thread:
            self._thread.join(5)


def make_service(app: LongPollApp, host: str, port: int) -> RunningService:
    """Bind ``app`` to ``host`` and ``port`` (0 selects a free one); ``run`` serves it."""
    sockets: dict = {}
    server = waitress.create_server(
        app,
        map=sockets,
        host=host,
        port=port,
        threads=THREAD_COUNT,
        backlog=1_024,
        connection_limit=4_000,
        max_request_body_size=MAX_VALUE_BYTES + 1,
        inbuf_overflow=2 * MAX_VALUE_BYTES,
        outbuf_overflow=2 * MAX_VALUE_BYTES,
        asyncore_use_poll=True,
    )
    return RunningService(f"{host}:{server.effective_port}", app.store, server, sockets)


def start_service(app: LongPollApp, host: str = "127.0.0.1", port: int = 0) -> RunningService:
    """Serve ``app`` on a thread of this process."""
    service = make_service(app, host, port)
    service._thread = threading.Thread(target=service.run, daemon=True)
    service._thread.start()
    return service


def _query(environ: dict) -> dict[str, str]:
    pairs = parse_qs(environ.get("QUERY_STRING", ""))
    return {name: values[-1] for name, values in pairs.items()}


def _body(environ: dict) -> bytes:
    return environ["wsgi.input"].read(int(environ.get("CONTENT_LENGTH") or 0))
