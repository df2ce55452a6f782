"""JSON requests from the request path to the control listeners of other nodes."""

from __future__ import annotations

import json
from typing import Any

from cottonlink._clock import Clock
from cottonlink._headers import Headers
from cottonlink.errors import CallError, Executed, Step
from cottonlink.node._pool import (
    CONNECT_TIMEOUT_MS,
    Connection,
    ExchangeError,
    OutgoingRequest,
)

REPLY_LIMIT_BYTES = 4_000_000
_HEADERS: Headers = (("Content-Type", "application/json"),)


def post_json(
    clock: Clock, address: str, path: str, content: dict[str, Any], timeout_ms: int
) -> dict[str, Any]:
    """Send ``content`` to a control listener on a new connection and return its reply.

    A new connection is used because an idle one may have failed unnoticed. Raises CallError;
    executed is ``no`` only if the connection was refused, so that no process listens there.
    """
    connection = Connection(address, clock)
    deadline_ms = clock.monotonic_ms() + timeout_ms
    request = OutgoingRequest("POST", path, _HEADERS, json.dumps(content).encode())
    try:
        connection.connect(min(timeout_ms, CONNECT_TIMEOUT_MS))
        response = connection.exchange(request, deadline_ms, REPLY_LIMIT_BYTES)
    except ExchangeError as error:
        executed = Executed.NO if error.refused else Executed.UNKNOWN
        raise _unreachable(address, error.detail, executed) from error
    finally:
        connection.close()
    return _parse_reply(address, response.status, response.body)


def _parse_reply(address: str, status: int, body: bytes) -> dict[str, Any]:
    if status != 200:
        raise _unreachable(
            address, f"control listener responded with status {status}", Executed.UNKNOWN
        )
    try:
        content = json.loads(body)
    except ValueError as error:
        raise _unreachable(address, "reply is not JSON", Executed.UNKNOWN) from error
    if not isinstance(content, dict):
        raise _unreachable(address, "reply is not a JSON object", Executed.UNKNOWN)
    return content


def _unreachable(address: str, detail: str, executed: Executed) -> CallError:
    return CallError(
        "upstream_unreachable", detail, step=Step.CONNECT, peer=address, executed=executed
    )
