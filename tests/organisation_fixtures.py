"""Fixtures: a small fleet whose callers have API keys."""

from __future__ import annotations

from emulator.platform_target import configuration, organisation_resource, route_resource
from tests.platform_fixtures import FleetCase

OPEN = {"auth_exempt": True}
READS = route_resource("reads", "shop.example", "/reads/", "browse")
LOOKUPS = route_resource("lookups", "shop.example", "/lookups/", "stock", **OPEN)
ACME = organisation_resource("acme", "acme-key-1", "acme-key-2", priority=0)
BETA = organisation_resource("beta", "beta-key-1")
REVOCATION_MS = 5_000.0


def authorization(key: str) -> str:
    """Return the header line that carries an API key."""
    return f"Authorization: Token {key}"


class OrganisationCase(FleetCase):
    """Two VMs of one service and one of another, with keys."""

    organisations = (ACME, BETA)
    revocation_s = REVOCATION_MS / 1000.0

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.first = await self.add_vm("browse", "i-1")
        self.second = await self.add_vm("browse", "i-2")
        self.other = await self.add_vm("stock", "i-3")
        await self.publish(1, *self.organisations)

    def node_settings(self) -> dict:
        return {"revocation_s": self.revocation_s}

    async def publish(self, version: int, *organisations: dict) -> None:
        """Write a configuration, and wait until all nodes have applied it."""
        data = configuration(version, READS, LOOKUPS)
        data["resources"] += organisations
        await self.store.put("op/config", data)
        await self.wait_until_version(version)
        await self.wait_until(lambda: all(vm.node.state.is_currency_proven() for vm in self.vms))
