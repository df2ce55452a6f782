"""Runs the soak test for a list of seeds and prints the failed seeds and a summary."""

from __future__ import annotations

import asyncio
import json
import queue
import resource
import shutil
import sys
import tempfile
from collections.abc import Sequence
from concurrent.futures import ProcessPoolExecutor, ThreadPoolExecutor
from pathlib import Path

import attrs
import click

from soak.faults import PlannedFault
from soak.run import DEFAULT_VM_COUNT, SoakPlan, SoakResult, make_plan, run_plan
from soak.vm import ROOT

# Plans of past failures, each with its cause; every run repeats them.
REGRESSION_SEEDS_FILE = Path(__file__).parent / "regression_seeds.json"
DEFAULT_JOBS = 4
FIRST_BLOCK = 20
# Listeners, and connections of callers, to the target and to the store.
FILES_PER_VM = 60


@click.command()
@click.option("--seeds", default=10, show_default=True, help="Number of seeds.")
@click.option("--first", default=1, show_default=True, help="The first seed.")
@click.option("--jobs", default=DEFAULT_JOBS, show_default=True, help="Seeds played side by side.")
@click.option("--vms", default=DEFAULT_VM_COUNT, show_default=True, help="VMs of a fleet.")
@click.option(
    "--first-block",
    default=FIRST_BLOCK,
    show_default=True,
    help="Second byte of the first loopback addresses; each job uses another.",
)
@click.option("--regression/--no-regression", default=True, help="Repeat past failures first.")
@click.option(
    "--beside",
    type=click.Path(exists=True, file_okay=False, resolve_path=True, path_type=Path),
    help="Checkout of another build; half of the nodes run from there.",
)
def main(
    seeds: int,
    first: int,
    jobs: int,
    vms: int,
    first_block: int,
    regression: bool,
    beside: Path | None,
) -> None:
    """Run the soak test for a range of seeds and for the regression seeds."""
    _check_file_limit(vms)
    checkouts = (ROOT,) if beside is None else (ROOT, beside)
    plans = _regression_plans(checkouts) if regression else []
    plans += [make_plan(seed, vms, checkouts) for seed in range(first, first + seeds)]
    results = _run_all(plans, jobs, first_block)
    failed = [result for result in results if result.problems]
    sent, served = sum(r.sent for r in results), sum(r.served for r in results)
    stalls = sum(result.stall_count for result in results)
    click.echo(
        f"{len(results)} seeds, {len(failed)} failed, {served} of {sent} requests served,"
        f" the soak itself stalled {stalls} times"
    )
    sys.exit(bool(failed))


def _check_file_limit(vm_count: int) -> None:
    """Raise ClickException if a process can't open the files that the proxies of a fleet need."""
    limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    # Each node may be linked to each other; a proxy has two connections for a link.
    needed = 2 * vm_count * (vm_count - 1) + FILES_PER_VM * vm_count
    if needed > limit:
        raise click.ClickException(f"{vm_count} VMs may need {needed} open files, limit {limit}")


def _regression_plans(checkouts: Sequence[Path]) -> list[SoakPlan]:
    """Return the plans of past failures.

    Each keeps its faults: those of a seed change with every fault that is added to the soak.
    """
    return [
        SoakPlan(
            entry["seed"],
            tuple(PlannedFault(**fault) for fault in entry["faults"]),
            entry.get("vms", DEFAULT_VM_COUNT),
            tuple(checkouts),
            entry.get("organisations", False),
        )
        for entry in json.loads(REGRESSION_SEEDS_FILE.read_text())
    ]


def _run_all(plans: Sequence[SoakPlan], jobs: int, first_block: int) -> list[SoakResult]:
    """Run each plan in a process of its own, so that none delays the callers of another."""
    address_blocks: queue.Queue[int] = queue.Queue()
    for number in range(jobs):
        address_blocks.put(first_block + number)

    def run_in_free_block(plan: SoakPlan) -> SoakResult:
        address_block = address_blocks.get()
        folder = Path(tempfile.mkdtemp(prefix=f"soak-{plan.seed}-"))
        try:
            result = processes.submit(_run_in_process, plan, folder, address_block).result()
        finally:
            address_blocks.put(address_block)
        if result.problems:
            _print_failure(plan, result)
        else:
            shutil.rmtree(folder)
        return result

    with ProcessPoolExecutor(jobs) as processes, ThreadPoolExecutor(jobs) as threads:
        return list(threads.map(run_in_free_block, plans))


def _print_failure(plan: SoakPlan, result: SoakResult) -> None:
    """Print the plan, which can be kept as a regression case, and the problems."""
    faults = [attrs.asdict(fault) for fault in result.faults]
    entry = {"seed": plan.seed, "organisations": plan.has_organisations, "faults": faults}
    lines = [json.dumps(entry), f"logs: {result.folder}"]
    click.echo("\n".join([*lines, *result.problems]))


def _run_in_process(plan: SoakPlan, folder: Path, address_block: int) -> SoakResult:
    return asyncio.run(run_plan(plan, folder, address_block))


if __name__ == "__main__":
    main()
