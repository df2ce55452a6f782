"""Permits at the ingress: which owner issues one, and the answers that come with it."""

from __future__ import annotations

import base64
from typing import Any

from attrs import define, frozen

from cottonlink import _headers
from cottonlink._hashing import rendezvous_order
from cottonlink._problem import Answer, make_problem
from cottonlink.decisions import (
    BindingsFull,
    Issued,
    KeyAlreadyUsed,
    RegistryFull,
    Replay,
    StoredAnswer,
    incarnation_of_permit,
    owner_of_permit,
)
from cottonlink.errors import CallError, Executed, Step
from cottonlink.node._calls import Call, ForwardedCall
from cottonlink.node._control_client import post_json
from cottonlink.node._core import NodeCore
from cottonlink.node._owner_state import NoPermit
from cottonlink.node._wsgi import bad_request
from cottonlink.observe import EventKind
from cottonlink.policy import Upstream

PERMIT_TIMEOUT_MS = 500


@frozen
class PermitReply:
    """What an owner says about a key. ``result`` is issued, known, replay or refused."""

    result: str
    permit: str = ""
    executed: Executed = Executed.UNKNOWN
    code: str = ""
    answer: StoredAnswer | None = None

    def to_json(self) -> dict[str, Any]:
        """Return the reply as it goes over the control listener."""
        content: dict[str, Any] = {
            "result": self.result,
            "permit": self.permit,
            "executed": str(self.executed),
            "code": self.code,
        }
        if self.answer is not None:
            content["answer"] = {
                "status": self.answer.status,
                "headers": [list(pair) for pair in self.answer.headers],
                "body": base64.b64encode(self.answer.body).decode(),
            }
        return content


def parse_permit_reply(content: dict[str, Any]) -> PermitReply:
    """Return the reply in ``content``. Raises ValueError."""
    try:
        stored = content.get("answer")
        answer = None
        if stored is not None:
            headers = tuple((str(name), str(value)) for name, value in stored["headers"])
            body = base64.b64decode(stored["body"], validate=True)
            answer = StoredAnswer(int(stored["status"]), headers, body)
        return PermitReply(
            result=str(content["result"]),
            permit=str(content["permit"]),
            executed=Executed(content["executed"]),
            code=str(content["code"]),
            answer=answer,
        )
    except (KeyError, TypeError, AttributeError) as error:
        raise ValueError(f"malformed permit reply: {error}") from error


def issue_permit(core: NodeCore, content: dict[str, Any]) -> PermitReply:
    """Answer a request for a permit as its owner. Raises CallError."""
    try:
        key, request_id = str(content["key"]), str(content["request_id"])
        importance, position = int(content["importance"]), int(content["position"])
    except (KeyError, TypeError, ValueError) as error:
        raise bad_request("malformed request for a permit") from error
    issued = core.owner.issue_permit(key, importance, position)
    if isinstance(issued, Issued):
        core.events.record(EventKind.PERMIT_ISSUED, request_id=request_id)
        return PermitReply("issued", permit=issued.permit, executed=issued.executed)
    if isinstance(issued, KeyAlreadyUsed):
        return PermitReply("known", code=issued.code, executed=issued.executed)
    if isinstance(issued, Replay):
        core.events.record(EventKind.REPLAYED, request_id=request_id)
        return PermitReply("replay", answer=issued.answer, executed=Executed.YES)
    if isinstance(issued, NoPermit):
        return PermitReply("refused", code=issued.code, executed=Executed.NO)
    assert isinstance(issued, RegistryFull)
    return PermitReply("refused", code="registry_full", executed=Executed.NO)


