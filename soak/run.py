"""Runs one seed: faults under load, then recovery, a draining target and a graceful shutdown."""

from __future__ import annotations

import asyncio
import contextlib
import signal
from collections.abc import Sequence
from pathlib import Path

from attrs import frozen

from soak.callers import Callers, ObservedRequest
from soak.checks import find_uncontained_crashes, find_unserved, find_violations
from soak.faults import PlannedFault, inject, plan_faults
from soak.fleet import ADDED_ROUTE, BOOKINGS_ROUTE, CRASH_PATH, READS_ROUTE, ROOT, SoakFleet

VM_COUNT = 4
CALLERS_PER_VM = 2
REQUEST_PAUSE_S = 0.05
CRASHING_REQUEST_PAUSE_S = 0.3
FAULT_PHASE_S = 4.0
# Within 3 s after the last fault nodes reach each other again, and a configuration is in force 2 s
# after the store acknowledged it.
RECOVERY_S = 5.0
# A draining target gets no request later than this after the store acknowledged its state.
DRAIN_LIMIT_S = 2.0
START_TIMEOUT_S = 30.0


@frozen
class SoakResult:
    """Result of one seed: the faults, the counts of requests and a line for each problem."""

    seed: int
    faults: tuple[PlannedFault, ...]
    sent: int
    served: int
    problems: tuple[str, ...]


async def run_seed(
    seed: int, folder: Path, address_block: int, checkouts: Sequence[Path] = (ROOT,)
) -> SoakResult:
    """Run one seed on the loopback addresses of ``address_block``.

    Settings and logs of the nodes are kept in ``folder``.
    """
    fleet = SoakFleet(folder, address_block, VM_COUNT, checkouts)
    callers = Callers()
    faults = plan_faults(seed, VM_COUNT, FAULT_PHASE_S)
    problems: list[str] = []
    try:
        await fleet.start()
        await _wait_until_served(fleet, callers)
        stop_event = asyncio.Event()
        caller_tasks = [
            asyncio.ensure_future(callers.run(vm.caller_address, REQUEST_PAUSE_S, stop_event))
            for vm in fleet.vms
            for _ in range(CALLERS_PER_VM)
        ]
        # A request comes again from the same service, whose nodes are every second one.
        caller_tasks.append(
            asyncio.ensure_future(
                callers.resend(
                    CRASH_PATH,
                    [vm.caller_address for vm in fleet.vms[::2]],
                    CRASHING_REQUEST_PAUSE_S,
                    stop_event,
                )
            )
        )
        await inject(fleet, faults)
        await fleet.publish(READS_ROUTE, BOOKINGS_ROUTE, ADDED_ROUTE)
        await asyncio.sleep(RECOVERY_S)
        problems += find_unserved(await _request_all_routes(fleet, callers))
        problems += await _check_drain(fleet)
        problems += await _check_graceful_shutdown(fleet, callers)
        stop_event.set()
        await asyncio.gather(*caller_tasks)
    finally:
        await fleet.stop()
    problems += find_violations(fleet, callers.observed)
    problems += find_uncontained_crashes(fleet.crash_times_s)
    served = sum(request.status == 200 for request in callers.observed)
    return SoakResult(seed, tuple(faults), len(callers.observed), served, tuple(problems))


async def _wait_until_served(fleet: SoakFleet, callers: Callers) -> None:
    async def wait_for_node(address: tuple[str, int]) -> None:
        while True:
            request = await callers.send_on_new_connection(address, "reads")
            if request is not None and request.status == 200:
                return
            await asyncio.sleep(0.1)

    waits = (wait_for_node(vm.caller_address) for vm in fleet.vms)
    await asyncio.wait_for(asyncio.gather(*waits), START_TIMEOUT_S)


async def _request_all_routes(fleet: SoakFleet, callers: Callers) -> list[ObservedRequest | None]:
    responses: list[ObservedRequest | None] = []
    for vm in fleet.vms:
        for kind in ("reads", "bookings", "added"):
            responses.append(await callers.send_on_new_connection(vm.caller_address, kind))
    return responses


async def _check_drain(fleet: SoakFleet) -> list[str]:
    vm = fleet.vms[0]
    await fleet.register(vm, state="draining")
    await asyncio.sleep(DRAIN_LIMIT_S)
    run_count = len(vm.target.runs)
    await asyncio.sleep(0.5)
    late_runs = len(vm.target.runs) - run_count
    await fleet.register(vm)
    return (
        [f"{late_runs} runs at a target that was draining for {DRAIN_LIMIT_S} s"]
        if late_runs
        else []
    )


async def _check_graceful_shutdown(fleet: SoakFleet, callers: Callers) -> list[str]:
    """Check that a node that gets SIGTERM answers all requests it accepted and exits with 0."""
    vm = fleet.vms[-1]
    tasks = [
        asyncio.ensure_future(callers.send_on_new_connection(vm.caller_address, "reads"))
        for _ in range(8)
    ]
    await asyncio.sleep(0.01)
    vm.signal_node(signal.SIGTERM)
    requests = await asyncio.gather(*tasks)
    with contextlib.suppress(TimeoutError):
        await asyncio.wait_for(vm.process.wait(), 8.0)
    problems = (
        []
        if vm.process.returncode == 0
        else [f"exit status after SIGTERM should be 0, was {vm.process.returncode}"]
    )
    unanswered = [r for r in requests if r is not None and r.status == 0]
    return problems + [f"{r.path}: no response during a graceful shutdown" for r in unanswered]
