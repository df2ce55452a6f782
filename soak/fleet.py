"""A fleet of node processes with emulated targets, an emulated store and faulty proxies."""

from __future__ import annotations

import asyncio
import json
import random
import signal
from collections.abc import Coroutine, Iterator, Sequence
from contextlib import contextmanager
from pathlib import Path

from emulator.http_stand_in import ReceivedRequest
from emulator.platform_store import PlatformStore, StoreCopy
from emulator.platform_target import PlatformTarget, route_resource
from soak.disturbances import Disturbances
from soak.faulty_answers import FaultyAnswers
from soak.lag import LagMeter
from soak.memory import MemoryLimit
from soak.observations import expected_body
from soak.organisations import REVOCATION_S, Organisations
from soak.proxy import FaultyProxy
from soak.runs import Run
from soak.store_writers import StoreWriters
from soak.vm import GRACES_S, ROOT, SoakVm

HOST = "shop.example"
SERVICES = ("browse", "booking")
# The longest that the operator wants a request kept waiting.
ROUTE_TIMEOUT_S = 3
READS_ROUTE = route_resource("reads", HOST, "/reads/", "browse", timeout_s=ROUTE_TIMEOUT_S)
BOOKINGS_ROUTE = route_resource(
    "bookings",
    HOST,
    "/bookings/",
    "booking",
    kind="unsafe",
    priority=0,
    timeout_s=ROUTE_TIMEOUT_S,
)
ADDED_ROUTE = route_resource("added", HOST, "/added/", "browse", timeout_s=ROUTE_TIMEOUT_S)
REQUEST_DURATION_S = 0.02
# Of a target: readers that stop keep theirs, and there must be room without faults.
SLOTS = 64
# A request with this path crashes the target that runs it, which is started again after a while.
CRASH_PATH = "/reads/crash"
CRASH_DOWNTIME_S = 0.5
FIRST_START_MS = 1_700_000_000_000
VMS_PER_BLOCK = 250


def _duration_s(path: str) -> float:
    """Return how long a request runs; a path such as /reads/slow-1500/7 asks for 1,500 ms."""
    _, _, tail = path.partition("/slow-")
    return int(tail.partition("/")[0]) / 1000 if tail else REQUEST_DURATION_S


