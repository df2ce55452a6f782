"""The platform's headers between callers, nodes and targets."""

from __future__ import annotations

import math

from cottonlink.errors import CottonlinkError, Step
from cottonlink.organisations import key_digest
from cottonlink.path import CallFrame, Headers, HttpResponse, Request

# Identifies one attempt of a caller, not the caller's request over all its attempts.
ATTEMPT_ID = b"X-Attempt-Id"
# Time left until the deadline, not a point in time.
REMAINING_MS = b"X-Request-Deadline-Ms"
EXPECTED_UPSTREAM = b"X-Expected-Instance"
CALLER_SERVICE = b"X-Caller-Service"
# Name of the organisation whose key the caller sent.
ORGANISATION = b"X-Tenant"
AUTHORIZATION = b"authorization"
KEY_SCHEME = b"token"
NOT_EXECUTED = b"x-not-executed"
LEAVING = b"server-leaving"
# Requests per second from all nodes together, with a decimal point if need be.
LIMIT = b"server-limit"

_PLATFORM_HEADERS = frozenset(
    name.lower() for name in (ATTEMPT_ID, REMAINING_MS, EXPECTED_UPSTREAM, CALLER_SERVICE)
)
_ORGANISATION = ORGANISATION.lower()
_MISDIRECTED_REQUEST = 421
# No target takes more requests than this in a second.
_MAX_LIMIT_PER_S = 1_000_000.0
# Remaining times are capped at a day: a longer one limits nothing and would not fit into a frame.
_MAX_REMAINING_MS = 86_400_000


class PlatformHeaderCodec:
    """Translates between the types of the call path and the platform's headers."""

    id_header = ATTEMPT_ID.lower()

    def parse_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> Request | None:
        """Return a caller's request, or None if it is malformed.

        ``target`` is the HTTP request target. It must begin with a slash, and there must be exactly
        one Host header. The deadline may be absent, but must be a number of at least 0.
        """
        host_header = request_id = remaining_header = None
        forwarded_headers: list[tuple[bytes, bytes]] = []
        for header in headers:
            lower = header[0].lower()
            if lower == b"host":
                if host_header is not None:
                    return None
                host_header = header[1]
            elif lower == self.id_header:
                request_id = header[1]
            elif lower == b"x-request-deadline-ms":
                remaining_header = header[1]
            elif lower not in _PLATFORM_HEADERS:
                forwarded_headers.append(header)
        if not host_header or not target.startswith(b"/"):
            return None
        remaining_ms = None
        if remaining_header is not None:
            try:
                remaining_ms = min(float(remaining_header), _MAX_REMAINING_MS)
            except ValueError:
                return None
            if not remaining_ms >= 0:
                return None
        return Request(
            request_id=request_id or b"",
            method=method,
            target=target,
            host=host_header.partition(b":")[0].lower(),
            host_header=host_header,
            headers=tuple(forwarded_headers),
            body=body,
            remaining_ms=remaining_ms,
        )

    def parent_id(self, request_id: bytes) -> bytes | None:
        """Return what stands before the last dot of an id, or None if there is none.

        Targets form the ids of their calls so, though the platform doesn't promise it.
        """
        parent_id, _, _ = request_id.rpartition(b".")
        return parent_id or None

    def target_headers(self, frame: CallFrame, remaining_ms: int) -> Headers:
        """Return the headers with which a call is sent to its target."""
        platform_headers = [
            (b"Host", frame.host),
            (REMAINING_MS, b"%d" % remaining_ms),
            (EXPECTED_UPSTREAM, frame.upstream_id.encode()),
            (CALLER_SERVICE, frame.caller_service.encode()),
        ]
        if frame.request_id:
            platform_headers.append((ATTEMPT_ID, frame.request_id))
        return (*platform_headers, *frame.headers)

    def key_digest(self, headers: Headers) -> bytes | None:
        """Return the digest of the API key in a request, or None if it has none or several."""
        digest = None
        for name, value in headers:
            if name.lower() != AUTHORIZATION:
                continue
            parts = value.split(None, 1)
            if digest is not None or len(parts) < 2 or parts[0].lower() != KEY_SCHEME:
                return None
            digest = key_digest(parts[1].strip())
        return digest

    def without_credentials(self, headers: Headers, *, needs_key: bool) -> Headers:
        """Return the headers of a request without keys and names of organisations.

        Where no key is needed, other credentials are for the target and stay.
        """
        return tuple(
            header for header in headers if not _is_credential(*header, needs_key=needs_key)
        )

    def organisation_header(self, name: str) -> tuple[bytes, bytes]:
        """Return the header that tells a target whose request it is."""
        return (ORGANISATION, name.encode())

    def organisation(self, headers: Headers) -> str:
        """Return the organisation that a node has put behind the headers of a call, or ``""``."""
        if headers and headers[-1][0] == ORGANISATION:
            value = headers[-1][1]
            # A node without organisations passes on what its caller has sent.
            return value.decode() if value.isascii() else ""
        return ""

    def is_not_run(self, answer: HttpResponse) -> bool:
        """Return whether the target reports that it didn't run the request."""
        return answer.header(NOT_EXECUTED) is not None

    def is_wrong_upstream(self, answer: HttpResponse) -> bool:
        """Return whether another upstream than the intended one listens at the address."""
        return answer.status == _MISDIRECTED_REQUEST

    def is_leaving(self, headers: Headers) -> bool:
        """Return whether the headers of a response say that its target leaves."""
        return any(name.lower() == LEAVING and value == b"1" for name, value in headers)

    def limit_per_s(self, headers: Headers) -> float | None:
        """Return the requests per second that a target takes, or None if a response names no limit.

        Raises CottonlinkError if the limit is no number of at least 0, or too large to mean one.
        """
        for name, value in headers:
            if name.lower() == LIMIT:
                return _decode_limit(value)
        return None

    def retry_after(self, delay_ms: float) -> Headers:
        """Return the Retry-After header; the platform's callers accept fractions of a second."""
        return ((b"Retry-After", b"%.3f" % (delay_ms / 1000.0)),)


def _is_credential(name: bytes, value: bytes, *, needs_key: bool) -> bool:
    # Targets behind gateways of the older kind take underscores for hyphens.
    name = name.lower().replace(b"_", b"-")
    if name == AUTHORIZATION:
        return needs_key or value.lower().split(None, 1)[:1] == [KEY_SCHEME]
    return name == _ORGANISATION


def _decode_limit(value: bytes) -> float:
    try:
        # Python's own way to write digits isn't one of the page.
        limit_per_s = math.nan if b"_" in value else float(value)
    except ValueError:
        limit_per_s = math.nan
    if not 0 <= limit_per_s <= _MAX_LIMIT_PER_S:
        raise CottonlinkError(
            "target_limit_invalid",
            f"expected 0 to {_MAX_LIMIT_PER_S:g} requests per second, got {value[:40]!r}",
            step=Step.RUN,
        )
    return limit_per_s
