"""The configuration service and the VM list, as threads of the process that runs a fleet.

Both are switched off by closing their listener, so that nodes see refused connections.
"""

from __future__ import annotations

import json
import threading
import time
from collections.abc import Callable, Iterable
from urllib.parse import parse_qs

import waitress
from attrs import define, field

from emulator.addresses import split_address
from emulator.plans import UpstreamAddresses

MAX_WAIT_MS = 30_000
THREAD_COUNT = 64


@define
class WatchedValue:
    """A JSON value with a version that readers wait for. Thread-safe."""

    version: int = 0
    value: dict = field(factory=dict)
    _changed: threading.Condition = field(factory=threading.Condition, init=False)

    def set(self, version: int, value: dict) -> None:
        """Replace the value; the version may also fall, as after a roll-back."""
        with self._changed:
            self.version = version
            self.value = value
            self._changed.notify_all()

    def wait(self, after_version: int, wait_ms: int) -> dict | None:
        """Return the value once its version is above ``after_version``, or None after a while."""
        with self._changed:
            is_newer = self._changed.wait_for(
                lambda: self.version > after_version, min(wait_ms, MAX_WAIT_MS) / 1000
            )
            return self.value if is_newer else None


class WatchServer:
    """Serves one watched value at ``address`` until it is stopped."""

    def __init__(self, address: str, watched: WatchedValue) -> None:
        self._address = address
        self._watched = watched
        self._server: object | None = None
        self.read_count = 0

    def start(self) -> None:
        """Listen, unless the server listens already."""
        if self._server is not None:
            return
        host, port = split_address(self._address)
        server = waitress.create_server(self._serve, host=host, port=port, threads=THREAD_COUNT)
        self._server = server
        threading.Thread(target=_run_server, args=(server,), daemon=True).start()

    def stop(self) -> None:
        """Refuse new connections and close the open ones."""
        server, self._server = self._server, None
        if server is not None:
            server.maintenance_interval = 0
            server.close()
            for channel in list(server.active_channels.values()):
                channel.handle_close()

    def _serve(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        self.read_count += 1
        query = parse_qs(environ.get("QUERY_STRING", ""))
        after_version = int(query.get("after_version", ["0"])[0])
        wait_ms = int(query.get("wait_ms", ["0"])[0])
        value = self._watched.wait(after_version, wait_ms)
        if value is None:
            start_response("304 Not Modified", [])
            return []
        body = json.dumps(value).encode()
        headers = [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body]


def _run_server(server: object) -> None:
    # A select over sockets that ``stop`` just closed fails once; the server is gone by then.
    try:
        server.run()
    except (OSError, ValueError):
        time.sleep(0)


class StandIns:
    """Both services and what they publish."""

    def __init__(self, config_address: str, vm_list_address: str) -> None:
        self.config_address = config_address
        self.vm_list_address = vm_list_address
        self._policy = WatchedValue()
        self._vms = WatchedValue()
        self.config = WatchServer(config_address, self._policy)
        self.vm_list = WatchServer(vm_list_address, self._vms)
        self.config.start()
        self.vm_list.start()

    def publish(self, record: dict) -> None:
        """Make ``record`` the current policy, whatever its version is."""
        self._policy.set(record["version"], record)

    def list_vms(self, states: dict[str, str], upstreams: dict[str, UpstreamAddresses]) -> None:
        """Publish a new VM list with the given states (``live`` or ``leaving``)."""
        version = self._vms.version + 1
        vms = [
            {
                "name": name,
                "data_centre": upstreams[name].data_centre,
                "peer_address": upstreams[name].seen_peer,
                "control_address": upstreams[name].seen_control,
                "state": state,
            }
            for name, state in states.items()
        ]
        self._vms.set(version, {"version": version, "vms": vms})

    def close(self) -> None:
        """Stop both services."""
        self.config.stop()
        self.vm_list.stop()
