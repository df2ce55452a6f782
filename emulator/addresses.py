"""Reserves TCP ports on loopback addresses for the processes of a fleet."""

from __future__ import annotations

import socket

HOST = "127.0.0.1"
_ALL_ADDRESSES = "0.0.0.0"


class PortReserver:
    """Reserves ports for processes that are started, stopped and restarted.

    Each reserved port stays bound to a socket that never listens. The kernel therefore assigns it
    to no outgoing connection, while a listener that sets ``SO_REUSEADDR`` can still bind it.
    """

    def __init__(self) -> None:
        self._sockets: list[socket.socket] = []

    def reserve(self) -> str:
        """Return a free ``ip:port`` that stays reserved until ``close``."""
        return f"{HOST}:{self._bind_port(HOST)}"

    def reserve_on_all_addresses(self) -> int:
        """Return a port that is free on all local addresses; it stays reserved until ``close``."""
        return self._bind_port(_ALL_ADDRESSES)

    def close(self) -> None:
        """Release all ports."""
        for bound_socket in self._sockets:
            bound_socket.close()
        self._sockets.clear()

    def _bind_port(self, host: str) -> int:
        bound_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        bound_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        bound_socket.bind((host, 0))
        self._sockets.append(bound_socket)
        return bound_socket.getsockname()[1]


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``ip:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
