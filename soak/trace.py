"""Describes a violation with what is needed to find its cause in the logs of the nodes."""

from __future__ import annotations

import datetime
import time
from collections import defaultdict
from collections.abc import Mapping, Sequence

from soak.fleet import SoakFleet
from soak.observations import Violation
from soak.runs import Run

SHOWN_PER_RULE = 6


def describe_all(
    fleet: SoakFleet, runs: Mapping[str, Sequence[Run]], violations: Sequence[Violation]
) -> list[str]:
    """Return a line for each violation, but for each rule only for the first few."""
    by_rule: dict[str, list[Violation]] = defaultdict(list)
    for violation in violations:
        by_rule[violation.rule].append(violation)
    lines = []
    for rule, of_rule in by_rule.items():
        lines += [_describe(fleet, runs, violation) for violation in of_rule[:SHOWN_PER_RULE]]
        if len(of_rule) > SHOWN_PER_RULE:
            lines.append(f"{rule}: {len(of_rule) - SHOWN_PER_RULE} more")
    return lines


def _describe(fleet: SoakFleet, runs: Mapping[str, Sequence[Run]], violation: Violation) -> str:
    """Return what is wrong with a request, its times of day, its node and its runs."""
    request = violation.request
    epoch_s = time.time() - fleet.now_s()

    def at(time_s: float | None) -> str:
        if time_s is None:
            return "-"
        moment = datetime.datetime.fromtimestamp(epoch_s + time_s, datetime.UTC)
        return moment.strftime("%H:%M:%S.%f")[:-3]

    own_runs = ", ".join(
        f"i-{run.vm} {at(run.arrived_s)} to {at(run.ended_s)}"
        for run in runs.get(request.request_id, ())
    )
    acknowledged = [
        published.version
        for published in fleet.writers.configurations
        if published.acknowledged_s <= request.sent_s
    ]
    first, last = request.incarnations
    return (
        f"{violation.rule}: {request.request_id} {request.path}"
        f" ({request.status or request.ending}): {violation.text};"
        f" node-{request.vm} start {first}{'' if first == last else f' to {last}'},"
        f" connection {request.connection_id}{', behind another' if request.is_behind else ''},"
        f" {at(request.sent_s)} to {at(request.ended_s)} (lag {request.lag_s:.3f} s),"
        f" runs: {own_runs or 'none'}, newest version {acknowledged[-1] if acknowledged else '-'},"
        f" store era {fleet.era_at(request.sent_s)}, {request.body_bytes} bytes"
        f" received, {request.sent_body_bytes} in its body"
        f"{f', key {request.key}' if request.key else ''}"
    )
