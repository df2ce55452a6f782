"""Keeps requests in quarantine from targets, and reports those that run well."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from cottonlink.overload import CrashRegistry, make_recent_answers, request_fingerprint
from cottonlink.path.peers._frames import CallFrame
from cottonlink.path._log import EventLog
from cottonlink.path._model import NotRun, Request

# Follows the path in the form that is common to all queries; no target can contain it.
_ANY_QUERY = b"?#"


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
        fingerprints = _fingerprints(caller_service, request.method, request.target, request.body)
        return self.refuse(request.request_id, fingerprints, "ingress")

    def refuse(self, request_id: bytes, fingerprints: Iterable[str], place: str) -> NotRun | None:
        """Return the refusal of a request, or None if it isn't in quarantine.

        ``place`` tells the log whether the node that received the request or the one next to the
        target asks.
        """
        refusals = (self._refuse_one(request_id, f, place) for f in fingerprints)
        return next((refusal for refusal in refusals if refusal is not None), None)

    def record_completion(self, frame: CallFrame) -> None:
        """Record that the target ran a call to its end."""
        if _is_read(frame):
            now_ms = round(self._now_ms())
            for key in _read_keys(frame):
                self._recent_answers.record(key, now_ms)

    def clear_suspects(self, fingerprints: Iterable[str]) -> None:
        """Clear the fingerprints of a call that the target ran to its end."""
        now_ms = round(self._now_ms())
        for fingerprint in fingerprints:
            self._crash_registry.record_completion(fingerprint, now_ms)

    def suspects(self, frames: Iterable[CallFrame]) -> set[str]:
        """Return the fingerprints of those calls that may have crashed the target they ran at."""
        return {fingerprint for frame in frames for fingerprint in self._suspects_of(frame)}

    def _suspects_of(self, frame: CallFrame) -> tuple[str, ...]:
        fingerprints = call_fingerprints(frame)
        if not _is_read(frame):
            return fingerprints
        now_ms = round(self._now_ms())
        return tuple(
            fingerprint
            for fingerprint, key in zip(fingerprints, _read_keys(frame), strict=True)
            if not self._recent_answers.contains(key, now_ms)
        )

    def _refuse_one(self, request_id: bytes, fingerprint: str, place: str) -> NotRun | None:
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


def _is_read(frame: CallFrame) -> bool:
    return frame.is_repeatable and not frame.body


def call_fingerprints(frame: CallFrame) -> tuple[str, ...]:
    """Return the hashes by which all nodes recognize a call that comes again."""
    return _fingerprints(frame.caller_service, frame.method, frame.target, frame.body)


def _fingerprints(
    caller_service: str, method: bytes, target: bytes, body: bytes
) -> tuple[str, ...]:
    return tuple(
        request_fingerprint(caller_service, method.decode("latin-1"), form.decode("latin-1"), body)
        for form in _target_forms(target)
    )


def _read_keys(frame: CallFrame) -> list[tuple[str, bytes, bytes]]:
    return [(frame.caller_service, frame.method, form) for form in _target_forms(frame.target)]


def _target_forms(target: bytes) -> tuple[bytes, bytes]:
    """Return ``target``, and the form that it has in common with all queries of its path.

    A crashing request may come again with another query. Where requests with the same path are
    answered, that clears the common form, and only the whole target stays suspect.
    """
    return target, target.partition(b"?")[0] + _ANY_QUERY
