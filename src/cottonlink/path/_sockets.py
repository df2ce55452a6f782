"""Socket options that detect dead peers, and the fill of a socket's buffers."""

from __future__ import annotations

import asyncio
import fcntl
import resource
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

# Bytes for another node that its connection may hold. Above it nothing more is begun that would add
# to them: calls and responses would come too late, and a narrow link must not fill the memory.
PEER_BUFFER_LIMIT_BYTES = 4_000_000

# Descriptors for links to and from 740 peers, for targets, the store, and connections that are
# accepted in one round before the first of them is refused.
OTHER_DESCRIPTORS = 3_072
LARGEST_LISTEN_BACKLOG = 1_024
# Used if the process has no limit.
LARGEST_DESCRIPTOR_LIMIT = 65_536


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


def peer_ip(transport: asyncio.BaseTransport) -> str:
    """Return the IP address of the peer, empty if it isn't known."""
    address = transport.get_extra_info("peername")
    return address[0] if address else ""


def client_connection_limit() -> int:
    """Return the number of clients' connections that leave descriptors for all else."""
    descriptors = _descriptor_limit()
    return descriptors - min(descriptors // 2, OTHER_DESCRIPTORS)


def listen_backlog() -> int:
    """Return how many connections may wait for a listener.

    All of them can be accepted in one round of the event loop, before any is refused.
    """
    return min(LARGEST_LISTEN_BACKLOG, min(_descriptor_limit() // 2, OTHER_DESCRIPTORS) // 4)


def _descriptor_limit() -> int:
    descriptors = resource.getrlimit(resource.RLIMIT_NOFILE)[0]
    return LARGEST_DESCRIPTOR_LIMIT if descriptors == resource.RLIM_INFINITY else descriptors


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
