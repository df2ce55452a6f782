"""Client of the control listeners of nodes."""

from __future__ import annotations

import json
from concurrent.futures import ThreadPoolExecutor
from typing import Any

import urllib3
from attrs import frozen

from cottonlink.errors import CottonlinkError, Step
from cottonlink.observe import Event, events_from_json

CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 10.0
MAX_PARALLEL_NODES = 16


@frozen
class CollectedEvents:
    """Events of each node that answered, and the addresses of nodes without a valid answer."""

    logs: tuple[tuple[Event, ...], ...]
    missing_addresses: tuple[str, ...]


class ControlClient:
    """Queries control listeners; ``address`` is ``ip:port``.

    ``query`` and ``control_addresses`` raise ``CottonlinkError`` with code ``node_unreachable`` or
    ``answer_malformed``.
    """

    def __init__(self) -> None:
        timeout = urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S)
        self._http = urllib3.PoolManager(timeout=timeout, retries=False)

    def query(self, address: str, path: str, **parameters: str) -> Any:
        """Return the JSON answer of ``GET path``."""
        try:
            response = self._http.request("GET", f"http://{address}{path}", fields=parameters)
        except urllib3.exceptions.HTTPError as error:
            detail = f"no answer to GET {path}: {error}"
            raise CottonlinkError(
                "node_unreachable", detail, step=Step.CONNECT, peer=address
            ) from error
        if response.status != 200:
            detail = f"expected status 200 of GET {path}, got {response.status}"
            raise CottonlinkError("answer_malformed", detail, step=Step.FIRST_BYTE, peer=address)
        try:
            return json.loads(response.data)
        except ValueError as error:
            detail = f"the answer to GET {path} is not JSON"
            raise CottonlinkError(
                "answer_malformed", detail, step=Step.BODY, peer=address
            ) from error

    def control_addresses(self, address: str) -> tuple[str, ...]:
        """Return ``address`` and the control addresses of all peers that this node knows."""
        peers = self.query(address, "/v1/peers")
        try:
            known = {peer["control_address"] for peer in peers["peers"]}
        except (KeyError, TypeError) as error:
            detail = "the answer to GET /v1/peers lists no control addresses"
            raise CottonlinkError(
                "answer_malformed", detail, step=Step.BODY, peer=address
            ) from error
        return (address, *sorted(known - {address}))

    def collect_events(
        self, addresses: tuple[str, ...], *, request_id: str = "", service: str = ""
    ) -> CollectedEvents:
        """Return the events of the nodes at ``addresses``, which are queried in parallel."""

        def fetch_events(address: str) -> tuple[Event, ...] | None:
            try:
                data = self.query(address, "/v1/events", request_id=request_id, service=service)
                return events_from_json(data["events"], peer=address)
            except (CottonlinkError, KeyError, TypeError):
                return None

        with ThreadPoolExecutor(MAX_PARALLEL_NODES) as executor:
            logs = tuple(executor.map(fetch_events, addresses))
        missing = tuple(a for a, log in zip(addresses, logs, strict=True) if log is None)
        return CollectedEvents(tuple(log for log in logs if log is not None), missing)
