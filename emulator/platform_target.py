"""Stand-in for a target on the platform, whose behaviour tests can replace."""

from __future__ import annotations

import asyncio
import itertools
import json
from collections.abc import Awaitable, Callable

from attrs import define, field

from emulator.http_stand_in import HttpStandIn, ReceivedRequest, make_response, serve_http

Behaviour = Callable[
    ["PlatformTarget", ReceivedRequest, asyncio.StreamWriter], Awaitable[bytes | None]
]


@define(eq=False)
class PlatformTarget:
    """Records the requests that it runs.

    ``behaviour``, if set, answers requests in place of the default, which waits while
    ``answer_gate`` is not set. ``loses_answers`` has no effect here; a behaviour may check it.
    While ``is_leaving`` is set, responses say that the target leaves, and ``named_limit`` is the
    number of requests per second that they name, as sent.
    """

    service: str
    host: str
    port: int
    upstream_id: str
    slots: int = 16
    behaviour: Behaviour | None = None
    runs: list[ReceivedRequest] = field(factory=list)
    loses_answers: bool = False
    is_leaving: bool = False
    named_limit: str | None = None
    answer_gate: asyncio.Event = field(factory=asyncio.Event)
    _server: HttpStandIn | None = None
    _numbers: itertools.count = field(factory=itertools.count)
    _sequences: itertools.count = field(factory=lambda: itertools.count(1))

    async def start(self) -> None:
        """Listen at ``host`` and ``port``."""
        self.answer_gate.set()
        self._server = await serve_http(self._handle, self.host, self.port)

    async def stop(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
            self._server = None

    @property
    def is_running(self) -> bool:
        """Whether it listens."""
        return self._server is not None

    def entry(self, **changes: object) -> dict:
        """Return the target's next entry in the store, with ``changes`` to its fields."""
        entry = {
            "service": self.service,
            "address": f"{self.host}:{self.port}",
            "zone": "hall-a",
            "version": "v1",
            "slots": self.slots,
            "state": "ready",
            "warmup_left_s": 0,
            "sequence": next(self._sequences),
            "born": 1_700_000_000_000,
        }
        return {**entry, **changes}

    def success_response(self, request: ReceivedRequest, body: bytes | None = None) -> bytes:
        """Return a complete answer, status 200, to ``request``."""
        attempt = request.header("x-attempt-id") or ""
        text = body if body is not None else f"{self.upstream_id}:{request.target}".encode()
        seal = f"{self.upstream_id}.{next(self._numbers)}"
        headers = (("X-Attempt-Id", attempt), ("X-Server-Seal", seal), *self.state_headers())
        return make_response(200, text, *headers)

    def state_headers(self) -> tuple[tuple[str, str], ...]:
        """Return the headers by which all its responses tell of the target's state."""
        headers = (("Server-Leaving", "1"),) if self.is_leaving else ()
        if self.named_limit is not None:
            headers += (("Server-Limit", self.named_limit),)
        return headers

    async def _handle(self, request: ReceivedRequest, writer: asyncio.StreamWriter) -> bytes | None:
        expected = request.header("x-expected-instance")
        if expected is not None and expected != self.upstream_id:
            attempt = request.header("x-attempt-id") or ""
            return make_response(
                421, b"", ("X-Attempt-Id", attempt), ("X-Instance-Id", self.upstream_id)
            )
        self.runs.append(request)
        if self.behaviour is not None:
            return await self.behaviour(self, request, writer)
        await self.answer_gate.wait()
        return self.success_response(request)


def not_executed_response(
    request: ReceivedRequest, status: int = 503, *headers: tuple[str, str]
) -> bytes:
    """Return the answer of a target that did not execute ``request``, with further headers."""
    attempt = request.header("x-attempt-id") or ""
    return make_response(status, b"", ("X-Attempt-Id", attempt), ("X-Not-Executed", "1"), *headers)


def route_resource(name: str, host: str, prefix: str, service: str, **changes: object) -> dict:
    """Return a route of the operator's configuration, with ``changes`` to its ``spec``."""
    spec = {
        "host": host,
        "prefix": prefix,
        "kind": "safe",
        "timeout_s": 2,
        "target_latency_s": 1,
        "priority": 1,
        "service": service,
        "max_attempts": 2,
    }
    spec.update(changes)
    return {"resource_type": "routes", "metadata": {"name": name}, "spec": spec}


def organisation_resource(name: str, *keys: str, **changes: object) -> dict:
    """Return an organisation of the operator's configuration, with ``changes`` to its ``spec``."""
    spec = {"api_keys": list(keys), **changes}
    return {"resource_type": "tenants", "metadata": {"name": name}, "spec": spec}


def configuration(version: int, *routes: dict, **limits: object) -> dict:
    """Return an operator's configuration with ``routes`` and their services."""
    services = sorted({r["spec"]["service"] for r in routes if "service" in r["spec"]})
    resources = [
        *routes,
        *(
            {
                "resource_type": "services",
                "metadata": {"name": name},
                "spec": {"health_path": "/health", "max_connections": 100},
            }
            for name in services
        ),
        {
            "resource_type": "limits",
            "metadata": {},
            "spec": {
                "max_header_bytes": 16384,
                "max_body_bytes": 1_000_000,
                "header_timeout_s": 3,
                "idle_timeout_s": 15,
                **limits,
            },
        },
    ]
    return {"version": version, "resources": json.loads(json.dumps(resources))}
