"""A fleet of node processes with emulated targets, an emulated store and faulty proxies."""

from __future__ import annotations

import asyncio
import json
import os
import signal
import sys
from collections.abc import Sequence
from pathlib import Path

from attrs import define

from emulator.http_stand_in import ReceivedRequest
from emulator.platform_store import PlatformStore
from emulator.platform_target import PlatformTarget, configuration, route_resource
from soak.proxy import FaultyProxy

ROOT = Path(__file__).resolve().parent.parent
READS_ROUTE = route_resource("reads", "shop.example", "/reads/", "browse", timeout_s=3)
BOOKINGS_ROUTE = route_resource(
    "bookings", "shop.example", "/bookings/", "booking", kind="unsafe", priority=0, timeout_s=3
)
ADDED_ROUTE = route_resource("added", "shop.example", "/added/", "browse", timeout_s=3)
REQUEST_DURATION_S = 0.02
# A request with this path crashes the target that runs it, which is started again after a while.
CRASH_PATH = "/reads/crash"
CRASH_DOWNTIME_S = 0.5
FIRST_START_MS = 1_700_000_000_000


@define(eq=False)
class SoakVm:
    """A VM: the node's process, its target, and the proxies for peers and for the store.

    Peers reach the node through ``peer_proxy``; the node reaches the store through ``store_proxy``.
    """

    number: int
    target: PlatformTarget
    peer_proxy: FaultyProxy
    store_proxy: FaultyProxy
    settings_path: Path
    log_path: Path
    caller_address: tuple[str, int]
    # The checkout that the node is started from.
    checkout: Path = ROOT
    process: asyncio.subprocess.Process | None = None

    async def start_node(self) -> None:
        """Start the node's process; its output is appended to the file at ``log_path``."""
        environment = {
            "PATH": os.environ["PATH"],
            "COTTONLINK_NODE_FILE": str(self.settings_path),
        }
        with self.log_path.open("ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                sys.executable,
                str(self.checkout / "src" / "run_node.py"),
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal_node(self, signal_number: signal.Signals) -> None:
        """Send a signal to the node's process, if it runs."""
        if self.process is not None and self.process.returncode is None:
            self.process.send_signal(signal_number)

    async def stop_node(self, signal_number: signal.Signals = signal.SIGKILL) -> None:
        """End the node's process with a signal and wait until it has exited."""
        self.signal_node(signal_number)
        await self.process.wait()


class SoakFleet:
    """Two services on ``vm_count`` VMs, each with its own loopback addresses.

    ``address_block`` is the second byte of these addresses, 127.x.0.0. Pairs of VMs, one of each
    service, run nodes of the ``checkouts`` in turn.
    """

    def __init__(
        self, folder: Path, address_block: int, vm_count: int, checkouts: Sequence[Path] = (ROOT,)
    ) -> None:
        self._folder = folder
        self._checkouts = checkouts
        # Runs in parallel need different blocks of loopback addresses.
        self._address_block = address_block
        self._vm_count = vm_count
        self.store = PlatformStore()
        self.vms: list[SoakVm] = []
        self.configuration_version = 3
        # When a run of CRASH_PATH crashed a target, in seconds of the event loop's clock.
        self.crash_times_s: list[float] = []
        self._restarts: set[asyncio.Task] = set()
        self._restart_lock = asyncio.Lock()
        self._last_start_ms = FIRST_START_MS

    async def start(self) -> None:
        """Start the store, targets and proxies, publish the configuration and start the nodes."""
        await self.store.start()
        host, _, port = self.store.address.rpartition(":")
        for number in range(self._vm_count):
            self.vms.append(await self._make_vm(number, (host, int(port))))
        await self.publish(READS_ROUTE, BOOKINGS_ROUTE)
        for vm in self.vms:
            await vm.start_node()

    async def publish(self, *routes: dict) -> None:
        """Publish a configuration with the next version."""
        self.configuration_version += 1
        await self.store.put("op/config", configuration(self.configuration_version, *routes))

    async def stop(self) -> None:
        """Stop the nodes, proxies, targets and the store.

        Only the processes that this fleet started are ended, by their ids.
        """
        for restart in self._restarts:
            restart.cancel()
        for vm in self.vms:
            vm.signal_node(signal.SIGCONT)
            if vm.process is not None and vm.process.returncode is None:
                await vm.stop_node()
            vm.peer_proxy.stop()
            vm.store_proxy.stop()
            await vm.target.stop()
        await self.store.stop()

    async def register(self, vm: SoakVm, **changes: object) -> None:
        """Write a target's entry to the store; ``changes`` replace fields of the entry."""
        await self.store.put(f"servers/{vm.target.upstream_id}", vm.target.entry(**changes))

    async def restart_target(self, vm: SoakVm, after_s: float) -> None:
        """Start a target again that has crashed, as a new incarnation under its former id."""
        await asyncio.sleep(after_s)
        # A crash and a fault that stops the target may end at the same moment.
        async with self._restart_lock:
            if vm.target.is_running:
                return
            await vm.target.start()
        self._last_start_ms += 1
        await self.register(vm, born=self._last_start_ms)

    async def _serve_request(
        self, target: PlatformTarget, request: ReceivedRequest, _writer: object
    ) -> bytes | None:
        if request.target == CRASH_PATH:
            await self._crash(target)
            return None
        await asyncio.sleep(REQUEST_DURATION_S)
        if target.loses_answers:
            return None
        return target.success_response(request)

    async def _crash(self, target: PlatformTarget) -> None:
        loop = asyncio.get_running_loop()
        self.crash_times_s.append(loop.time())
        (vm,) = (vm for vm in self.vms if vm.target is target)
        restart = loop.create_task(self.restart_target(vm, CRASH_DOWNTIME_S))
        self._restarts.add(restart)
        restart.add_done_callback(self._restarts.discard)
        await target.stop()

    async def _make_vm(self, number: int, store: tuple[str, int]) -> SoakVm:
        # Peers reach the VM at its public address, where the proxy listens; the node listens at
        # another address.
        public_host = f"127.{self._address_block}.1.{number + 1}"
        node_host = f"127.{self._address_block}.2.{number + 1}"
        service = "booking" if number % 2 else "browse"
        target = PlatformTarget(
            service, public_host, 7002, f"i-{number}", behaviour=self._serve_request
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
            "grace_s": 6,
        }
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
            # Each pair of VMs has one of each service, so that every build runs both services.
            self._checkouts[number // 2 % len(self._checkouts)],
        )
        await self.register(vm)
        return vm
