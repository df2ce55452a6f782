"""What callers observe of a request, its response and its connection."""

from __future__ import annotations

from attrs import define, field, frozen

# The start of a body that a failure report shows.
SHOWN_BYTES = 120


@define
class ObservedRequest:
    """A request and the response that its caller received.

    ``status`` is 0 if the response is incomplete. ``seal`` is its X-Server-Seal header, which a
    target adds to each success; it is empty if there is none. ``sent_s`` is the time before its
    last byte was written. ``ending`` tells how the wait for the response ended: ``answered``,
    ``closed``, ``reset`` or ``timeout``.
    """

    request_id: str
    path: str
    is_booking: bool = False
    # Length of the request's body, and of its chunks if it is sent in some.
    sent_body_bytes: int = 0
    sent_chunk_bytes: int = 0
    # Whether the request offers another protocol, which nodes decline.
    offers_protocol: bool = False
    # Its API key, empty without one, and the headers that name it or forge an organisation.
    key: str = ""
    sent_headers: list[tuple[str, str]] = field(factory=list)
    vm: int = 0
    # The starts of the node's process at the time of the connection and at the end.
    incarnations: tuple[int, int] = (0, 0)
    connection_id: int = 0
    # Whether an earlier request of the connection had no answer yet when this one was sent.
    is_behind: bool = False
    sent_s: float = 0.0
    ended_s: float = 0.0
    # How late the event loop of the callers was at most from ``sent_s`` to ``ended_s``.
    lag_s: float = 0.0
    ending: str = ""
    status: int = 0
    seal: str = ""
    headers: dict[str, str] = field(factory=dict)
    body_bytes: int = 0
    body_start: bytes = b""
    # Whether all bytes after those of ``body_start`` are padding.
    is_rest_padding: bool = True

    @property
    def is_complete(self) -> bool:
        return self.ending == "answered"

    @property
    def duration_s(self) -> float:
        return self.ended_s - self.sent_s

    def add_body(self, data: bytes) -> None:
        """Take the next part of the body; of a long one only the start is kept."""
        self.body_bytes += len(data)
        kept = data[: max(0, SHOWN_BYTES - len(self.body_start))]
        self.body_start += kept
        rest = data[len(kept) :]
        self.is_rest_padding = self.is_rest_padding and rest.count(b".") == len(rest)


@frozen
class Violation:
    """A request for which the nodes broke a rule, named as on the users' pages."""

    rule: str
    request: ObservedRequest
    text: str


def expected_body(upstream_id: str, path: str) -> bytes:
    """Return the body with which a target answers a request for ``path``.

    A path such as /reads/large-2000000/7 asks for one of 2,000,000 bytes.
    """
    start = f"{upstream_id}:{path} ".encode()
    _, _, tail = path.partition("/large-")
    size = int(tail.partition("/")[0]) if tail else 0
    return start.ljust(size, b".")
