"""Runs one seed: faults under load, recovery, a draining target and stops of all nodes in turn."""

from __future__ import annotations

import asyncio
import random
from collections.abc import Sequence
from pathlib import Path

from attrs import define, field, frozen

from soak.callers import Callers
from soak.checks import (
    find_denied,
    find_unasked,
    find_uncontained_crashes,
    find_unserved,
    find_violations,
)
from soak.configuration_checks import CONFIG_APPLY_S, ConfigurationCheck
from soak.configuration_series import ConfigurationSeries
from soak.disturbances import CONTACT_S
from soak.drain_checks import DRAIN_S, find_late_runs, find_runs_after_notice
from soak.faults import FAULT_ACTIONS, PlannedFault, inject, plan_faults
from soak.fleet import ADDED_ROUTE, BOOKINGS_ROUTE, CRASH_PATH, READS_ROUTE, ROOT, SoakFleet
from soak.limit_checks import find_excess
from soak.loss_checks import find_closed_unanswered, find_losses
from soak.observations import ObservedRequest
from soak.organisation_checks import OrganisationCheck
from soak.organisations import Organisations
from soak.runs import group_by_request
from soak.trace import describe_all
from soak.vm import SoakVm

DEFAULT_VM_COUNT = 4
CALLERS_PER_VM = 2
CALLER_START_PAUSE_S = 0.005
REQUEST_PAUSE_S = 0.05
CRASHING_REQUEST_PAUSE_S = 0.3
FAULT_PHASE_S = 4.0
# Within 3 s after the last fault nodes reach each other again, and a configuration is in force 2 s
# after the store acknowledged it.
RECOVERY_S = 5.0
# Many processes that start at once share the processors.
START_TIMEOUT_S = 30.0
START_TIMEOUT_PER_VM_S = 1.0
# The calm return: how old the copy is, and how many configurations the store loses with it.
CALM_COPY_AGE_S = (0.6, 2.0)
CALM_CHANGES = (1, 4)
CALM_MARGIN_S = 0.2
CALM_OBSERVED_S = 1.0
# At the end nodes are stopped in turn, in a small fleet all; several may be stopping at a time.
MAX_STOPS = 12
STOP_GAP_S = (0.2, 1.2)


@frozen
class SoakPlan:
    """What a run depends on: the seed, the faults, the size of the fleet and the builds."""

    seed: int
    faults: tuple[PlannedFault, ...]
    vm_count: int = DEFAULT_VM_COUNT
    checkouts: tuple[Path, ...] = (ROOT,)
    has_organisations: bool = False


@frozen
class SoakResult:
    """Result of one seed: the faults, the counts of requests and a line for each problem.

    ``stall_count`` tells how often the soak itself stalled, which excuses as a fault does.
    """

    seed: int
    faults: tuple[PlannedFault, ...]
    sent: int
    served: int
    problems: tuple[str, ...]
    folder: str
    stall_count: int


def make_plan(
    seed: int, vm_count: int = DEFAULT_VM_COUNT, checkouts: Sequence[Path] = (ROOT,)
) -> SoakPlan:
    """Return the plan of a seed."""
    faults = tuple(plan_faults(seed, vm_count, FAULT_PHASE_S))
    # A build beside this one may not know organisations.
    has_organisations = seed % 2 == 0 and len(checkouts) == 1
    return SoakPlan(seed, faults, vm_count, tuple(checkouts), has_organisations)


async def run_plan(plan: SoakPlan, folder: Path, address_block: int) -> SoakResult:
    """Run one seed on the loopback addresses of ``address_block``.

    Settings and logs of the nodes are kept in ``folder``.
    """
    organisations = None
    if plan.has_organisations:
        organisations = Organisations(random.Random(f"{plan.seed}-organisations"))
    rng = random.Random(f"{plan.seed}-writers")
    fleet = SoakFleet(folder, address_block, plan.vm_count, rng, plan.checkouts, organisations)
    run = SoakRun(plan, fleet)
    try:
        await run.play()
    finally:
        await fleet.stop()
    problems = run.problems + run.check_observations()
    observed = run.callers.observed
    served = sum(request.status == 200 for request in observed)
    return SoakResult(
        plan.seed,
        plan.faults,
        len(observed),
        served,
        tuple(problems),
        str(folder),
        len(fleet.disturbances.stalls),
    )


