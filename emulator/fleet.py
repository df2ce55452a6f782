"""Starts and stops a fleet of nodes and targets, with the stand-ins that they need.

Everything runs on 127.0.0.1. The configuration service and the VM list run inside this process;
nodes and targets are child processes.
"""

from __future__ import annotations

import json
import signal
import tempfile
import threading
import time
from collections.abc import Callable
from pathlib import Path

import cattrs
import urllib3
import yaml

from cottonlink.observe import EventKind
from emulator.addresses import PortReserver
from emulator.connecting_process import find_connecting_process
from emulator.journal import Run, RunOutcome, parse_run
from emulator.plans import FleetPlan, ServicePlan, UpstreamAddresses, make_policy_record
from emulator.processes import ChildProcess
from emulator.relay import Relay
from emulator.stand_ins import StandIns
from emulator.target import TargetSettings

READY_TIMEOUT_S = 60
POLL_INTERVAL_S = 0.05


class FleetError(Exception):
    """The fleet did not reach an expected state."""


def wait_until(condition: Callable[[], object], what: str, timeout_s: float = READY_TIMEOUT_S):
    """Return the first truthy result of ``condition``; raise FleetError after ``timeout_s``."""
    end = time.monotonic() + timeout_s
    while time.monotonic() < end:
        if result := condition():
            return result
        time.sleep(POLL_INTERVAL_S)
    raise FleetError(f"timed out while waiting for: {what}")


