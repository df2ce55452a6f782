"""Helpers for the WSGI applications of the three listeners."""

from __future__ import annotations

import json
from collections.abc import Callable, Iterable
from typing import Any

from cottonlink import _headers
from cottonlink._headers import environ_name
from cottonlink._problem import Answer
from cottonlink.errors import CallError, Executed, Step

PERMIT_MAX_LENGTH = 1_024


def get_header(environ: dict, name: str) -> str:
    """Return the value of a request header, or an empty string."""
    return environ.get(environ_name(name), "")


def respond(answer: Answer, start_response: Callable, method: str = "GET") -> Iterable[bytes]:
    """Send ``answer``. The answer to HEAD keeps the length that GET would have."""
    headers = list(answer.headers)
    if not any(name.lower() == "content-length" for name, _ in headers):
        headers.append(("Content-Length", str(len(answer.body))))
    start_response(answer.status_line, headers)
    return [answer.body] if method != "HEAD" else []


def json_answer(content: Any, status: int = 200) -> Answer:
    """Return ``content`` as a JSON answer."""
    body = json.dumps(content, separators=(",", ":")).encode()
    return Answer(status, (("Content-Type", "application/json"),), body)


def read_json(environ: dict) -> dict:
    """Return the JSON object in the body of a request. Raises CallError."""
    try:
        content = json.loads(environ["wsgi.input"].read())
    except (ValueError, RecursionError) as error:
        raise bad_request("the body is not JSON") from error
    if not isinstance(content, dict):
        raise bad_request("the body is not a JSON object")
    return content


def bad_request(detail: str, code: str = "bad_request") -> CallError:
    """Return the refusal of a malformed request."""
    return CallError(code, detail, step=Step.IDENTIFY, executed=Executed.NO)


def read_request_target(environ: dict) -> tuple[str, str]:
    """Return the service and the path below it, with the query, both as received."""
    uri = environ.get("REQUEST_URI", "")
    if not uri.startswith("/") or not _headers.is_visible_ascii(uri, max_length=len(uri)):
        raise bad_request("the request target is not an ASCII path")
    path, mark, query = uri.partition("?")
    service, _, rest = path[1:].partition("/")
    return service, f"/{rest}{mark}{query}"


def read_trace_context(environ: dict) -> _headers.TraceContext | None:
    """Return the trace context of a request, or None if it has none. Raises CallError."""
    text = get_header(environ, _headers.TRACEPARENT)
    if not text:
        return None
    trace = _headers.parse_traceparent(text)
    if trace is None:
        raise bad_request("traceparent is malformed", "identity_malformed")
    return trace


def read_unsigned_int(environ: dict, name: str, code: str = "bad_request") -> int | None:
    """Return the number in a header, or None if it is absent. Raises CallError."""
    text = get_header(environ, name)
    if not text:
        return None
    count = _headers.parse_unsigned_int(text)
    if count is None:
        raise bad_request(f"{name} is not a number", code)
    return count


def read_idempotency_key(environ: dict) -> str:
    """Return the idempotency key, or an empty string. Raises CallError."""
    return _read_token(environ, _headers.IDEMPOTENCY_KEY, 256)


def read_permit(environ: dict) -> str:
    """Return the permit, or an empty string. Raises CallError."""
    return _read_token(environ, _headers.PERMIT, PERMIT_MAX_LENGTH)


def _read_token(environ: dict, name: str, max_length: int) -> str:
    text = get_header(environ, name)
    if text and not _headers.is_visible_ascii(text, max_length):
        raise bad_request(f"{name} is malformed")
    return text
