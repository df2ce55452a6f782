"""Checks that nodes in touch follow the configurations, and that no node goes back to an old one.

The handling of a request shows which configurations may have been in force: those that route it to
the service that ran it, or, after a 404, those without a route for it.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Sequence

from attrs import define, field

from soak.disturbances import Disturbances
from soak.observations import ObservedRequest, Violation
from soak.runs import Run
from soak.store_writers import PublishedConfiguration

# A configuration is in force this long after the store has acknowledged it.
CONFIG_APPLY_S = 2.0
# A node in one incarnation may handle a request as before within this time after an effect of a
# newer configuration; while it is disturbed, eight times as long.
ROLLBACK_SLACK_S = 0.25
SLOWED_ROLLBACK_SLACK_S = 8 * ROLLBACK_SLACK_S


@define
class ShownVersion:
    """The oldest configuration that explains what a target saw at ``time_s``, and by whom."""

    version: int
    time_s: float
    request_id: str


@define
class ConfigurationCheck:
    """Compares how requests were handled with the published configurations."""

    configurations: Sequence[PublishedConfiguration]
    disturbances: Disturbances
    _shown: dict[tuple[int, int], list[ShownVersion]] = field(
        factory=lambda: defaultdict(list), init=False
    )

    def find_violations(
        self, requests: Sequence[ObservedRequest], runs: dict[str, list[Run]]
    ) -> list[Violation]:
        """Return requests that only an older configuration explains, each with what is wrong."""
        for request in requests:
            self._note_shown(request, runs.get(request.request_id, []))
        problems = []
        for request in requests:
            for versions in self._explain(request, runs.get(request.request_id, [])):
                problems += self._check(request, versions)
        return problems

    def _explain(self, request: ObservedRequest, runs: Sequence[Run]) -> list[list[int]]:
        """Return the versions that allow what was observed, for each run or for a 404."""
        if runs:
            services = [run.service for run in runs]
        elif request.status == 404:
            services = [None]
        else:
            services = []
        prefix = "/" + request.path.split("/")[1] + "/"
        # The store acknowledges at once, so none was known to a node before that time.
        known = [p for p in self.configurations if p.acknowledged_s <= request.ended_s]
        return [
            [p.version for p in known if p.services.get(prefix) == service] for service in services
        ]

    def _note_shown(self, request: ObservedRequest, runs: Sequence[Run]) -> None:
        connected, ended = request.incarnations
        for run, versions in zip(runs, self._explain(request, runs), strict=False):
            if versions and connected == ended:
                shown = ShownVersion(versions[0], run.arrived_s, request.request_id)
                self._shown[request.vm, connected].append(shown)

    def _check(self, request: ObservedRequest, versions: list[int]) -> list[Violation]:
        if not versions:
            return [Violation("ROUTE", request, "no configuration allows this")]
        texts = []
        applied = [
            published
            for published in self.configurations
            if published.acknowledged_s + CONFIG_APPLY_S < request.sent_s
        ]
        is_old = applied and versions[-1] < applied[-1].version
        if is_old and self.disturbances.is_in_touch(request.vm, request.sent_s, request.ended_s):
            late_s = request.sent_s - self._superseded_s(versions[-1])
            texts.append(
                f"handled as in version {versions[-1]}, {late_s:.2f} s after a newer one"
                f" was acknowledged; {applied[-1].version} should be in force"
            )
        shown = self._regressed_from(request, versions[-1])
        if shown is not None:
            texts.append(
                f"handled as in version {versions[-1]},"
                f" {request.sent_s - shown.time_s:.2f} s after {shown.request_id}"
                f" has shown version {shown.version} of the same incarnation"
            )
        return [Violation("CONFIG", request, text) for text in texts]

    def _superseded_s(self, version: int) -> float:
        return next(p.acknowledged_s for p in self.configurations if p.version > version)

    def _regressed_from(self, request: ObservedRequest, newest: int) -> ShownVersion | None:
        connected, ended = request.incarnations
        if connected != ended:
            return None
        slack_s = ROLLBACK_SLACK_S
        if self.disturbances.is_disrupted(request.vm, request.sent_s, request.ended_s):
            slack_s = SLOWED_ROLLBACK_SLACK_S
        return next(
            (
                shown
                for shown in self._shown[request.vm, connected]
                if shown.version > newest and shown.time_s + slack_s < request.sent_s
            ),
            None,
        )