class Fleet:
    """A running fleet, used as a context manager.

    ``version`` is that of the policy record published last. The dicts of processes and relays are
    keyed by upstream name, ``platform_relays`` by ``config`` and ``vm_list``.
    """

    def __init__(self, plan: FleetPlan) -> None:
        self.plan = plan
        self.folder = Path(tempfile.mkdtemp(prefix="cottonlink-fleet-"))
        self.ports = PortReserver()
        self.stand_ins = StandIns(self.ports.reserve(), self.ports.reserve())
        self.advertised_config = self.stand_ins.config_address
        self.advertised_vm_list = self.stand_ins.vm_list_address
        if plan.relayed:
            self.advertised_config = self.ports.reserve()
            self.advertised_vm_list = self.ports.reserve()
        self.upstreams = self._reserve_upstreams()
        self.nodes: dict[str, ChildProcess] = {}
        self.targets: dict[str, ChildProcess] = {}
        self.caller_relays: dict[str, Relay] = {}
        self.peer_relays: dict[str, Relay] = {}
        self.control_relays: dict[str, Relay] = {}
        self.target_relays: dict[str, Relay] = {}
        self.platform_relays: dict[str, Relay] = {}
        self.version = 0
        self._runs: dict[tuple[str, int, int], Run] = {}
        self._events: dict[tuple[str, int, int], dict] = {}
        self._runs_lock = threading.Lock()
        self._http = urllib3.PoolManager(retries=False, timeout=10, maxsize=16)

    def __enter__(self) -> Fleet:
        try:
            self._start()
        except BaseException:
            self.close()
            raise
        return self

    def __exit__(self, *_: object) -> None:
        self.close()

    @property
    def caller_addresses(self) -> list[str]:
        """Caller addresses of all nodes."""
        return [upstream.advertised_caller for upstream in self.upstreams.values()]

    def upstream_names(self, service: str) -> list[str]:
        """Return the names of the upstreams of a service."""
        return [name for name, up in self.upstreams.items() if up.service.name == service]

    def relays(self) -> list[Relay]:
        """Return all relays."""
        groups = (
            self.caller_relays,
            self.peer_relays,
            self.control_relays,
            self.target_relays,
            self.platform_relays,
        )
        return [relay for group in groups for relay in group.values()]

    def runs(self) -> list[Run]:
        """Return the runs of all targets, including crashed ones, oldest first."""
        with self._runs_lock:
            return sorted(self._runs.values(), key=lambda run: run.start_ms)

    def set_switches(self, target: str, **changes: object) -> None:
        """Set switches of a target; see ``emulator.target.Switches``."""
        url = f"http://{self.upstreams[target].target}/_switch"
        self._http.request("POST", url, body=json.dumps(changes))

    def query_control_listener(self, node: str, path: str) -> dict | list | None:
        """GET ``path`` from a node's control listener; return the JSON, or None on failure."""
        url = f"http://{self.upstreams[node].control}{path}"
        try:
            answer = self._http.request("GET", url)
            return answer.json() if answer.status == 200 else None
        except (urllib3.exceptions.HTTPError, ValueError):
            return None

    def events(self, node: str) -> list[dict]:
        """Return the events that a node still keeps, oldest first."""
        content = self.query_control_listener(node, "/v1/events")
        if isinstance(content, dict):
            content = content.get("events", [])
        return content or []

    def collect_events(self) -> None:
        """Store the events of all nodes; call it before a node ends, as they are lost with it."""
        for name, child in self.nodes.items():
            if not child.is_running or child.is_paused:
                continue
            for event in self.events(name):
                life = child.process_id
                self._events[(name, life, event["sequence"])] = {**event, "life": life}

    def collected_events(self) -> list[dict]:
        """Return all events that ``collect_events`` has stored."""
        return list(self._events.values())

    def state(self, node: str) -> str:
        """Return the lifecycle state that a node reports, or an empty string."""
        return str((self.query_control_listener(node, "/v1/status") or {}).get("state", ""))

    def policy_version_of(self, node: str) -> int:
        """Return the policy version that a node reports, or 0 without an answer."""
        return int((self.query_control_listener(node, "/v1/status") or {}).get("policy_version", 0))

    def policy_versions(self) -> dict[str, int]:
        """Return the policy version that each live node reports."""
        live = [name for name, child in self.nodes.items() if child.is_running]
        return {name: self.policy_version_of(name) for name in live}

    def is_ready(self, node: str) -> bool:
        """Whether the node accepts calls. Raises FleetError if its process has ended."""
        if not self.nodes[node].is_running:
            raise FleetError(f"{node} has ended: {self.nodes[node].log[-2_000:]}")
        url = f"http://{self.upstreams[node].control}/readyz"
        try:
            return self._http.request("GET", url, timeout=2).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def wait_ready(self, *names: str) -> None:
        """Wait until the named nodes, by default all, are ready."""
        for name in names or self.nodes:
            wait_until(lambda name=name: self.is_ready(name), f"{name} to become ready")

    def advance_clocks(self, *names: str) -> None:
        """Advance the monotonic clocks of nodes, and wait until these are up to date again.

        Needs ``emulator.jumping_node`` as the node module. A node takes the jump for a pause of its
        process.
        """
        pauses = {name: self._count_pauses(name) for name in names}
        for name in names:
            self.nodes[name].signal(signal.SIGUSR2)
        for name, count in pauses.items():
            wait_until(
                lambda n=name, c=count: self._count_pauses(n) > c, f"{name} to detect a pause"
            )
            wait_until(lambda n=name: self._is_up_to_date(n), f"{name} to be up to date")

    def _count_pauses(self, name: str) -> int:
        return sum(event["kind"] == EventKind.PAUSE_DETECTED for event in self.events(name))

    def _is_up_to_date(self, name: str) -> bool:
        return bool((self.query_control_listener(name, "/v1/status") or {}).get("up_to_date"))

    def publish(self, *excluded: str) -> int:
        """Publish a policy record that lists all upstreams but ``excluded``; return its version."""
        self.version += 1
        listed = {name: up for name, up in self.upstreams.items() if name not in excluded}
        self.stand_ins.publish(make_policy_record(self.plan, listed, self.version))
        return self.version

    def restart_node(self, name: str) -> None:
        """Start a node that has ended, and wait until it is ready."""
        self.nodes[name].start()
        self.wait_ready(name)

    def restart_target(self, name: str) -> None:
        """Start a target that has ended, and wait until it answers."""
        with self._runs_lock:
            for run in self._runs.values():
                if run.target == name and run.outcome is RunOutcome.RUNNING:
                    run.outcome = RunOutcome.CRASHED
        self.targets[name].start()
        wait_until(lambda: self._is_answering(name), f"{name} to answer")

    def restart_crashed_targets(self) -> None:
        """Start the targets whose processes have ended."""
        for name, target in self.targets.items():
            if not target.is_running:
                self.restart_target(name)

    def close(self) -> None:
        """Stop the processes that this fleet started."""
        children = [*self.nodes.values(), *self.targets.values()]
        for child in children:
            child.resume()
            child.send_kill()
        for child in children:
            child.wait()
        for relay in self.relays():
            relay.close()
        self.stand_ins.close()
        self.ports.close()

    def _reserve_upstreams(self) -> dict[str, UpstreamAddresses]:
        return {
            f"{service.name}-{number}": self._reserve_upstream(service, number, data_centre)
            for service in self.plan.services
            for number, data_centre in enumerate(service.data_centres)
        }

    def _reserve_upstream(
        self, service: ServicePlan, number: int, data_centre: str
    ) -> UpstreamAddresses:
        caller, peer, control, target = (self.ports.reserve() for _ in range(4))
        advertised = (caller, peer, control, target)
        if self.plan.relayed:
            advertised = tuple(self.ports.reserve() for _ in range(4))
        return UpstreamAddresses(
            name=f"{service.name}-{number}",
            service=service,
            data_centre=data_centre,
            caller=caller,
            peer=peer,
            control=control,
            target=target,
            advertised_caller=advertised[0],
            advertised_peer=advertised[1],
            advertised_control=advertised[2],
            advertised_target=advertised[3],
        )

    def _start(self) -> None:
        self.publish()
        if self.plan.relayed:
            config = Relay(
                self.advertised_config, self.stand_ins.config_address, self._find_node_name
            )
            vm_list = Relay(
                self.advertised_vm_list, self.stand_ins.vm_list_address, self._find_node_name
            )
            self.platform_relays = {"config": config, "vm_list": vm_list}
        self.stand_ins.list_vms({name: "live" for name in self.upstreams}, self.upstreams)
        for name, upstream in self.upstreams.items():
            if self.plan.relayed:
                self._start_relays(name, upstream)
            self._start_target(name, upstream)
            self._start_node(name, upstream)
        for name in self.targets:
            wait_until(lambda name=name: self._is_answering(name), f"{name} to answer")
        self.wait_ready()

    def _start_relays(self, name: str, upstream: UpstreamAddresses) -> None:
        self.caller_relays[name] = Relay(upstream.advertised_caller, upstream.caller)
        self.peer_relays[name] = Relay(
            upstream.advertised_peer, upstream.peer, self._find_node_name
        )
        self.control_relays[name] = Relay(
            upstream.advertised_control, upstream.control, self._find_node_name
        )
        self.target_relays[name] = Relay(upstream.advertised_target, upstream.target)

    def _start_target(self, name: str, upstream: UpstreamAddresses) -> None:
        service = upstream.service
        settings = TargetSettings(
            name=name,
            address=upstream.target,
            node_address=upstream.caller,
            slots=service.slots,
            work=service.work,
            starting_ms=service.starting_ms,
            cold_ms=service.cold_ms,
            cold_factor=service.cold_factor,
            stops_on_cancel=service.stops_on_cancel,
        )
        path = self.folder / f"target-{name}.json"
        path.write_text(json.dumps(cattrs.unstructure(settings)))
        log = self.folder / f"target-{name}.log"
        self.targets[name] = ChildProcess("emulator.target", [str(path)], log, self._record_run)
        self.targets[name].start()

    def _start_node(self, name: str, upstream: UpstreamAddresses) -> None:
        seeds = [up.advertised_control for up in self.upstreams.values() if up.name != name]
        settings = {
            "node": name,
            "data_centre": upstream.data_centre,
            "caller_address": upstream.caller,
            "peer_address": upstream.peer,
            "control_address": upstream.control,
            "target_address": upstream.advertised_target,
            "seed_control_addresses": seeds[:3],
            "config_service_address": self.advertised_config,
            "vm_list_address": self.advertised_vm_list,
            **self.plan.node_settings,
        }
        path = self.folder / f"node-{name}.yaml"
        path.write_text(yaml.safe_dump(settings))
        log = self.folder / f"node-{name}.log"
        checkout = self.plan.node_checkouts[len(self.nodes) % len(self.plan.node_checkouts)]
        arguments = [str(path)]
        self.nodes[name] = ChildProcess(self.plan.node_module, arguments, log, checkout=checkout)
        self.nodes[name].start()

    def _is_answering(self, target: str) -> bool:
        try:
            url = f"http://{self.upstreams[target].target}/_health"
            return self._http.request("GET", url).status == 200
        except urllib3.exceptions.HTTPError:
            return False

    def _record_run(self, line: str) -> None:
        run = parse_run(line)
        if run is not None:
            with self._runs_lock:
                self._runs[(run.target, run.run_id, run.start_ms)] = run

    def _find_node_name(self, address: tuple[str, int]) -> str:
        ids = {name: child.process_id for name, child in self.nodes.items()}
        return find_connecting_process(address[1], ids)
