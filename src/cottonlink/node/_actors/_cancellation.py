"""Actor that cancels calls whose result is no longer needed."""

from __future__ import annotations

import collections
import contextlib
from collections.abc import Iterable
from concurrent.futures import ThreadPoolExecutor

import pykka
from attrs import frozen

from cottonlink.errors import CallError
from cottonlink.node._calls import Attempt, ForwardedCall
from cottonlink.node._control_client import post_json
from cottonlink.node._core import NodeCore
from cottonlink.node._target import TargetClient
from cottonlink.observe import EventKind

CANCEL_TIMEOUT_MS = 300
SENDER_THREADS = 4


@frozen
class CancelDisconnectedCalls:
    """Cancel the calls whose callers have disconnected."""


@frozen
class CancelAttempts:
    """Tell the owners of these attempts to cancel them."""

    attempts: tuple[Attempt, ...]


@frozen
class CancelRun:
    """Tell the local target to stop the run identified by ``token``."""

    token: str


class CancellationActor(pykka.ThreadingActor):
    """Finds disconnected callers and sends cancellations to owners and to the local target."""

    use_daemon_thread = True

    def __init__(self, core: NodeCore, target: TargetClient) -> None:
        super().__init__()
        self._core = core
        self._target = target
        # An owner that does not answer must not delay the other cancellations.
        self._executor = ThreadPoolExecutor(SENDER_THREADS, thread_name_prefix="cancel")

    def on_receive(self, message: object) -> None:
        """Handle one message."""
        match message:
            case CancelDisconnectedCalls():
                disconnected = [f for f in self._core.ingress.calls() if f.is_disconnected()]
                self._cancel_attempts(cancel_calls(self._core, disconnected, "cancelled"))
            case CancelAttempts(attempts):
                self._cancel_attempts(attempts)
            case CancelRun(token):
                self._executor.submit(self._target.cancel, token)

    def on_stop(self) -> None:
        """Discard the cancellations that have not been sent yet."""
        self._executor.shutdown(wait=False, cancel_futures=True)

    def _cancel_attempts(self, attempts: Iterable[Attempt]) -> None:
        by_owner: dict[str, list[str]] = collections.defaultdict(list)
        for attempt in attempts:
            by_owner[attempt.control_address].append(attempt.call_id)
        for address, call_ids in by_owner.items():
            self._executor.submit(self._notify_owner, address, call_ids)

    def _notify_owner(self, address: str, call_ids: list[str]) -> None:
        # A lost cancellation only wastes work, at most until the call's deadline.
        with contextlib.suppress(CallError):
            content = {"call_ids": call_ids}
            post_json(self._core.clock, address, "/v1/cancel", content, CANCEL_TIMEOUT_MS)


def cancel_calls(core: NodeCore, calls: Iterable[ForwardedCall], code: str) -> tuple[Attempt, ...]:
    """End forwarded calls with ``code``; return the attempts whose owners must be notified.

    Non-repeatable calls continue: the caller may retry such a call and then needs its result.
    """
    attempts = []
    for forwarded in calls:
        call = forwarded.call
        if not call.kind.repeatable:
            continue
        attempt = forwarded.cancel(code)
        if attempt is None:
            continue
        attempts.append(attempt)
        core.events.record(
            EventKind.CANCELLED,
            request_id=call.request_id,
            call_id=attempt.call_id,
            service=call.service,
            peer=attempt.upstream,
            code=code,
        )
    return tuple(attempts)
