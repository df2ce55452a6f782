"""Checks of keys, organisations and quotas from what callers and targets observed."""

from __future__ import annotations

from collections.abc import Iterator, Mapping, Sequence

from attrs import frozen

from soak.observations import ObservedRequest, Violation
from soak.organisations import REVOCATION_S, SPECS
from soak.runs import Run
from soak.store_writers import PublishedConfiguration

# A node must know a key this long after the store has acknowledged a configuration that holds it.
KEY_APPLY_S = 2.5
QUOTA_WINDOW_S = 5.0
QUOTA_OVERSHOOT = 1.25
QUOTA_SLACK = 20
KEY_DENIED_STATUSES = (401, 403)


@frozen
class OrganisationCheck:
    """``owners`` maps each key that was ever held to its organisation, ``specs`` each of these."""

    configurations: Sequence[PublishedConfiguration]
    owners: Mapping[str, str]
    specs: Mapping[str, Mapping[str, float]] = SPECS

    def find_violations(
        self, requests: Sequence[ObservedRequest], runs: Mapping[str, Sequence[Run]]
    ) -> list[Violation]:
        """Return the requests for which a promise to organisations was broken."""
        problems = []
        for request in requests:
            own_runs = runs.get(request.request_id, ())
            found = [*self._check_runs(request, own_runs), *self._check_denial(request)]
            problems += [Violation(rule, request, text) for rule, text in found]
        return [*problems, *self._find_excess(requests, runs)]

    def _check_runs(
        self, request: ObservedRequest, runs: Sequence[Run]
    ) -> Iterator[tuple[str, str]]:
        owner = self.owners.get(request.key)
        if runs and owner is None:
            yield "ROUTE", "ran with a key that no configuration ever held"
        for run in runs:
            if owner is not None and run.organisations != (owner,):
                yield "UNASKED", f"ran for {run.organisations} instead of {owner}"
            if request.key and request.key in run.received_head:
                yield "UNASKED", f"i-{run.vm} was shown its key"
        revoked_s = self._revoked_s(request.key) if runs else None
        if revoked_s is not None and request.sent_s > revoked_s + REVOCATION_S:
            late_s = request.sent_s - revoked_s
            yield "CONFIG", f"ran although sent {late_s:.2f} s after its key was taken away"

    def _revoked_s(self, key: str) -> float | None:
        """Return when the first configuration without a key that was held was acknowledged."""
        is_held = False
        for published in self.configurations:
            if is_held and key not in published.keys:
                return published.acknowledged_s
            is_held = key in published.keys
        return None

    def _check_denial(self, request: ObservedRequest) -> Iterator[tuple[str, str]]:
        """Check that a key was accepted that all configurations in force hold.

        ``ConfigurationCheck`` compares a 404 with the routes of the configurations.
        """
        if request.status not in KEY_DENIED_STATUSES or request.seal:
            return
        known = [p for p in self.configurations if p.acknowledged_s <= request.ended_s]
        applied_count = sum(p.acknowledged_s + KEY_APPLY_S < request.sent_s for p in known)
        if all(request.key in p.keys for p in known[max(0, applied_count - 1) :]):
            yield "DENIED", f"answered {request.status}, but its key is in force"

    def _find_excess(
        self, requests: Sequence[ObservedRequest], runs: Mapping[str, Sequence[Run]]
    ) -> Iterator[Violation]:
        """Find for each quota the request that first exceeds it in some window."""
        for name, spec in self.specs.items():
            if not spec.get("rate_per_s"):
                continue
            allowed = spec["rate_per_s"] * QUOTA_WINDOW_S + spec["burst"]
            allowed = allowed * QUOTA_OVERSHOOT + QUOTA_SLACK
            own = sorted(
                (request.sent_s, run.arrived_s, request.request_id, request)
                for request in requests
                if self.owners.get(request.key) == name
                for run in runs.get(request.request_id, ())
            )
            for first, (since_s, *_) in enumerate(own):
                window = [entry for entry in own[first:] if entry[1] <= since_s + QUOTA_WINDOW_S]
                if len(window) > allowed:
                    text = f"{len(window)} runs for {name} in {QUOTA_WINDOW_S:g} s"
                    yield Violation("QUOTA", window[-1][-1], f"{text}, allowed {allowed:g}")
                    break