@define(eq=False)
class PermitClient:
    """Asks the owner of an idempotency key for a permit."""

    core: NodeCore

    def request(self, forwarded: ForwardedCall, upstreams: tuple[Upstream, ...]) -> Answer:
        """Return the answer to a non-repeatable call that has no permit. Raises CallError."""
        call = forwarded.call
        by_name = {upstream.name: upstream for upstream in upstreams}
        last_code = "upstream_unreachable"
        skipped = False
        for name in self._owners(forwarded, by_name):
            try:
                reply = self._ask(call, by_name[name])
            except CallError as error:
                # Only a refused connection shows that no process there holds permits.
                if error.executed is not Executed.NO:
                    raise _no_permit("upstream_unreachable", name) from error
                reply = PermitReply("refused", code="upstream_unreachable")
            if reply.result != "refused" or reply.code == "registry_full":
                return self._answer(forwarded, name, reply, skipped)
            last_code = reply.code
            skipped = True
        raise _no_permit(last_code, "")

    def check_binding(self, forwarded: ForwardedCall, permit: str) -> None:
        """Hold a child call of a non-repeatable run to one owner incarnation.

        This node is the only sender of such calls. Raises CallError for any other owner.
        """
        parent = forwarded.parent
        if parent is None or parent.call.kind.repeatable:
            return
        owner = owner_of_permit(permit) or ""
        incarnation = incarnation_of_permit(permit) or ""
        bound = self.core.ingress.bind(parent, forwarded.call.key, owner, incarnation)
        if isinstance(bound, BindingsFull):
            raise CallError(
                "overloaded",
                "the parent run has made too many calls",
                step=Step.IDENTIFY,
                executed=Executed.NO,
            )
        if (bound.owner, bound.incarnation) != (owner, incarnation):
            raise _bound_elsewhere(bound.owner)

    def _owners(
        self, forwarded: ForwardedCall, by_name: dict[str, Upstream]
    ) -> tuple[str, ...] | list[str]:
        """Return the owners to ask, in order."""
        parent = forwarded.parent
        if parent is not None and not parent.call.kind.repeatable:
            bound = self.core.ingress.find_binding(parent, forwarded.call.key)
            if bound is not None and bound.owner not in by_name:
                raise _bound_elsewhere(bound.owner)
            if bound is not None:
                return (bound.owner,)
        return rendezvous_order(forwarded.call.key, by_name)

    def _ask(self, call: Call, upstream: Upstream) -> PermitReply:
        content = {
            "key": call.key,
            "request_id": call.request_id,
            "importance": call.importance,
            "position": call.position,
        }
        if upstream.name == self.core.settings.node:
            return issue_permit(self.core, content)
        remaining_ms = call.deadline_ms - self.core.now_ms()
        timeout_ms = max(1, min(PERMIT_TIMEOUT_MS, remaining_ms))
        clock = self.core.clock
        raw = post_json(clock, upstream.control_address, "/v1/permits", content, timeout_ms)
        try:
            return parse_permit_reply(raw)
        except ValueError as error:
            raise CallError(
                "upstream_unreachable", str(error), step=Step.CONNECT, peer=upstream.name
            ) from error

    def _answer(
        self, forwarded: ForwardedCall, owner: str, reply: PermitReply, skipped: bool
    ) -> Answer:
        if reply.result == "replay":
            stored = reply.answer
            executed_yes = (_headers.EXECUTED, str(Executed.YES))
            return Answer(stored.status, (*stored.headers, executed_yes), stored.body)
        if reply.result == "known":
            raise CallError(
                reply.code,
                "this key has been used",
                step=Step.RUN,
                peer=owner,
                executed=reply.executed,
            )
        if reply.result != "issued":
            raise _no_permit("overloaded", owner)
        self.check_binding(forwarded, reply.permit)
        # An owner that was passed over may have issued a permit for the key earlier.
        executed = Executed.UNKNOWN if skipped else reply.executed
        error = CallError(
            "permit_required",
            "send the request again with this permit, and keep the permit with the key",
            step=Step.IDENTIFY,
            peer=owner,
            executed=executed,
        )
        return make_problem(error, forwarded.call.request_id, ((_headers.PERMIT, reply.permit),))


def _bound_elsewhere(owner: str) -> CallError:
    return CallError(
        "execution_unknown",
        "this key is bound to an owner incarnation that can't be reached any more",
        step=Step.IDENTIFY,
        peer=owner,
        executed=Executed.UNKNOWN,
    )


def _no_permit(code: str, peer: str) -> CallError:
    return CallError(
        code,
        "no owner of the key issues a permit now",
        step=Step.CONNECT if code == "upstream_unreachable" else Step.QUEUE,
        peer=peer,
        executed=Executed.NO,
        retry_after_ms=1_000,
    )
