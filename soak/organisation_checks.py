"""Checks of keys, organisations and quotas from what callers and targets observed."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterator, Mapping, Sequence

from attrs import frozen

from soak.observations import ObservedRequest, Violation
from soak.organisations import REVOCATION_S
from soak.runs import Run
from soak.store_writers import PublishedConfiguration

# A node must know a key this long after the store has acknowledged a configuration that holds it.
KEY_APPLY_S = 2.5
QUOTA_WINDOW_S = 5.0
QUOTA_OVERSHOOT = 1.25
QUOTA_SLACK = 20
KEY_DENIED_STATUSES = frozenset((401, 403))


@frozen
class OrganisationCheck:
    """``owners`` maps each key that was ever held to its organisation.

    ``quotas`` maps the organisations that have one to ``rate_per_s`` and ``burst``.
    """

    configurations: Sequence[PublishedConfiguration]
    owners: Mapping[str, str]
    quotas: Mapping[str, tuple[float, float]]

    def find_violations(
        self, requests: Sequence[ObservedRequest], runs: Mapping[str, Sequence[Run]]
    ) -> list[Violation]:
        """Return the requests for which a promise to or about organisations was broken."""
        problems = []
        for request in requests:
            own_runs = runs.get(request.request_id, ())
            for rule, text in (*self._check_runs(request, own_runs), *self._check_denial(request)):
                problems.append(Violation(rule, request, text))
        return problems + self._find_excess(requests, runs)

    def _check_runs(
        self, request: ObservedRequest, runs: Sequence[Run]
    ) -> Iterator[tuple[str, str]]:
        if not runs:
            return
        owner = self.owners.get(request.key)
        if owner is None:
            yield "ROUTE", f"ran with the key {request.key!r}, which no configuration ever held"
        for run in runs:
            if owner is not None and run.organisations != (owner,):
                yield "UNASKED", f"ran for {run.organisations} instead of {owner}"
            if request.key and request.key in run.received_head:
                yield "UNASKED", f"the target i-{run.vm} was shown the key of {owner}"
        revoked_s = self._revoked_s(request.key)
        if revoked_s is not None and request.sent_s > revoked_s + REVOCATION_S:
            late_s = request.sent_s - revoked_s
            yield "CONFIG", f"ran with {request.key}, {late_s:.2f} s after it was taken away"

    def _revoked_s(self, key: str) -> float | None:
        """Return when the first configuration without a key that was held was acknowledged."""
        is_held = False
        for published in self.configurations:
            if is_held and key not in published.keys:
                return published.acknowledged_s
            is_held = is_held or key in published.keys
        return None

    def _check_denial(self, request: ObservedRequest) -> Iterator[tuple[str, str]]:
        """Check that a key was accepted that all configurations in force hold.

        A 404 is compared with the routes of the configurations in ``ConfigurationCheck``.
        """
        if request.status not in KEY_DENIED_STATUSES or request.seal:
            return
        applied = [
            number
            for number, published in enumerate(self.configurations)
            if published.acknowledged_s + KEY_APPLY_S < request.sent_s
        ]
        in_force = [
            published
            for published in self.configurations[applied[-1] if applied else 0 :]
            if published.acknowledged_s <= request.ended_s
        ]
        if all(request.key in published.keys for published in in_force):
            yield "DENIED", f"a request with the key {request.key} was answered {request.status}"

    def _find_excess(
        self, requests: Sequence[ObservedRequest], runs: Mapping[str, Sequence[Run]]
    ) -> list[Violation]:
        """Return for each quota the request that first exceeds it in some window."""
        counted = defaultdict(list)
        for request in requests:
            for run in runs.get(request.request_id, ()):
                entry = (request.sent_s, run.arrived_s, request)
                counted[self.owners.get(request.key)].append(entry)
        problems = []
        for name, (rate_per_s, burst) in self.quotas.items():
            allowed = (rate_per_s * QUOTA_WINDOW_S + burst) * QUOTA_OVERSHOOT + QUOTA_SLACK
            entries = sorted(counted[name], key=lambda entry: entry[0])
            for first, (since_s, _, _) in enumerate(entries):
                window = [e for e in entries[first:] if e[1] <= since_s + QUOTA_WINDOW_S]
                if len(window) > allowed:
                    text = f"{len(window)} requests of {name} ran in {QUOTA_WINDOW_S:g} s"
                    text += f", allowed {allowed:g}"
                    problems.append(Violation("QUOTA", window[-1][2], text))
                    break
        return problems
