"""Socket options that detect dead peers, and the fill of a socket's buffers."""

from __future__ import annotations

import asyncio
import fcntl
import socket
import struct
import termios

# The kernel closes a connection that answers no probe after about 3 s: an open connection may stay
# silent for good while new ones work.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_PROBES = 2
# Longest time for which sent bytes may stay unacknowledged, or a full window of the peer may stay
# full.
UNACKNOWLEDGED_TIMEOUT_MS = 3_000
# The same for callers, which are on the node's own VM: no link between them can be cut, but they
# may pause while they read.
CALLER_UNACKNOWLEDGED_TIMEOUT_MS = 15_000


def enable_dead_peer_detection(
    transport: asyncio.BaseTransport, unacknowledged_timeout_ms: int = UNACKNOWLEDGED_TIMEOUT_MS
) -> None:
    """Let the kernel close the connection of ``transport`` when its peer stops responding."""
    sock = transport.get_extra_info("socket")
    if sock is None:
        return
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_PROBES)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, unacknowledged_timeout_ms)


def unread_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Return the number of received bytes that wait in the kernel, None if it can't tell."""
    return _read_fill(transport, termios.FIONREAD)


def unacknowledged_bytes(transport: asyncio.BaseTransport) -> int | None:
    """Return the number of bytes in the kernel that the peer's hasn't acknowledged.

    None if the kernel can't tell.
    """
    return _read_fill(transport, termios.TIOCOUTQ)


def _read_fill(transport: asyncio.BaseTransport, request: int) -> int | None:
    sock = transport.get_extra_info("socket")
    if sock is None:
        return None
    try:
        return struct.unpack("i", fcntl.ioctl(sock.fileno(), request, bytes(4)))[0]
    except (OSError, ValueError):
        return None