class SoakFleet:
    """Two services on ``vm_count`` VMs, each with its own loopback addresses.

    ``address_block`` is the second byte of these addresses, 127.x.0.0. Pairs of VMs, one of each
    service, run nodes of the ``checkouts`` in turn.
    """

    def __init__(
        self,
        folder: Path,
        address_block: int,
        vm_count: int,
        rng: random.Random,
        checkouts: Sequence[Path] = (ROOT,),
        organisations: Organisations | None = None,
    ) -> None:
        self._folder = folder
        self._answer_seed = rng.getrandbits(32)
        self._grace_s = GRACES_S[self._answer_seed % len(GRACES_S)]
        self._checkouts = checkouts
        # Runs in parallel need different blocks of loopback addresses.
        self._address_block = address_block
        self._vm_count = vm_count
        self.now_s = asyncio.get_running_loop().time
        # Entries come in three pages or less, however large the fleet is.
        self.store = PlatformStore(page_items=max(2, vm_count // 2))
        self.writers = StoreWriters(self.store, rng, self.now_s, organisations)
        self.disturbances = Disturbances(self.now_s)
        self.lag_meter = LagMeter(self.now_s, self.disturbances.add_stall)
        self.vms: list[SoakVm] = []
        self.runs: list[Run] = []
        # When a run of CRASH_PATH crashed a target, in seconds of the event loop's clock.
        self.crash_times_s: list[float] = []
        # When the store returned from a copy.
        self.returned_s: list[float] = []
        # The store returns from one copy after another.
        self.copy_lock = asyncio.Lock()
        self._store_faults: list[str] = []
        self._tasks: set[asyncio.Task] = set()
        self._restart_lock = asyncio.Lock()
        self._started_at_ms: dict[str, int] = {}
        self._last_start_ms = FIRST_START_MS

    async def start(self) -> None:
        """Start the store, targets and proxies, publish the configuration and start the nodes."""
        self.start_task(self.lag_meter.run())
        await self.store.start()
        host, _, port = self.store.address.rpartition(":")
        for number in range(self._vm_count):
            self.vms.append(await self._make_vm(number, (host, int(port))))
        await self.writers.publish(READS_ROUTE, BOOKINGS_ROUTE)
        for vm in self.vms:
            await vm.start_node()
        self.memory_limit = MemoryLimit(self.vms, self.disturbances)
        self.start_task(self.memory_limit.run())

    async def stop(self) -> None:
        """Stop the nodes, proxies, targets and the store.

        Only the processes that this fleet started are ended, by their ids.
        """
        for task in self._tasks:
            task.cancel()
        for vm in self.vms:
            vm.signal_node(signal.SIGCONT)
            if vm.process is not None and vm.process.returncode is None:
                await vm.kill_node()
            vm.peer_proxy.stop()
            vm.store_proxy.stop()
            await vm.target.stop()
        await self.store.stop()

    @contextmanager
    def store_fault(self, fault: str) -> Iterator[None]:
        """Set a fault of the store while the context is entered; of several the last counts."""
        self._store_faults.append(fault)
        self.store.fault = fault
        try:
            with self.disturbances.of_store():
                yield
        finally:
            self._store_faults.remove(fault)
            self.store.fault = self._store_faults[-1] if self._store_faults else None

    async def register(self, vm: SoakVm, **changes: object) -> None:
        """Write a target's entry to the store; ``changes`` replace fields of the entry."""
        await self.writers.register(vm.target, **changes)

    async def restart_target(self, vm: SoakVm, after_s: float) -> None:
        """Start a target again that has stopped, as a new incarnation under its former id."""
        await asyncio.sleep(after_s)
        # A crash and a fault that stops the target may end at the same moment.
        async with self._restart_lock:
            if vm.target.is_running:
                return
            vm.target.is_leaving = False
            await vm.target.start()
        self._last_start_ms += 1
        self._started_at_ms[vm.target.upstream_id] = self._last_start_ms
        await self.register(vm, state="ready", born=self._last_start_ms)

    def started_at_ms(self, target: PlatformTarget) -> int:
        """Return the Unix time at which a target was started last."""
        return self._started_at_ms.get(target.upstream_id, FIRST_START_MS)

    def era_at(self, time_s: float) -> int:
        """Return the era of the store at a past time."""
        return 1 + sum(returned_s <= time_s for returned_s in self.returned_s)

    def return_store_from_copy(self, copy: StoreCopy) -> None:
        """Let the store return from a copy; the operator then writes again what it has lost."""
        self.store.return_from_copy(copy)
        self.returned_s.append(self.now_s())
        self.start_task(self.writers.publish_again())

    def start_task(self, coroutine: Coroutine) -> asyncio.Task:
        """Run a coroutine beside the rest until the fleet is stopped; return its task."""
        task = asyncio.get_running_loop().create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    async def _serve_request(
        self, target: PlatformTarget, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bytes | None:
        (vm,) = (vm for vm in self.vms if vm.target is target)
        started_at_ms = self.started_at_ms(target)
        request_id = request.header("x-attempt-id")
        now_s = self.now_s()
        run = Run(request_id, vm.number, target.service, started_at_ms, now_s)
        run.body_bytes = len(request.body)
        run.organisations = tuple(value for name, value in request.headers if name == "x-tenant")
        run.received_head = f"{request.target} {request.headers}"
        run.is_body_padding = request.body.count(b"x") == len(request.body)
        run.lag_s = self.lag_meter.largest_since(now_s - 1.0)
        self.runs.append(run)
        try:
            response = await self._run_request(vm, request, writer)
            run.is_broken_off = response is None
            if response is not None:
                writer.write(response)
                await writer.drain()
        finally:
            run.ended_s = self.now_s()
        return None if run.is_broken_off else b""

    async def _run_request(
        self, vm: SoakVm, request: ReceivedRequest, writer: asyncio.StreamWriter
    ) -> bytes | None:
        if request.target == CRASH_PATH:
            await self._crash(vm)
            return None
        await asyncio.sleep(_duration_s(request.target))
        if vm.target.loses_answers:
            return None
        success = vm.target.success_response(
            request, expected_body(vm.target.upstream_id, request.target)
        )
        return await vm.faulty_answers.answer(success, writer)

    async def _crash(self, vm: SoakVm) -> None:
        self.crash_times_s.append(self.now_s())
        self.start_task(self.restart_target(vm, CRASH_DOWNTIME_S))
        await vm.stop_target()

    async def _make_vm(self, number: int, store: tuple[str, int]) -> SoakVm:
        # Peers reach the VM at its public address, where the proxy listens; the node listens at
        # another address.
        block, host_number = divmod(number, VMS_PER_BLOCK)
        public_host = f"127.{self._address_block}.{1 + 2 * block}.{host_number + 1}"
        node_host = f"127.{self._address_block}.{2 + 2 * block}.{host_number + 1}"
        service = SERVICES[number % len(SERVICES)]
        target = PlatformTarget(
            service, public_host, 7002, f"i-{number}", SLOTS, behaviour=self._serve_request
        )
        await target.start()
        peer_proxy, store_proxy = FaultyProxy((node_host, 7001)), FaultyProxy(store)
        await peer_proxy.start(public_host, 7001)
        store_port = await store_proxy.start(node_host, 7005)
        settings = {
            "node": f"node-{number}",
            "data_centre": "hall-a",
            "service": service,
            "caller_address": f"{node_host}:7000",
            "peer_address": f"{node_host}:7001",
            "ready_address": f"{node_host}:7003",
            "metrics_address": f"{node_host}:7004",
            "target_address": f"{public_host}:7002",
            "store_address": f"{node_host}:{store_port}",
            "grace_s": self._grace_s,
        }
        if self.writers.organisations is not None:
            settings["revocation_s"] = REVOCATION_S
        settings_path = self._folder / f"node-{number}.yaml"
        settings_path.write_text(json.dumps(settings))
        vm = SoakVm(
            number,
            target,
            peer_proxy,
            store_proxy,
            settings_path,
            self._folder / f"node-{number}.log",
            (node_host, 7000),
            self.now_s,
            self._grace_s,
            # Each pair of VMs has one of each service, so that every build runs both services.
            self._checkouts[number // 2 % len(self._checkouts)],
        )
        vm.faulty_answers = FaultyAnswers(random.Random(f"{self._answer_seed}-{number}"))
        await self.register(vm)
        self.start_task(self.writers.keep_registered(target))
        return vm
