"""Forwarding of a call: attempts, reroutes and retries within their limits."""

from __future__ import annotations

from attrs import define

from cottonlink._problem import Answer
from cottonlink.decisions import (
    AttemptFailure,
    Draw,
    DrawResult,
    NoUpstream,
    RetryAction,
    RouteRequest,
    decide_retry,
    home_node,
    owner_of_permit,
)
from cottonlink.errors import CallError, Executed, Step
from cottonlink.node._attempt import AttemptError, AttemptSender
from cottonlink.node._calls import AbortReason, Call, ForwardedCall
from cottonlink.node._control_client import post_json
from cottonlink.node._core import NodeCore
from cottonlink.node._permits import PermitClient
from cottonlink.observe import EventKind
from cottonlink.policy import Service, Upstream

DRAW_TIMEOUT_MS = 300
# A request that never arrived is sent again without a token, since it did not run. The second
# send goes over a new connection; if that is lost too, the peer is cut off or overloaded.
RESEND_LIMIT = 1


@define
class _Progress:
    """What has been done for one forwarded call so far."""

    executed: Executed = Executed.NO
    reroutes: int = 0
    resends: int = 0
    excluded: frozenset[str] = frozenset()

    def failed(self, error: AttemptError) -> None:
        """Take in the failure of an attempt; ``executed`` then covers all attempts."""
        if error.executed is not Executed.NO:
            self.executed = Executed.UNKNOWN

    def ended_with_permit(self, error: AttemptError) -> None:
        """Take in the failure of an attempt with a permit.

        Only the word of the owner, which keeps the record of the permit, is worth a ``no``; it
        then holds for all sends with that permit.
        """
        self.executed = error.executed if error.from_peer else Executed.UNKNOWN


