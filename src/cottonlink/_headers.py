"""HTTP headers exchanged by callers, nodes and targets: names, parsing and filtering."""

from __future__ import annotations

import functools
import re
from collections.abc import Iterable

from attrs import frozen

TRACEPARENT = "traceparent"
IDEMPOTENCY_KEY = "Idempotency-Key"
PERMIT = "Cottonlink-Permit"
DEADLINE_MS = "Cottonlink-Deadline-Ms"
CALL = "Cottonlink-Call"
DEPTH = "Cottonlink-Depth"
IMPORTANCE = "Cottonlink-Importance"
RETRY_BUDGET = "Cottonlink-Retry-Budget"
CALL_ID = "Cottonlink-Call-Id"
INGRESS = "Cottonlink-Ingress"
KIND = "Cottonlink-Kind"
POLICY_VERSION = "Cottonlink-Policy-Version"
SUSPICION = "Cottonlink-Suspicion"
LOAD = "Cottonlink-Load"
THRESHOLD = "Cottonlink-Threshold"
STATE = "Cottonlink-State"
TIME = "Cottonlink-Time"
EXECUTED = "Cottonlink-Executed"
COTTONLINK_HEADER_PREFIX = "cottonlink-"

HOP_BY_HOP = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "proxy-connection",
        "te",
        "trailer",
        "trailers",
        "transfer-encoding",
        "upgrade",
    )
)

# Headers that each sender sets for its own message or that its listener has already handled.
SINGLE_HOP_HEADERS = HOP_BY_HOP | {"content-length", "expect", "host"}

_TRACEPARENT_RE = re.compile(r"([0-9a-f]{2})-([0-9a-f]{32})-([0-9a-f]{16})-([0-9a-f]{2})(-.*)?")
_DIGITS_RE = re.compile(r"[0-9]{1,9}", re.ASCII)
_VISIBLE_ASCII_RE = re.compile(r"[\x21-\x7e]+")

Headers = tuple[tuple[str, str], ...]


@frozen
class TraceContext:
    """W3C trace context. ``trace_id`` is the root request id, ``parent_id`` the sender's span."""

    trace_id: str
    parent_id: str
    flags: str = "01"

    def __str__(self) -> str:
        return f"00-{self.trace_id}-{self.parent_id}-{self.flags}"


def parse_traceparent(text: str) -> TraceContext | None:
    """Return the trace context in ``text``, or None if it is malformed."""
    match = _TRACEPARENT_RE.fullmatch(text)
    if match is None:
        return None
    version, trace_id, parent_id, flags, rest = match.groups()
    if version == "ff" or (version == "00" and rest):
        return None
    if not int(trace_id, 16) or not int(parent_id, 16):
        return None
    return TraceContext(trace_id, parent_id, flags)


def parse_unsigned_int(text: str) -> int | None:
    """Return the decimal integer of one to nine ASCII digits in ``text``, or None if malformed."""
    return int(text) if _DIGITS_RE.fullmatch(text) else None


def is_visible_ascii(text: str, max_length: int = 256) -> bool:
    """Return whether ``text`` is 1 to ``max_length`` visible ASCII characters (0x21 to 0x7e)."""
    return len(text) <= max_length and _VISIBLE_ASCII_RE.fullmatch(text) is not None


def end_to_end_headers(headers: Iterable[tuple[str, str]]) -> Headers:
    """Return ``headers`` without hop-by-hop headers and without ``Cottonlink-*`` headers.

    Headers named in a Connection header are hop-by-hop as well (RFC 9110, section 7.6.1).
    """
    named = [(name.lower(), name, value) for name, value in headers]
    dropped = SINGLE_HOP_HEADERS
    for lower_name, _, value in named:
        if lower_name == "connection":
            dropped = dropped | {item.strip().lower() for item in value.split(",")}
    return tuple(
        (name, value)
        for lower_name, name, value in named
        if lower_name not in dropped and lower_name[:11] != COTTONLINK_HEADER_PREFIX
    )


def response_headers(method: str, status: int, headers: Iterable[tuple[str, str]]) -> Headers:
    """Return the headers of a response that are passed on to the next hop.

    For HEAD and 304 they include Content-Length, which describes a body that the response doesn't
    carry and so can't be computed from it.
    """
    pairs = tuple(headers)
    kept = end_to_end_headers(pairs)
    if method != "HEAD" and status != 304:
        return kept
    return (*kept, *((name, value) for name, value in pairs if name.lower() == "content-length"))


def environ_headers(environ: dict) -> Headers:
    """Return the request headers of a WSGI environment."""
    headers = tuple((_header_name(key), environ[key]) for key in environ if key[:5] == "HTTP_")
    content_type = environ.get("CONTENT_TYPE")
    return (("Content-Type", content_type), *headers) if content_type else headers


@functools.lru_cache(maxsize=512)
def environ_name(header: str) -> str:
    """Return the key of ``header`` in a WSGI environment."""
    return "HTTP_" + header.upper().replace("-", "_")


@functools.lru_cache(maxsize=512)
def _header_name(key: str) -> str:
    return key[5:].replace("_", "-").title()
