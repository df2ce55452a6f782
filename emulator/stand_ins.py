"""Runs the stand-ins for the configuration service and the VM list as threads of this process."""

from __future__ import annotations

import json

from emulator.addresses import split_address
from emulator.config_service import make_config_service
from emulator.long_poll import Faults, LongPollApp, RunningService, start_service
from emulator.plans import UpstreamAddresses
from emulator.vm_list import make_vm_list


class StandIns:
    """Both services; their addresses are ``ip:port``."""

    def __init__(self, config_address: str, vm_list_address: str) -> None:
        self.config_address = config_address
        self.vm_list_address = vm_list_address
        self._vm_list_version = 0
        self._config = _start(make_config_service(), config_address)
        self._vm_list = _start(make_vm_list(), vm_list_address)

    def publish(self, record: dict) -> None:
        """Publish a policy record."""
        self._config.store.publish(json.dumps(record).encode())

    def set_config_faults(self, faults: Faults) -> None:
        """Replace the faults of the configuration service."""
        self._config.store.set_faults(faults)

    def set_vm_list_faults(self, faults: Faults) -> None:
        """Replace the faults of the VM list."""
        self._vm_list.store.set_faults(faults)

    def list_vms(self, states: dict[str, str], upstreams: dict[str, UpstreamAddresses]) -> None:
        """Publish a VM list; ``states`` maps the listed VMs to ``live`` or ``leaving``."""
        self._vm_list_version += 1
        vms = [
            {
                "name": name,
                "data_centre": upstreams[name].data_centre,
                "peer_address": upstreams[name].advertised_peer,
                "control_address": upstreams[name].advertised_control,
                "state": state,
            }
            for name, state in states.items()
        ]
        content = {"version": self._vm_list_version, "vms": vms}
        self._vm_list.store.publish(json.dumps(content).encode())

    def close(self) -> None:
        """Stop both services."""
        self._config.stop()
        self._vm_list.stop()


def _start(app: LongPollApp, address: str) -> RunningService:
    host, port = split_address(address)
    return start_service(app, host, port)
