"""HTTP/1.1 helpers for both sides: message serialization and hop-by-hop headers."""

from __future__ import annotations

from collections.abc import Iterable
from http import HTTPStatus

from cottonlink.path._body import WholeBody

Headers = tuple[tuple[bytes, bytes], ...]

# Bytes of a message besides its body: the framing of chunks and the trailers, and for a response
# also its head and interim responses. The framing may be as large as the body in addition.
OVERHEAD_LIMIT_BYTES = 65_536

# Hop-by-hop headers (RFC 9110, section 7.6.1), and those that frame a body, which each connection
# sets itself.
CONNECTION_HEADERS = frozenset(
    (
        b"connection",
        b"keep-alive",
        b"proxy-connection",
        b"proxy-authenticate",
        b"proxy-authorization",
        b"te",
        b"trailer",
        b"transfer-encoding",
        b"upgrade",
        b"content-length",
        b"expect",
    )
)

_STATUS_LINES = {
    status.value: f"HTTP/1.1 {status.value} {status.phrase}\r\n".encode() for status in HTTPStatus
}
# Responses with these codes never have a body (RFC 9110, section 6.4.1).
_BODILESS_STATUSES = frozenset((204, 304))


def end_to_end_headers(headers: Iterable[tuple[bytes, bytes]], drop: frozenset[bytes]) -> Headers:
    """Return the headers that may be forwarded.

    Left out are hop-by-hop headers, those that ``Connection`` names, and those in ``drop``, which
    are in lower case.
    """
    kept = []
    connection_options: set[bytes] = set()
    for header in headers:
        lower = header[0].lower()
        if lower == b"connection":
            connection_options.update(token.strip().lower() for token in header[1].split(b","))
        elif lower not in CONNECTION_HEADERS and lower not in drop:
            kept.append(header)
    if connection_options:
        kept = [header for header in kept if header[0].lower() not in connection_options]
    return tuple(kept)


def response_bytes(
    status: int,
    headers: Iterable[tuple[bytes, bytes]],
    body: WholeBody,
    *,
    close: bool,
    is_head: bool,
) -> bytes:
    """Return a serialized response, with a Content-Length if its status allows a body."""
    parts = _head_parts(status, headers, close=close)
    if status not in _BODILESS_STATUSES:
        parts.append(b"Content-Length: %d\r\n" % len(body))
    parts.append(b"\r\n")
    if not is_head and status not in _BODILESS_STATUSES:
        parts.append(body)
    return b"".join(parts)


def stream_head_bytes(
    status: int, headers: Iterable[tuple[bytes, bytes]], framing: bytes, *, close: bool
) -> bytes:
    """Return the head of a response whose body follows; ``framing`` is a header, or empty."""
    return b"".join([*_head_parts(status, headers, close=close), framing, b"\r\n"])


def _head_parts(status: int, headers: Iterable[tuple[bytes, bytes]], *, close: bool) -> list[bytes]:
    parts = [_STATUS_LINES.get(status) or f"HTTP/1.1 {status} Status\r\n".encode()]
    parts += [b"%b: %b\r\n" % header for header in headers]
    if close:
        parts.append(b"Connection: close\r\n")
    return parts


def request_head_bytes(
    method: bytes, target: bytes, headers: Iterable[tuple[bytes, bytes]], body_length: int
) -> bytes:
    """Return the head of a request, with a Content-Length if it may have a body."""
    parts = [b"%b %b HTTP/1.1\r\n" % (method, target)]
    parts += [b"%b: %b\r\n" % header for header in headers]
    if body_length or method in (b"POST", b"PUT", b"PATCH"):
        parts.append(b"Content-Length: %d\r\n" % body_length)
    parts.append(b"\r\n")
    return b"".join(parts)


def parse_address(address: str) -> tuple[str, int]:
    """Return host and port of ``host:port``."""
    host, _, port = address.rpartition(":")
    return host, int(port)
