"""What clients make a node hold: metrics, log lines and the sweeps of its account."""

from __future__ import annotations

from collections.abc import Iterable
from typing import TYPE_CHECKING

from cottonlink.overload import CONNECTION_BYTES, ConnectionCharge, make_connection_account
from cottonlink.path._allocator import release_free_memory
from cottonlink.path._sockets import client_connection_limit
from cottonlink.path._state import NodeState

if TYPE_CHECKING:
    from cottonlink.path.callers._caller_connection import CallerConnection

# Sweeps without a closed connection after which the pressure is over.
QUIET_SWEEPS = 2


class ClientMemory:
    """Watches the connections of clients on all listeners of a node."""

    def __init__(self, state: NodeState) -> None:
        self._state = state
        self.account = make_connection_account(
            state.memory, client_connection_limit(), state.now_ms, self._on_closed
        )
        state.memory.connections_bytes = lambda: self.account.held_bytes
        self._closed_count = self._refused_count = 0
        self._closed_bytes = 0
        # Closed connections after which free memory was last returned to the system.
        self._released_count = 0
        self._quiet_sweeps = 0
        self._is_under_pressure = False

    def sweep(self, connections: Iterable[CallerConnection]) -> None:
        """Charge all connections with what they hold, and report it."""
        self.account.sweep()
        metrics, account = self._state.metrics, self.account
        totals = [0, 0, 0]
        for connection in connections:
            for index, held_bytes in enumerate(connection.held_by_kind()):
                totals[index] += held_bytes
        count = account.connection_count
        kinds = ("client_input", "client_requests", "client_responses")
        for kind, held_bytes in zip(kinds, totals, strict=True):
            metrics.set_gauge(f"held_{kind}_bytes", held_bytes)
        metrics.set_gauge("held_client_connections_bytes", CONNECTION_BYTES * count)
        metrics.set_gauge("held_clients_bytes", account.held_bytes)
        metrics.set_gauge("held_clients_limit_bytes", round(account.limit_bytes))
        metrics.set_gauge("client_connections", count)
        metrics.set_gauge("client_connections_limit", account.connection_limit)
        self._report_pressure()

    def reclaim_bodies(self) -> None:
        """Give the room of stalled long bodies to those that wait."""
        self.account.reclaim_bodies()
        if self._closed_count != self._released_count:
            self._released_count = self._closed_count
            release_free_memory()

    def _on_closed(self, charge: ConnectionCharge | None, reason: str, held_bytes: int) -> None:
        state = self._state
        if charge is None:
            state.metrics.count("clients_refused", reason)
            self._refused_count += 1
        else:
            state.metrics.count("clients_closed", reason)
            self._closed_count += 1
            self._closed_bytes += held_bytes
            state.log.event(
                "client_closed",
                reason=reason,
                address=charge.address,
                held_bytes=held_bytes,
                stalled_ms=round(state.now_ms() - charge.progressed_ms),
            )
        self._quiet_sweeps = 0
        if not self._is_under_pressure:
            self._is_under_pressure = True
            self._report("clients_pressure_began")

    def _report_pressure(self) -> None:
        if not self._is_under_pressure:
            return
        self._quiet_sweeps += 1
        if self._quiet_sweeps > QUIET_SWEEPS:
            self._is_under_pressure = False
            self._report("clients_pressure_ended")
            self._closed_count = self._released_count = self._refused_count = self._closed_bytes = 0

    def _report(self, event: str) -> None:
        account = self.account
        address, address_bytes = account.heaviest_address()
        self._state.log.event(
            event,
            held_bytes=account.held_bytes,
            limit_bytes=round(account.limit_bytes),
            connections=account.connection_count,
            connections_limit=account.connection_limit,
            addresses=account.address_count,
            heaviest_address=address,
            heaviest_bytes=address_bytes,
            closed=self._closed_count,
            closed_bytes=self._closed_bytes,
            refused=self._refused_count,
        )
