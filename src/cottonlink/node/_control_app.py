"""The control listener: health, messages between nodes and queries of operators."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from typing import Any
from urllib.parse import parse_qsl

import structlog
from attrs import asdict

from cottonlink._problem import Answer, make_problem
from cottonlink.decisions import GossipError, NodeState
from cottonlink.errors import CallError, Executed, Step
from cottonlink.node._core import NodeCore
from cottonlink.node._permits import issue_permit
from cottonlink.node._wsgi import bad_request, json_answer, read_json, respond
from cottonlink.observe import EventKind, events_to_json

MAX_CALLS_PER_MESSAGE = 4_096
LATEST_REFUSALS = 20
METRICS_TYPE = "text/plain; version=0.0.4; charset=utf-8"
COMPRESSED_HEADERS = (("Content-Type", "application/json"), ("Content-Encoding", "deflate"))

_log = structlog.get_logger()

Parameters = dict[str, str]


class ControlApp:
    """WSGI application of the control listener.

    ``control`` is the control plane of the node: its ``handlers`` answer gossip and serve the
    policy record and the VM list, its ``state`` lists the members.
    """

    def __init__(self, core: NodeCore, control: Any) -> None:
        self._core = core
        self._control = control
        self._queries: dict[str, Callable[[Parameters], Answer]] = {
            "/healthz": self._get_health,
            "/readyz": self._get_readiness,
            "/metrics": self._get_metrics,
            "/v1/policy": self._get_policy,
            "/v1/vms": self._get_vms,
            "/v1/status": self._get_status,
            "/v1/limits": self._get_limits,
            "/v1/peers": self._get_peers,
            "/v1/events": self._get_events,
        }
        self._commands: dict[str, Callable[[dict, str], Answer]] = {
            "/v1/gossip": self._post_gossip,
            "/v1/retry-budget": self._post_retry_budget,
            "/v1/cancel": self._post_cancel,
            "/v1/calls": self._post_calls,
            "/v1/permits": self._post_permits,
        }

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        try:
            answer = self._dispatch(environ)
        except CallError as error:
            answer = make_problem(error, "")
        except Exception:
            _log.exception("control request failed", path=environ.get("PATH_INFO", ""))
            error = CallError(
                "internal_error", "see the log", step=Step.ACCEPT, executed=Executed.UNKNOWN
            )
            answer = make_problem(error, "")
        return respond(answer, start_response, environ["REQUEST_METHOD"])

    def _dispatch(self, environ: dict) -> Answer:
        path = environ.get("PATH_INFO", "")
        method = environ["REQUEST_METHOD"]
        if method in ("GET", "HEAD") and path in self._queries:
            return self._queries[path](dict(parse_qsl(environ.get("QUERY_STRING", ""))))
        if method == "POST" and path in self._commands:
            return self._commands[path](read_json(environ), environ.get("REMOTE_ADDR", ""))
        is_known = path in self._queries or path in self._commands
        return json_answer({"error": "unknown path or method"}, 405 if is_known else 404)

    # Queries

    def _get_health(self, _: Parameters) -> Answer:
        return json_answer({"state": str(self._core.state())})

    def _get_readiness(self, _: Parameters) -> Answer:
        state = self._core.state()
        is_ready = state in (NodeState.WARMING, NodeState.LIVE) and self._core.policy is not None
        return json_answer({"ready": is_ready, "state": str(state)}, 200 if is_ready else 503)

    def _get_metrics(self, _: Parameters) -> Answer:
        report = self._core.report()
        self._core.metrics.set_gauge("policy_version", report.policy_version)
        self._core.metrics.set_gauge("calls_in_progress", self._core.in_flight())
        if report.load is not None:
            self._core.metrics.set_gauge("target_in_flight", report.load.in_flight)
            self._core.metrics.set_gauge("concurrency_limit", report.load.limit)
            self._core.metrics.set_gauge("queued_calls", report.load.queued)
        return Answer(200, (("Content-Type", METRICS_TYPE),), self._core.metrics.render())

    def _get_policy(self, parameters: Parameters) -> Answer:
        return _compressed(self._control.handlers.get_policy(_min_version(parameters)))

    def _get_vms(self, parameters: Parameters) -> Answer:
        return _compressed(self._control.handlers.get_vms(_min_version(parameters)))

    def _get_status(self, _: Parameters) -> Answer:
        core = self._core
        refusals = [e for e in core.events.events() if e.kind is EventKind.REFUSED]
        return json_answer(
            {
                "node": core.settings.node,
                "data_centre": core.settings.data_centre,
                "incarnation": core.incarnation,
                "state": str(core.state()),
                "leave_reason": core.leave_reason(),
                "up_to_date": core.is_up_to_date(),
                "policy_version": core.policy_version,
                "calls_in_progress": core.in_flight(),
                "latest_refusals": events_to_json(tuple(refusals[-LATEST_REFUSALS:])),
            }
        )

    def _get_limits(self, _: Parameters) -> Answer:
        report = self._core.report()
        return json_answer(
            {
                "node": self._core.settings.node,
                "load": asdict(report.load) if report.load else None,
                "threshold": asdict(report.threshold) if report.threshold else None,
                "caller_limit": self._core.settings.caller_limit,
                "peer_limit": self._core.settings.peer_limit,
                "caller_calls": len(self._core.ingress),
                "peer_calls": len(self._core.owner),
            }
        )

    def _get_peers(self, _: Parameters) -> Answer:
        members = self._control.state.members()
        peers = [
            {
                "name": member.name,
                "data_centre": member.data_centre,
                "peer_address": member.peer_address,
                "control_address": member.control_address,
                "state": str(member.state),
            }
            for member in members
        ]
        upstreams = {
            service: [asdict(view) for view in views]
            for service, views in self._core.ingress.upstream_views().items()
        }
        return json_answer({"peers": peers, "upstreams": upstreams})

    def _get_events(self, parameters: Parameters) -> Answer:
        events = self._core.events.events(
            request_id=parameters.get("request_id", ""),
            service=parameters.get("service", ""),
            after_sequence=_count(parameters, "after_sequence"),
        )
        return json_answer({"node": self._core.settings.node, "events": events_to_json(events)})

    # Messages of other nodes

    def _post_gossip(self, content: dict, source: str) -> Answer:
        try:
            return json_answer(self._control.handlers.post_gossip(content, source))
        except GossipError as error:
            raise bad_request(str(error)) from error

    def _post_retry_budget(self, content: dict, _: str) -> Answer:
        request_id = content.get("request_id")
        if not isinstance(request_id, str) or not request_id:
            raise bad_request("request_id is missing")
        draw = self._core.ingress.draw_retry(request_id)
        return json_answer({"result": str(draw.result), "remaining": draw.remaining})

    def _post_cancel(self, content: dict, _: str) -> Answer:
        call_ids = content.get("call_ids")
        if not isinstance(call_ids, list) or not all(isinstance(c, str) for c in call_ids):
            raise bad_request("call_ids is not a list of ids")
        cancelled = [c for c in call_ids if self._core.owner.cancel(c, "cancelled")]
        return json_answer({"cancelled": cancelled})

    def _post_calls(self, content: dict, _: str) -> Answer:
        try:
            ages_ms = {str(call["id"]): int(call["age_ms"]) for call in content["calls"]}
        except (KeyError, TypeError, ValueError) as error:
            raise bad_request("calls is not a list of ids and ages") from error
        if len(ages_ms) > MAX_CALLS_PER_MESSAGE:
            raise bad_request("too many calls in one message")
        states = self._core.owner.call_states(ages_ms)
        return json_answer({"states": {c: str(state) for c, state in states.items()}})

    def _post_permits(self, content: dict, _: str) -> Answer:
        return json_answer(issue_permit(self._core, content).to_json())


def _compressed(record: Any) -> Answer:
    if record is None:
        return json_answer({"error": "no record of this version"}, 404)
    return Answer(200, COMPRESSED_HEADERS, record.body)


def _min_version(parameters: Parameters) -> int:
    return _count(parameters, "min_version")


def _count(parameters: Parameters, name: str) -> int:
    text = parameters.get(name, "0")
    if not (text.isascii() and text.isdigit() and len(text) <= 18):
        raise bad_request(f"{name} is not a number")
    return int(text)
