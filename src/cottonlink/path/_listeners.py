"""Listening sockets of a node, and their close without dropping connections that wait."""

from __future__ import annotations

import asyncio
import errno
import select
from collections.abc import Callable

from cottonlink.errors import ListenError
from cottonlink.path._http import parse_address
from cottonlink.path._sockets import listen_backlog

# Rounds of the event loop in which waiting connections are accepted before the listeners close. New
# ones may come in each round, so the number is limited.
ACCEPT_ROUNDS = 100
# A connection that was accepted in one round is attached to its listener in the next.
QUIET_ROUNDS = 2
# Errors that pass: a process that ends still has the address, or the VM doesn't have it yet.
_PASSING_ERRORS = frozenset((errno.EADDRINUSE, errno.EADDRNOTAVAIL))
# Interval of attempts to listen at an address that is in use, and attempts between reports of it.
RETRY_INTERVAL_S = 0.1
ATTEMPTS_PER_REPORT = 50


class Listeners:
    """Opens the listeners of a node and closes them together.

    ``on_waiting`` is called from time to time with an address that can't be listened at for now,
    and the reason.
    """

    def __init__(
        self, loop: asyncio.AbstractEventLoop, on_waiting: Callable[[str, str], None]
    ) -> None:
        self._loop = loop
        self._on_waiting = on_waiting
        self._servers: list[asyncio.Server] = []
        self._is_closing = self._is_closed = False

    @property
    def is_open(self) -> bool:
        """Whether connections are still accepted."""
        return bool(self._servers)

    async def open(self, address: str, make_protocol: Callable[[], asyncio.Protocol]) -> None:
        """Listen at ``address``, as soon as no other process does.

        Raises ListenError if that can't be waited for.
        """
        host, port = parse_address(address)
        attempts = 0
        while not self._is_closed:
            try:
                server = await self._loop.create_server(
                    make_protocol, host, port, backlog=listen_backlog(), reuse_address=True
                )
            except OSError as error:
                if error.errno not in _PASSING_ERRORS:
                    raise ListenError(str(error), peer=address) from error
                if attempts % ATTEMPTS_PER_REPORT == 0:
                    self._on_waiting(address, str(error))
                attempts += 1
                await asyncio.sleep(RETRY_INTERVAL_S)
                continue
            self._servers.append(server)
            break
        if self._is_closed:
            self.close()

    def close(self) -> None:
        """Close all listeners; connections that wait to be accepted are reset."""
        self._is_closed = True
        servers, self._servers = self._servers, []
        for server in servers:
            server.close()

    def close_when_accepted(self) -> None:
        """Close all listeners at a moment at which no connection waits to be accepted."""
        if not self._is_closing:
            self._is_closing = True
            self._accept_and_close(ACCEPT_ROUNDS, 0)

    def _accept_and_close(self, rounds_left: int, quiet_rounds: int) -> None:
        quiet_rounds = 0 if self._has_waiting_connections() else quiet_rounds + 1
        if rounds_left == 0 or quiet_rounds > QUIET_ROUNDS:
            self.close()
        else:
            self._loop.call_soon(self._accept_and_close, rounds_left - 1, quiet_rounds)

    def _has_waiting_connections(self) -> bool:
        poll = select.poll()
        for server in self._servers:
            for sock in server.sockets:
                poll.register(sock.fileno(), select.POLLIN)
        return bool(poll.poll(0))
