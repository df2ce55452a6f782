"""HTTP client of the control actors, with limits on time and response size."""

from __future__ import annotations

import json
import zlib
from typing import Any

import urllib3
from attrs import frozen

from cottonlink._clock import Clock
from cottonlink.errors import CottonlinkError, Step
from cottonlink.policy import MAX_RECORD_BYTES

CONNECT_TIMEOUT_MS = 500
# A body of 1 MB may take several round trips between regions 20 ms apart.
BODY_TIMEOUT_MS = 2_000

# Peers are chosen at random, so a pooled connection is rarely reused before its peer closes it.
_POOL_COUNT = 16
_CHUNK_BYTES = 65_536


@frozen
class ControlResponse:
    """A complete response; ``body`` is decompressed."""

    status: int
    body: bytes


class ControlClient:
    """Sends control requests. Thread-safe; each actor has its own.

    All errors are raised as CottonlinkError.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._pools = urllib3.PoolManager(num_pools=_POOL_COUNT, maxsize=4, retries=False)

    def get(self, address: str, path: str, *, wait_ms: int = 0) -> ControlResponse:
        """Send GET for ``path``; the server may delay its response by ``wait_ms`` (long poll)."""
        return self._request("GET", address, path, b"", wait_ms)

    def post(self, address: str, path: str, data: Any) -> ControlResponse:
        """Send ``data`` as JSON with POST."""
        return self._request("POST", address, path, json.dumps(data).encode(), 0)

    def close(self) -> None:
        """Close the pooled connections."""
        self._pools.clear()

    def _request(
        self, method: str, address: str, path: str, body: bytes, wait_ms: int
    ) -> ControlResponse:
        deadline_ms = self._clock.monotonic_ms() + wait_ms + BODY_TIMEOUT_MS
        headers = {"Accept-Encoding": "deflate"}
        if body:
            headers["Content-Type"] = "application/json"
        try:
            response = self._pools.request(
                method,
                f"http://{address}{path}",
                body=body or None,
                headers=headers,
                preload_content=False,
                redirect=False,
                timeout=urllib3.Timeout(
                    connect=CONNECT_TIMEOUT_MS / 1000, read=(wait_ms + BODY_TIMEOUT_MS) / 1000
                ),
            )
            try:
                raw = self._read(response, deadline_ms, address)
                response.release_conn()
            finally:
                # No effect on a connection that has been returned to its pool.
                response.close()
        except (urllib3.exceptions.HTTPError, OSError, ValueError) as error:
            raise _make_error("control_unreachable", f"{type(error).__name__}", address) from error
        if response.headers.get("Content-Encoding", "") == "deflate":
            raw = _decompress(raw, address)
        return ControlResponse(response.status, raw)

    def _read(self, response: urllib3.BaseHTTPResponse, deadline_ms: int, address: str) -> bytes:
        """Read the body in parts, so that a slow peer can't block the actor past the deadline."""
        chunks: list[bytes] = []
        size = 0
        while chunk := response.read1(_CHUNK_BYTES, decode_content=False):
            chunks.append(chunk)
            size += len(chunk)
            if size > MAX_RECORD_BYTES:
                raise _make_error(
                    "control_malformed", "the response exceeds the size limit", address
                )
            if self._clock.monotonic_ms() > deadline_ms:
                raise _make_error(
                    "control_unreachable", "the response is not complete at its deadline", address
                )
        return b"".join(chunks)


def parse_json(response: ControlResponse, address: str) -> Any:
    """Return the JSON in ``response``. Raises CottonlinkError unless it is JSON with status 200."""
    if response.status != 200:
        raise _make_error("control_refused", f"expected status 200, got {response.status}", address)
    try:
        return json.loads(response.body)
    except (ValueError, RecursionError) as error:
        raise _make_error("control_malformed", "the response is not JSON", address) from error


def _decompress(raw: bytes, address: str) -> bytes:
    try:
        body = zlib.decompressobj().decompress(raw, MAX_RECORD_BYTES + 1)
    except zlib.error as error:
        raise _make_error("control_malformed", "the response is not zlib data", address) from error
    if len(body) > MAX_RECORD_BYTES:
        raise _make_error(
            "control_malformed", "the decompressed response exceeds the size limit", address
        )
    return body


def _make_error(code: str, detail: str, address: str) -> CottonlinkError:
    return CottonlinkError(code, detail, step=Step.POLICY_SPREAD, peer=address)
