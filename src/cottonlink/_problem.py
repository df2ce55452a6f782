"""Refusals as ``application/problem+json`` answers (RFC 9457)."""

from __future__ import annotations

import json
from typing import Any

from attrs import frozen

from cottonlink import _headers
from cottonlink.errors import CallError, Executed, Step

CONTENT_TYPE = "application/problem+json"

STATUS_BY_CODE = {
    "already_executed": 409,
    "already_refused": 409,
    "answer_incomplete": 502,
    "answer_mismatch": 502,
    "bad_request": 400,
    "body_too_large": 413,
    "cancelled": 503,
    "connection_lost": 502,
    "deadline_exceeded": 504,
    "deadline_malformed": 400,
    "depth_exceeded": 508,
    "execution_unknown": 409,
    "idempotency_key_required": 400,
    "identity_malformed": 400,
    "internal_error": 500,
    "leaving": 503,
    "not_ready": 503,
    "overloaded": 503,
    "permit_invalid": 409,
    "permit_required": 428,
    "preempted": 503,
    "request_quarantined": 422,
    "target_crashed": 502,
    "unknown_kind": 404,
    "unknown_service": 404,
    "upstream_unreachable": 502,
}

# What a refusal of HEAD may mean, which has no body to tell its code.
CODE_BY_HEAD_STATUS = {422: "request_quarantined", 503: "overloaded", 504: "deadline_exceeded"}

REASONS = {
    200: "OK",
    204: "No Content",
    400: "Bad Request",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    413: "Content Too Large",
    422: "Unprocessable Content",
    428: "Precondition Required",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
    508: "Loop Detected",
}


@frozen
class Answer:
    """A whole answer: ``headers`` as name and value pairs, ``body`` as sent."""

    status: int
    headers: _headers.Headers
    body: bytes
    reason: str = ""

    @property
    def status_line(self) -> str:
        return f"{self.status} {self.reason or REASONS.get(self.status, 'Status')}"


def make_problem(error: CallError, request_id: str, extra_headers: _headers.Headers = ()) -> Answer:
    """Return the answer that reports ``error`` for the root request ``request_id``."""
    status = STATUS_BY_CODE.get(error.code, 500)
    content: dict[str, Any] = {
        "type": f"urn:cottonlink:problem:{error.code}",
        "title": error.code.replace("_", " "),
        "status": status,
        "detail": error.detail,
        "code": error.code,
        "step": str(error.step),
        "peer": error.peer,
        "executed": str(error.executed),
        "request_id": request_id,
    }
    headers = [("Content-Type", CONTENT_TYPE), (_headers.EXECUTED, str(error.executed))]
    if error.retry_after_ms is not None:
        content["retry_after_ms"] = error.retry_after_ms
        headers.append(("Retry-After", str(max(1, -(-error.retry_after_ms // 1000)))))
    body = json.dumps(content, separators=(",", ":")).encode()
    return Answer(status, (*headers, *extra_headers), body, REASONS.get(status, ""))


def parse_problem(status: int, executed: str, body: bytes, peer: str) -> CallError:
    """Return the refusal of a node, given its ``Cottonlink-Executed`` header and its body.

    The answer to HEAD has no body; its status then stands for the code.

    Nodes remove their own header names from the answers of targets. So an answer with
    ``Cottonlink-Executed`` other than ``yes`` is always the refusal of a node.
    """
    if not body and executed in tuple(Executed):
        code = CODE_BY_HEAD_STATUS.get(status, "connection_lost")
        return CallError(code, "", step=Step.RELAY, peer=peer, executed=Executed(executed))
    try:
        content = json.loads(body)
        retry_after_ms = content.get("retry_after_ms")
        return CallError(
            str(content["code"]),
            str(content.get("detail", "")),
            step=Step(content["step"]),
            peer=str(content.get("peer") or peer),
            executed=Executed(executed),
            retry_after_ms=retry_after_ms if isinstance(retry_after_ms, int) else None,
        )
    except (ValueError, KeyError, TypeError, AttributeError):
        return CallError(
            "answer_incomplete", "a refusal without a readable body", step=Step.BODY, peer=peer
        )
