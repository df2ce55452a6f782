"""Interface to the HTTP headers that callers and targets use."""

from __future__ import annotations

from typing import Protocol

from cottonlink.path._http import Headers
from cottonlink.path._http_client import HttpResponse
from cottonlink.path._model import Request
from cottonlink.path.peers._frames import CallFrame


class HeaderCodec(Protocol):
    """Translates between headers and the path's types. A platform's adapter implements it."""

    id_header: bytes
    """Lower-case name of the header that carries the request id, also in responses."""

    def parse_request(
        self, method: bytes, target: bytes, headers: Headers, body: bytes
    ) -> Request | None:
        """Return a caller's request, or None if a required header is missing or invalid."""

    def parent_id(self, request_id: bytes) -> bytes | None:
        """Return the id of the request that makes a call, if the call's own id tells it.

        It is a hint for the order of calls, on which no promise may depend.
        """

    def target_headers(self, frame: CallFrame, remaining_ms: int) -> Headers:
        """Return the headers of the request that is sent to the target."""

    def key_digest(self, headers: Headers) -> bytes | None:
        """Return the digest of the API key in a request, or None if it has none or several."""

    def without_credentials(self, headers: Headers, *, needs_key: bool) -> Headers:
        """Return the headers of a request without keys and names of organisations.

        Where no key is needed, other credentials are for the target and stay.
        """

    def organisation_header(self, name: str) -> tuple[bytes, bytes]:
        """Return the header that tells a target whose request it is.

        It is the last one of a call between nodes, so that builds that know no organisations pass
        it on as well.
        """

    def organisation(self, headers: Headers) -> str:
        """Return the organisation that a node has put behind the headers of a call, or ``""``."""

    def is_not_run(self, answer: HttpResponse) -> bool:
        """Return whether the target states that it didn't run the request."""

    def is_wrong_upstream(self, answer: HttpResponse) -> bool:
        """Return whether the response comes from another upstream than the intended one."""

    def is_leaving(self, headers: Headers) -> bool:
        """Return whether the headers of a response say that its target leaves."""

    def limit_per_s(self, headers: Headers) -> float | None:
        """Return the requests per second that a target takes, or None if a response names no limit.

        Raises CottonlinkError if the limit is no number of at least 0, or too large to mean one.
        """

    def retry_after(self, delay_ms: float) -> Headers:
        """Return the headers that tell a caller to retry after ``delay_ms``."""
