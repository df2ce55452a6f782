"""Orderly ends of connections: what is left to send, and how long to wait for the peer."""

from __future__ import annotations

import asyncio

from attrs import define, frozen

from cottonlink.path._sockets import CALLER_UNACKNOWLEDGED_TIMEOUT_MS, unacknowledged_bytes

# Time for a peer that has everything to read it and to close the connection.
LINGER_MS = 2_000.0
# Time for which a peer that hasn't everything may take nothing.
STALLED_MS = float(CALLER_UNACKNOWLEDGED_TIMEOUT_MS)
# Longest time for a peer that takes a little now and then.
LONGEST_LINGER_MS = 60_000.0

# Ends that cut off what is in progress, and are the node's own.
_OWN_CAUSES = frozenset(("aborted", "process_end", "stalled", "reclaimed"))


@frozen
class ConnectionEnd:
    """How a caller's connection ended, and what was unfinished.

    ``cause`` is a reason code: ``peer_closed``, ``answered``, ``rejected``, ``idle``, ``stalled``,
    ``aborted``, ``process_end``, ``reclaimed`` if its memory or descriptor was needed,
    ``response_cut_short`` if a long response ended early at its target, or the name of the error
    that ended the connection.
    ``unread_bytes`` counts received bytes that were not parsed. ``unanswered_ids`` are requests
    without a response; ``started_count`` of them were being served.
    """

    cause: str
    unsent_bytes: int
    unread_bytes: int
    unanswered_ids: tuple[bytes, ...]
    started_count: int

    @property
    def is_answer_cut_short(self) -> bool:
        """Whether a response, or a request being served, was given up by the node's own side."""
        if self.cause == "response_cut_short":
            return True
        return self.unsent_bytes > 0 or (self.started_count > 0 and self.cause in _OWN_CAUSES)


def unsent_bytes(transport: asyncio.Transport) -> int:
    """Return the number of written bytes that the peer hasn't acknowledged."""
    return transport.get_write_buffer_size() + (unacknowledged_bytes(transport) or 0)


@define
class Linger:
    """Tells how long to wait for the peer's end of a connection after the last response.

    Closing a connection that receives further input resets it, which discards what the peer hasn't
    read yet. So the node only ends its own side, and goes on reading until the peer has closed. The
    wait is bounded from the moment at which the peer has everything, or stops taking more.
    """

    _began_ms: float
    _unsent_bytes: int = -1
    _until_ms: float = float("inf")

    def is_over(self, now_ms: float, unsent: int) -> bool:
        """Return whether to wait no longer, with ``unsent`` bytes still to be taken."""
        if unsent != self._unsent_bytes:
            self._unsent_bytes = unsent
            self._until_ms = now_ms + (STALLED_MS if unsent else LINGER_MS)
        return now_ms >= min(self._until_ms, self._began_ms + LONGEST_LINGER_MS)