@define
class SoakRun:
    """The phases of one seed."""

    plan: SoakPlan
    fleet: SoakFleet
    problems: list[str] = field(factory=list)
    callers: Callers = field(init=False)
    _series: ConfigurationSeries = field(init=False)
    _stop_event: asyncio.Event = field(factory=asyncio.Event)

    def __attrs_post_init__(self) -> None:
        # A large fleet gets about as many requests in all.
        pause_s = REQUEST_PAUSE_S * max(1.0, self.plan.vm_count / DEFAULT_VM_COUNT)
        rng = random.Random(f"{self.plan.seed}-callers")
        organisations = self.fleet.writers.organisations
        self.callers = Callers(rng, self.fleet.lag_meter, self._stop_event, pause_s, organisations)
        self._series = ConfigurationSeries(
            self.fleet.writers,
            random.Random(f"{self.plan.seed}-configurations"),
            [READS_ROUTE, BOOKINGS_ROUTE],
        )

    async def play(self) -> None:
        """Run all phases."""
        fleet = self.fleet
        await fleet.start()
        await self._wait_until_served()
        callers = []
        for coroutine in self._caller_coroutines():
            callers.append(asyncio.ensure_future(coroutine))
            # All callers of a large fleet at once would stall the soak.
            await asyncio.sleep(CALLER_START_PAUSE_S)
        changes = fleet.start_task(self._series.run())
        await inject(fleet, self.plan.faults)
        await self._series.publish_lasting(ADDED_ROUTE)
        await asyncio.sleep(RECOVERY_S)
        self.problems += find_unserved(await self._request_all_routes())
        changes.cancel()
        await self._return_store_in_calm()
        fleet.start_task(self._series.run())
        await self._stop_nodes_in_turn()
        self._stop_event.set()
        await asyncio.gather(*callers)

    def check_observations(self) -> list[str]:
        """Return a line for each guarantee that was violated, with what is needed to trace it."""
        fleet, requests = self.fleet, self.callers.observed
        runs = group_by_request(fleet.runs)
        configurations = ConfigurationCheck(fleet.writers.configurations, fleet.disturbances)
        limits = [limit for vm in fleet.vms for limit in vm.limits]
        violations = [
            *find_violations(requests, runs),
            *configurations.find_violations(requests, runs),
            *find_late_runs(requests, runs, fleet.writers.entry_writes, fleet.disturbances),
            *find_runs_after_notice(requests, runs, fleet.disturbances),
            *find_excess(requests, runs, limits, fleet.disturbances),
            *find_losses(requests, runs, fleet.vms, fleet.disturbances),
            *find_closed_unanswered(requests, runs, fleet.vms, fleet.disturbances),
            *find_denied(requests),
        ]
        if fleet.writers.organisations is not None:
            owners = fleet.writers.organisations.owners
            check = OrganisationCheck(fleet.writers.configurations, owners)
            violations += check.find_violations(requests, runs)
        return [
            *fleet.memory_limit.problems,
            *(end for vm in fleet.vms for end in vm.own_ends),
            *find_unasked(requests, runs),
            *find_uncontained_crashes(fleet.crash_times_s),
            *describe_all(fleet, runs, violations),
        ]

    def _caller_coroutines(self):
        for vm in self.fleet.vms:
            for _ in range(CALLERS_PER_VM):
                yield self.callers.keep_connection(vm)
            yield self.callers.pipeline(vm)
            yield self.callers.read_slowly(vm)
            yield self.callers.upload(vm)
            yield self.callers.stop_reading(vm)
            yield self.callers.stream_reads(vm)
            yield self.callers.wait_long(vm)
            yield self.callers.reconnect(vm)
            yield self.callers.probe(vm, self._series)
        if self.plan.has_organisations:
            unknown = self.fleet.writers.organisations.unknown_credentials()
            yield self.callers.keep_connection(self.fleet.vms[0], unknown)
        # A request comes again from the same service, whose nodes are every second one.
        yield self.callers.resend(CRASH_PATH, self.fleet.vms[::2], CRASHING_REQUEST_PAUSE_S)

    async def _wait_until_served(self) -> None:
        async def wait_for_node(vm: SoakVm) -> None:
            while True:
                request = await self.callers.send_lasting(vm, "reads")
                if request is not None and request.status == 200:
                    return
                await asyncio.sleep(0.1)

        waits = (wait_for_node(vm) for vm in self.fleet.vms)
        timeout_s = START_TIMEOUT_S + START_TIMEOUT_PER_VM_S * self.plan.vm_count
        await asyncio.wait_for(asyncio.gather(*waits), timeout_s)

    async def _request_all_routes(self) -> list[ObservedRequest | None]:
        responses: list[ObservedRequest | None] = []
        for vm in self.fleet.vms:
            for kind in ("reads", "bookings", "added"):
                responses.append(await self.callers.send_lasting(vm, kind))
        return responses

    async def _return_store_in_calm(self) -> None:
        """Let the store return from a copy without any other fault; a target begins to drain.

        It begins either after the copy, so that the store loses its report, or after the return.
        A single configuration follows once all nodes are in touch again.
        """
        fleet, vm = self.fleet, self.fleet.vms[0]
        rng = random.Random(f"{self.plan.seed}-calm")
        for_s = rng.uniform(*CALM_COPY_AGE_S)
        store_return = asyncio.ensure_future(
            FAULT_ACTIONS["return_store_from_copy"](fleet, rng.choice(fleet.vms), for_s)
        )
        drains_before = rng.random() < 0.5
        if drains_before:
            await asyncio.sleep(0)
            await fleet.register(vm, state="draining")
        for _ in range(rng.randint(*CALM_CHANGES)):
            await asyncio.sleep(for_s / (CALM_CHANGES[1] + 1))
            await self._series.publish_next()
        await store_return
        await asyncio.sleep(CONTACT_S + CALM_MARGIN_S)
        if not drains_before:
            await fleet.register(vm, state="draining")
        await self._series.publish_next()
        await asyncio.sleep(max(CONFIG_APPLY_S, DRAIN_S) + CALM_OBSERVED_S)
        await vm.stop_target()
        await fleet.restart_target(vm, 0.0)

    async def _stop_nodes_in_turn(self) -> None:
        """Stop nodes in turn and start them again, while the store returns from a copy."""
        rng = random.Random(f"{self.plan.seed}-stops")
        order = rng.sample(self.fleet.vms, min(MAX_STOPS, len(self.fleet.vms)))
        store_return = FAULT_ACTIONS["return_store_from_copy"](
            self.fleet, order[0], rng.uniform(0.3, 2.0)
        )
        stops = []
        for vm in order:
            stops.append(asyncio.ensure_future(FAULT_ACTIONS["term"](self.fleet, vm, 0.0)))
            await asyncio.sleep(rng.uniform(*STOP_GAP_S))
        await asyncio.gather(store_return, *stops)
        self.problems += [
            f"node-{vm.number}: exit status after SIGTERM should be 0, was {vm.stops[-1].status}"
            for vm in order
            if vm.stops[-1].status != 0
        ]