@define(eq=False)
class Forwarder:
    """Sends a call to an upstream and repeats that where the rules allow it."""

    core: NodeCore
    sender: AttemptSender
    permits: PermitClient

    def forward(self, forwarded: ForwardedCall, service: Service) -> Answer:
        """Return the whole answer to a call.

        Raises CallError with the last failure; its ``executed`` covers all attempts.
        """
        call = forwarded.call
        if call.kind.repeatable:
            return self._forward_repeatable(forwarded, service)
        if not call.permit:
            return self.permits.request(forwarded, service.upstreams)
        return self._forward_with_permit(forwarded, service)

    def _forward_repeatable(self, forwarded: ForwardedCall, service: Service) -> Answer:
        progress = _Progress()
        upstream = self._choose(forwarded, service, progress)
        is_retry = False
        while True:
            try:
                return self.sender.send(forwarded, upstream, is_retry=is_retry)
            except AttemptError as error:
                progress.failed(error)
                forwarded.check_cancelled(progress.executed)
                upstream, is_retry = self._next_upstream(
                    forwarded, service, upstream, error, progress
                )
            except CallError as error:
                # Cancelled between two attempts; the earlier ones may have run.
                raise self._final(error, progress) from error

    def _next_upstream(
        self,
        forwarded: ForwardedCall,
        service: Service,
        upstream: Upstream,
        error: AttemptError,
        progress: _Progress,
    ) -> tuple[Upstream, bool]:
        """Return where the call goes next, and whether that is a retry; raise if nowhere."""
        if self._may_resend(error, progress):
            progress.resends += 1
            return upstream, False
        action = decide_retry(self._describe(forwarded.call, error, progress))
        if action is RetryAction.GIVE_UP or self._is_late(forwarded.call):
            raise self._final(error, progress)
        progress.excluded |= {upstream.name}
        try:
            chosen = self._choose(forwarded, service, progress)
        except CallError:
            raise self._final(error, progress) from error
        if action is RetryAction.REROUTE:
            progress.reroutes += 1
            self._record(EventKind.REROUTED, forwarded.call, chosen.name, error.code)
            return chosen, False
        self._permit_retry(forwarded.call, chosen, error, progress)
        return chosen, True

    def _forward_with_permit(self, forwarded: ForwardedCall, service: Service) -> Answer:
        call = forwarded.call
        owner = service.find_upstream(owner_of_permit(call.permit) or "")
        if owner is None:
            raise CallError(
                "permit_invalid",
                "the owner of the permit does not serve this service",
                step=Step.ROUTE,
                executed=Executed.UNKNOWN,
            )
        self.permits.check_binding(forwarded, call.permit)
        progress = _Progress()
        is_retry = False
        while True:
            try:
                return self.sender.send(forwarded, owner, is_retry=is_retry)
            except AttemptError as error:
                progress.ended_with_permit(error)
                forwarded.check_cancelled(Executed.UNKNOWN)
                is_retry = self._repeat_at_owner(call, owner, error, progress)

    def _repeat_at_owner(
        self, call: Call, owner: Upstream, error: AttemptError, progress: _Progress
    ) -> bool:
        """Return whether the next send to the owner is a retry; raise if there is none."""
        if self._may_resend(error, progress):
            progress.resends += 1
            return False
        action = decide_retry(self._describe(call, error, progress))
        # A peer that gives no sign of life won't answer a second send either (design page, 4.7).
        if (
            error.abort_reason is AbortReason.NO_REPLY
            or action is not RetryAction.SAME_OWNER
            or self._is_late(call)
        ):
            raise self._final(error, progress)
        self._permit_retry(call, owner, error, progress)
        return True

    def _may_resend(self, error: AttemptError, progress: _Progress) -> bool:
        return error.abort_reason is AbortReason.NEVER_SEEN and progress.resends < RESEND_LIMIT

    def _describe(self, call: Call, error: AttemptError, progress: _Progress) -> AttemptFailure:
        return AttemptFailure(
            code=error.code,
            executed=error.executed,
            repeatable=call.kind.repeatable,
            has_permit=bool(call.permit),
            reroutes=progress.reroutes,
        )

    def _choose(self, forwarded: ForwardedCall, service: Service, progress: _Progress) -> Upstream:
        call = forwarded.call
        request = RouteRequest(call.importance, call.position, progress.excluded)
        choice = self.core.ingress.choose(service.name, request)
        if isinstance(choice, NoUpstream):
            raise CallError(
                choice.code,
                f"no upstream of {service.name} takes the call",
                step=Step.ROUTE,
                executed=progress.executed,
                retry_after_ms=choice.retry_after_ms,
            )
        upstream = service.find_upstream(choice.name)
        if upstream is None:
            # The policy changed between the two look-ups; its new upstreams are chosen next time.
            raise CallError(
                "upstream_unreachable",
                "the upstream was removed from the policy",
                step=Step.ROUTE,
                executed=progress.executed,
                retry_after_ms=0,
            )
        return upstream

    def _permit_retry(
        self, call: Call, upstream: Upstream, error: AttemptError, progress: _Progress
    ) -> None:
        """Take what a retry at ``upstream`` needs. Raises ``error`` as final without it."""
        if not self.core.ingress.allows_retry(upstream.name):
            denial = "ratio"
        else:
            denial = self._draw(call)
        if denial:
            self._record(EventKind.RETRY_DENIED, call, upstream.name, denial)
            raise self._final(error, progress) from error
        self._record(EventKind.RETRIED, call, upstream.name, error.code)

    def _draw(self, call: Call) -> str:
        """Draw a token at the home of the root request; return the reason if there is none."""
        policy = self.core.policy
        home = home_node(call.request_id, policy)
        if home is None:
            return "no_home"
        if home == self.core.settings.node:
            draw: Draw = self.core.ingress.draw_retry(call.request_id)
            return "" if draw.result is DrawResult.GRANTED else str(draw.result)
        address = policy.upstreams_by_name[home].control_address
        timeout_ms = max(1, min(DRAW_TIMEOUT_MS, call.deadline_ms - self.core.now_ms()))
        try:
            reply = post_json(
                self.core.clock,
                address,
                "/v1/retry-budget",
                {"request_id": call.request_id},
                timeout_ms,
            )
        except CallError:
            return "home_unreachable"
        result = str(reply.get("result"))
        return "" if result == DrawResult.GRANTED else result

    def _is_late(self, call: Call) -> bool:
        return self.core.now_ms() >= call.deadline_ms

    def _final(self, error: CallError, progress: _Progress) -> CallError:
        error.executed = progress.executed
        return error

    def _record(self, kind: EventKind, call: Call, peer: str, code: str) -> None:
        self.core.events.record(
            kind, request_id=call.request_id, service=call.service, peer=peer, code=code
        )
