"""Keeps requests in quarantine from targets, and reports those that run well."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from cottonlink.overload import CrashRegistry, make_recent_answers, request_fingerprint
from cottonlink.path._frames import CallFrame
from cottonlink.path._log import EventLog
from cottonlink.path._model import NotRun, Request


class CrashGuard:
    """Checks requests against the quarantine of ``crash_registry``."""

    def __init__(
        self, crash_registry: CrashRegistry, log: EventLog, now_ms: Callable[[], float]
    ) -> None:
        self._crash_registry = crash_registry
        self._quarantine = crash_registry.quarantine
        self._log = log
        self._now_ms = now_ms
        self._recent_answers = make_recent_answers()

    @property
    def has_entries(self) -> bool:
        """Whether any request is or was suspect; without one, no fingerprint is needed."""
        return len(self._quarantine) > 0

    def refuse_request(self, request: Request, caller_service: str) -> NotRun | None:
        """Return the refusal of a caller's request, or None if it isn't in quarantine."""
        if not self.has_entries:
            return None
        fingerprint = _fingerprint(caller_service, request.method, request.target, request.body)
        return self.refuse(request.request_id, fingerprint, "ingress")

    def refuse(self, request_id: bytes, fingerprint: str, place: str) -> NotRun | None:
        """Return the refusal of a request, or None if it isn't in quarantine.

        ``place`` tells the log whether the node that received the request or the one next to the
        target asks.
        """
        now_ms = round(self._now_ms())
        report = self._quarantine.report(fingerprint, now_ms)
        if report is None:
            return None
        is_refused = report.level >= 2
        self._log.event(
            "request_quarantined" if is_refused else "suspect_let_through",
            request_id=request_id,
            fingerprint=fingerprint,
            level=report.level,
            age_ms=report.age_ms,
            place=place,
        )
        if not is_refused:
            return None
        return NotRun("quarantined", self._quarantine.remaining_ms(fingerprint, now_ms))

    def record_completion(self, frame: CallFrame) -> None:
        """Record that the target ran a call to its end."""
        if _is_read(frame):
            self._recent_answers.record(_read_key(frame), round(self._now_ms()))

    def clear_suspect(self, fingerprint: str) -> None:
        """Clear a suspect that the target ran to its end."""
        self._crash_registry.record_completion(fingerprint, round(self._now_ms()))

    def suspects(self, frames: Iterable[CallFrame]) -> set[str]:
        """Return the fingerprints of those calls that may have crashed the target they ran at."""
        now_ms = round(self._now_ms())
        return {
            call_fingerprint(frame)
            for frame in frames
            if not (_is_read(frame) and self._recent_answers.contains(_read_key(frame), now_ms))
        }


def _is_read(frame: CallFrame) -> bool:
    return frame.is_repeatable and not frame.body


def _read_key(frame: CallFrame) -> tuple[str, bytes, bytes]:
    return frame.caller_service, frame.method, frame.target


def call_fingerprint(frame: CallFrame) -> str:
    """Return the hash by which all nodes recognize equal calls."""
    return _fingerprint(frame.caller_service, frame.method, frame.target, frame.body)


def _fingerprint(caller_service: str, method: bytes, target: bytes, body: bytes) -> str:
    return request_fingerprint(
        caller_service, method.decode("latin-1"), target.decode("latin-1"), body
    )
