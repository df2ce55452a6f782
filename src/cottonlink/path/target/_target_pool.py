"""Pool of connections to one target, last in first out so that surplus connections go idle."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from cottonlink.path._http_client import HttpConnection, SkippedResponse
from cottonlink.path._paced_input import EventLoop

# Idle time-out assumed for a target that announces none.
DEFAULT_IDLE_TIMEOUT_MS = 4_000.0
# An idle connection is closed this long before the target's own idle time-out.
IDLE_MARGIN_MS = 1_000.0
# Longest idle time of a connection for a request that may run only once: the target may have
# dropped the connection without notice, and the request's outcome would stay unknown.
MAX_FRESH_IDLE_MS = 1_500.0
CONNECT_TIMEOUT_S = 1.0


class TargetPool:
    """Keeps connections to the target at ``address``, at most ``limit`` of them.

    ``turns`` paces the input of its connections, the event loop by default. ``on_skipped`` is
    called with each response that didn't belong to the request in progress.
    """

    def __init__(
        self,
        address: tuple[str, int],
        id_header: bytes,
        loop: asyncio.AbstractEventLoop,
        turns: EventLoop | None = None,
    ) -> None:
        self._address = address
        self._id_header = id_header
        self._loop = loop
        self._turns = turns or loop
        self._idle: list[HttpConnection] = []
        self._open: set[HttpConnection] = set()
        self._connect_tasks: set[asyncio.Task] = set()
        self.limit = 1_000
        self.opened_count = 0
        self.on_skipped: Callable[[SkippedResponse], None] | None = None

    def acquire(
        self,
        *,
        must_be_fresh: bool,
        request_id: bytes,
        on_ready: Callable[[HttpConnection], None],
        on_failure: Callable[[str], None],
    ) -> None:
        """Call ``on_ready`` with a connection, or ``on_failure`` with a reason code.

        With ``must_be_fresh``, a connection idle for longer than ``MAX_FRESH_IDLE_MS`` isn't used.
        Nor is one on which ``request_id`` was sent before, or any if the request has no id: what
        belongs to it can't be told from what belongs to earlier requests.
        """
        connection = self._take_idle(must_be_fresh, request_id) if request_id else None
        if connection is not None:
            on_ready(connection)
            return
        if len(self._open) + len(self._connect_tasks) >= self.limit:
            on_failure("target_connections")
            return
        self._start_connecting(on_ready, on_failure)

    def check_target(
        self, on_reachable: Callable[[], None], on_failure: Callable[[str], None]
    ) -> None:
        """Find out whether the target accepts connections, with a new one that then stays idle."""

        def keep(connection: HttpConnection) -> None:
            self.release(connection)
            on_reachable()

        self._start_connecting(keep, on_failure)

    def release(self, connection: HttpConnection) -> None:
        """Return a connection to the pool when its exchange has ended."""
        if connection.can_send and connection.is_reusable:
            connection.idle_since_ms = self._loop.time() * 1000.0
            self._idle.append(connection)
        elif connection.is_open:
            connection.close()

    def sweep(self) -> None:
        """Close expired idle connections before the target closes them."""
        now_ms = self._loop.time() * 1000.0
        expired = [c for c in self._idle if not c.is_open or _is_expired(c, now_ms)]
        for connection in expired:
            self._idle.remove(connection)
            connection.close()

    def drop_idle(self) -> None:
        """Close all idle connections, as after a restart of the target."""
        idle, self._idle = self._idle, []
        for connection in idle:
            connection.close()

    def _take_idle(self, must_be_fresh: bool, request_id: bytes) -> HttpConnection | None:
        now_ms = self._loop.time() * 1000.0
        for index in range(len(self._idle) - 1, -1, -1):
            connection = self._idle[index]
            if not connection.can_send or _is_expired(connection, now_ms):
                del self._idle[index]
                connection.close()
                continue
            if must_be_fresh and now_ms - connection.idle_since_ms > MAX_FRESH_IDLE_MS:
                return None
            if not connection.has_sent(request_id):
                return self._idle.pop(index)
        return None

    def _start_connecting(
        self, on_ready: Callable[[HttpConnection], None], on_failure: Callable[[str], None]
    ) -> None:
        task = self._loop.create_task(self._connect(on_ready, on_failure))
        self._connect_tasks.add(task)
        task.add_done_callback(self._connect_tasks.discard)

    async def _connect(
        self, on_ready: Callable[[HttpConnection], None], on_failure: Callable[[str], None]
    ) -> None:
        def make_connection() -> HttpConnection:
            return HttpConnection(
                self._id_header, self._turns, self._open.discard, on_skipped=self.on_skipped
            )

        try:
            connecting = self._loop.create_connection(make_connection, *self._address)
            _, connection = await asyncio.wait_for(connecting, CONNECT_TIMEOUT_S)
        except TimeoutError:
            on_failure("target_silent")
            return
        except Exception:
            # Not only an OSError: whatever it is, the call that waits must be told.
            on_failure("target_unreachable")
            return
        if not connection.can_send:
            # Lost before this task resumed, as a target does that has too many connections.
            on_failure("target_connections")
            return
        self._open.add(connection)
        self.opened_count += 1
        on_ready(connection)


def _is_expired(connection: HttpConnection, now_ms: float) -> bool:
    timeout_ms = connection.idle_timeout_ms
    limit_ms = (
        DEFAULT_IDLE_TIMEOUT_MS if timeout_ms is None else max(0.0, timeout_ms - IDLE_MARGIN_MS)
    )
    return now_ms - connection.idle_since_ms > limit_ms
