"""Actor that watches the platform's list of VMs."""

from __future__ import annotations

import json

from cottonlink.decisions import GossipError, parse_vm_list
from cottonlink.node._actors._watcher import WatcherActor

SOURCE = "vm-list"


class VmListWatcher(WatcherActor):
    """Reads the VM list, on the nodes that also watch the configuration service.

    The other nodes learn of a later list by gossip and fetch it from the peer that has it.
    """

    def request_path(self, wait_ms: int) -> str:
        """Return the path of the next watch."""
        return f"/v1/vms?after_version={self._state.vm_list_version()}&wait_ms={wait_ms}"

    def apply_body(self, body: bytes) -> bool:
        """Apply the list in ``body``; return whether it is later than the one in use."""
        try:
            data = json.loads(body)
        except (ValueError, RecursionError) as error:
            raise GossipError("vm_list_malformed", ("not JSON",), peer=SOURCE) from error
        return self._state.apply_vm_list(parse_vm_list(data, source=SOURCE))
