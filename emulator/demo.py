"""``make demo``: a load surge with slow targets and aggressive retries, with decisions on and off.

``emulator.norrsken`` tells which decisions are switched off in the second run. The last line of the
output is one JSON object. The exit status is 0 if all invariants held in the run with decisions on.
"""

from __future__ import annotations

import collections
import json
import sys
from collections.abc import Sequence

from attrs import asdict, frozen

from emulator.checker import History, Violation, check_invariants
from emulator.fleet import Fleet
from emulator.load import Call, Caller, CallerOptions, CallOutcome, plan_calls, run_load
from emulator.norrsken import CONFIG, NORRSKEN, REQUEST_MIX, make_baseline
from emulator.plans import FleetPlan

SEED = 7
NORMAL_MS = 3_000
SURGE_MS = 4_000
AFTER_SURGE_MS = 8_000
NORMAL_RATE_PER_S = 50
SURGE_RATE_PER_S = 200
SLOW_FACTOR = 4.0
BUCKET_MS = 500
# An interval of BUCKET_MS counts as recovered if at least this share of the calls that arrive in it
# get a complete answer.
RECOVERED_SHARE = 0.9
CALLER_OPTIONS = CallerOptions(max_sends=4, timeout_ms=1_000)


@frozen
class Summary:
    """Counts of one run. ``recovery_time_ms`` is measured from the end of the surge."""

    sent: int
    answered_whole: int
    refused_not_run: int
    unknown: int
    duplicate_runs: int
    runs: int
    sends: int
    bookings_whole: int
    recovery_time_ms: int


def count_duplicate_runs(history: History) -> int:
    """Return the number of runs beyond the first of each key."""
    runs = collections.Counter(run.key for run in history.runs if run.key)
    return sum(count - 1 for count in runs.values())


def measure_recovery_ms(calls: Sequence[Call]) -> int:
    """Return the time from the end of the surge to the end of the last unrecovered interval."""
    end_ms = NORMAL_MS + SURGE_MS
    buckets: dict[int, list[bool]] = collections.defaultdict(list)
    for call in calls:
        is_whole = call.outcome is CallOutcome.WHOLE
        buckets[call.plan.at_ms // BUCKET_MS].append(is_whole)
    unrecovered = [
        bucket
        for bucket, whole in buckets.items()
        if sum(whole) < RECOVERED_SHARE * len(whole) and bucket * BUCKET_MS >= end_ms
    ]
    return (max(unrecovered) + 1) * BUCKET_MS - end_ms if unrecovered else 0


def summarize(history: History) -> Summary:
    """Return the counts of a run."""
    outcomes = collections.Counter(call.outcome for call in history.calls)
    bookings = [call for call in history.calls if call.plan.key]
    return Summary(
        sent=len(history.calls),
        answered_whole=outcomes[CallOutcome.WHOLE],
        refused_not_run=outcomes[CallOutcome.REFUSED_NOT_RUN],
        unknown=outcomes[CallOutcome.UNKNOWN],
        duplicate_runs=count_duplicate_runs(history),
        runs=len(history.runs),
        sends=sum(len(call.sends) for call in history.calls),
        bookings_whole=sum(call.outcome is CallOutcome.WHOLE for call in bookings),
        recovery_time_ms=measure_recovery_ms(history.calls),
    )


def run_surge(plan: FleetPlan) -> History:
    """Run the scenario on a new fleet and return what was recorded."""
    with Fleet(plan) as fleet:
        if plan.node_module != "cottonlink.node":
            fleet.advance_clocks(*fleet.nodes)
        slow = fleet.upstream_names(CONFIG.name)
        rates = [
            (NORMAL_MS, NORMAL_RATE_PER_S),
            (SURGE_MS, SURGE_RATE_PER_S),
            (AFTER_SURGE_MS, NORMAL_RATE_PER_S),
        ]
        calls = run_load(
            plan_calls(SEED, REQUEST_MIX, fleet.caller_addresses, rates),
            Caller(CALLER_OPTIONS),
            [
                (NORMAL_MS, lambda: _set_slow_factor(fleet, slow, SLOW_FACTOR)),
                (NORMAL_MS + SURGE_MS, lambda: _set_slow_factor(fleet, slow, 1.0)),
            ],
        )
        fleet.collect_events()
        return History(
            calls=calls,
            runs=fleet.runs(),
            events=fleet.collected_events(),
            retry_budget=plan.budget_per_request,
            final_versions=fleet.policy_versions(),
            published_version=fleet.version,
        )


def _set_slow_factor(fleet: Fleet, targets: Sequence[str], factor: float) -> None:
    for target in targets:
        fleet.set_switches(target, slow_factor=factor)


def print_table(columns: dict[str, Summary]) -> None:
    """Print one column for each run."""
    rows = {name: [] for name in asdict(next(iter(columns.values())))}
    for summary in columns.values():
        for name, value in asdict(summary).items():
            rows[name].append(value)
    print(f"{'':20}" + "".join(f"{title:>16}" for title in columns))
    for name, values in rows.items():
        print(f"{name:20}" + "".join(f"{value:>16}" for value in values))


def print_violations(violations: Sequence[Violation]) -> None:
    """Print the number of violations of each invariant and one example."""
    counts = collections.Counter(violation.invariant for violation in violations)
    for invariant, count in sorted(counts.items()):
        example = next(v.detail for v in violations if v.invariant == invariant)
        print(f"{invariant} violated {count} times, for instance: {example}")


def main() -> int:
    """Run both variants, print the results and return the exit status."""
    history = run_surge(NORRSKEN)
    violations = check_invariants(history)
    with_decisions = summarize(history)
    baseline = summarize(run_surge(make_baseline(NORRSKEN)))
    print_table({"decisions on": with_decisions, "decisions off": baseline})
    print_violations(violations)
    result = {
        **asdict(with_decisions),
        "invariants_held": not violations,
        "decisions_off": asdict(baseline),
    }
    print(json.dumps(result))
    return 1 if violations else 0


if __name__ == "__main__":
    sys.exit(main())
