"""What nodes know after the store has returned from a copy that lacks its latest changes."""

from __future__ import annotations

import asyncio
from unittest import mock

from cottonlink.errors import CottonlinkError, Step
from cottonlink.path import EraChangedError, Upstream
from cottonlink.path._http import parse_address
from cottonlink.platform._store_client import StoreClient
from emulator.platform_store import StoreCopy
from emulator.platform_target import configuration, route_resource
from soak.proxy import FaultyProxy
from tests.platform_fixtures import FleetCase, Vm

READS = route_resource("reads", "shop.example", "/reads/", "browse")
OFFERS = route_resource("offers", "shop.example", "/offers/", "browse")

CLIENT = "cottonlink.platform._store_client"
DIRECTORY = "cottonlink.overload._upstream_directory"
# Longer than any test runs, for periods that must not end while it checks.
LONG_MS = 600_000.0


class ReturnCase(FleetCase):
    """Two targets of one service; both nodes watch the store."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.first = await self.add_vm("browse", "i-1")
        self.second = await self.add_vm("browse", "i-2")
        await self.store.put("op/config", configuration(4, READS))
        await self.wait_until_version(4)

    async def write_unrelated(self, count: int) -> None:
        """Let the store give out ``count`` revisions for changes that no node needs."""
        for number in range(count):
            await self.store.put("servers/unreadable", b"%d" % number)

    async def return_from_copy(self, copy: StoreCopy) -> None:
        """Return the store from ``copy`` and wait until both nodes follow it again."""
        self.store.return_from_copy(copy)
        version = 1 + max(vm.node.state.configuration_version for vm in self.vms)
        await self.store.put("op/config", configuration(version, READS))
        await self.wait_until(
            lambda: all(vm.node.state.configuration_version == version for vm in self.vms)
        )

    def upstream_ids(self, vm: Vm) -> set[str]:
        """Return the ids of the upstreams that a node may call."""
        return {
            upstream.upstream_id
            for upstream in vm.node.state.load_balancer.upstreams()
            if not upstream.is_draining
        }

    async def wait_until_upstreams(self, *upstream_ids: str) -> None:
        """Wait until all nodes may call these upstreams and no others."""
        await self.wait_until(
            lambda: all(self.upstream_ids(vm) == set(upstream_ids) for vm in self.vms)
        )


class TestConfigurationAfterReturn(ReturnCase):
    """The operator's configuration."""

    async def test_node_that_only_hears_peers_gets_a_new_route(self) -> None:
        """A listening node took changes of the new history for old ones of the former history.

        It heard them as heartbeats, so that it didn't ask the store either.
        """
        for number in range(3, 7):
            await self.add_vm("browse", f"i-{number}")
        await self.wait_until_version(4)
        copy = self.store.take_copy()
        await self.write_unrelated(10)
        await self.store.put("op/config", configuration(5, READS))
        await self.wait_until_version(5)
        self.store.return_from_copy(copy)
        await self.store.put("op/config", configuration(5, READS))
        await self.store.put("op/config", configuration(6, READS, OFFERS))
        await self.wait_until_version(6)
        for vm in self.vms:
            self.assertEqual((await self.call(vm, "/offers/1")).status, 200)

    async def test_change_below_the_known_revision_is_not_missed(self) -> None:
        """Revisions that pass a node's own before it watches again must not hide earlier changes.

        The store answers its watch then as if nothing had happened.
        """
        copy = self.store.take_copy()
        await self.write_unrelated(5)
        await self.store.put("op/config", configuration(5, READS))
        await self.wait_until_version(5)
        self.store.return_from_copy(copy)
        # Nothing is awaited that would let a node watch in between.
        await self.store.put("op/config", configuration(6, READS, OFFERS))
        await self.write_unrelated(9)
        await self.wait_until_version(6)

    async def test_older_configuration_of_the_copy_is_not_handed_on(self) -> None:
        """A node that starts during an outage must get the newest version that its peer knows.

        What the store still has of an older version must not undo it.
        """
        copy = self.store.take_copy()
        await self.store.put("op/config", configuration(5, READS, OFFERS))
        await self.wait_until_version(5)
        self.store.return_from_copy(copy)
        await self.store.put("servers/i-2", self.second.target.entry(slots=3))
        await self.wait_until(
            lambda: all(vm.node.state.load_balancer.upstream("i-2").slots == 3 for vm in self.vms)
        )
        self.store.fault = "silent"
        await self.call(self.first, "/reads/1")
        await self.call(self.second, "/reads/2")
        restarted = await self.restart_node(self.first)
        await self.wait_until(lambda: restarted.node.state.configuration is not None)
        self.assertEqual(restarted.node.state.configuration_version, 5)
        self.store.fault = None
        await self.store.put("servers/i-2", self.second.target.entry(slots=4))
        await self.wait_until(lambda: restarted.node.state.load_balancer.upstream("i-2").slots == 4)
        self.assertEqual((await self.call(restarted, "/offers/1")).status, 200)

    async def test_node_that_the_store_refuses_follows_its_peers(self) -> None:
        """A node that can't read a new era itself must learn of changes from its peers.

        The store may refuse some nodes while it serves the others.
        """
        await self.add_vm("browse", "i-3")
        await self.add_vm("browse", "i-4")
        await self.wait_until_version(4)
        refused, *others = sorted(self.vms, key=lambda vm: vm.follower._watcher_election.is_watcher)
        copy = self.store.take_copy()
        await self.write_unrelated(5)
        await self.wait_until(lambda: len({vm.follower._position for vm in self.vms}) == 1)

        async def refuse(*_args: object) -> None:
            raise CottonlinkError("store_refused", "busy", step=Step.POLICY_READ)

        with mock.patch.object(refused.follower._store, "_get", refuse):
            self.store.return_from_copy(copy)
            await self.store.put("op/config", configuration(5, READS, OFFERS))
            draining = others[0].target
            await self.store.put(
                f"servers/{draining.upstream_id}", draining.entry(state="draining")
            )
            await self.wait_until(lambda: refused.node.state.configuration_version == 5)
            await self.wait_until(lambda: draining.upstream_id not in self.upstream_ids(refused))
            self.assertEqual((await self.call(refused, "/offers/1")).status, 200)
            await self.store.put("op/config", configuration(6, READS, OFFERS))
            await self.wait_until(lambda: refused.node.state.configuration_version == 6)
        self.assertEqual(refused.follower._position.era, 2)

    async def test_node_that_starts_takes_what_the_copy_has(self) -> None:
        """A node without any knowledge must serve with the copy, and later with what follows."""
        copy = self.store.take_copy()
        await self.store.put("op/config", configuration(5, READS, OFFERS))
        await self.wait_until_version(5)
        for vm in self.vms:
            vm.node.close()
            for task in vm.tasks:
                task.cancel()
        self.store.return_from_copy(copy)
        restarted = await self.restart_node(self.first)
        await self.wait_until(lambda: restarted.node.state.configuration_version == 4)
        await self.store.put("op/config", configuration(5, READS, OFFERS))
        await self.wait_until(lambda: restarted.node.state.configuration_version == 5)


class TestUpstreamsAfterReturn(ReturnCase):
    """Targets that registered, drained or left after the copy was made."""

    async def test_draining_upstream_gets_no_requests(self) -> None:
        """An upstream that is leaving must not become ready again through the copy."""
        copy = self.store.take_copy()
        leaving = self.first.target.entry(state="draining")
        await self.store.put("servers/i-1", leaving)
        await self.wait_until_upstreams("i-2")
        await self.return_from_copy(copy)
        for vm in self.vms:
            self.assertEqual(self.upstream_ids(vm), {"i-2"})
            for number in range(4):
                await self.call(vm, f"/reads/{number}", attempt=f"a{number}")
        self.assertEqual(self.first.target.runs, [])

    async def test_removed_upstream_gets_no_requests_until_it_writes_again(self) -> None:
        """An upstream that has left must not come back through the copy, but a live one must."""
        copy = self.store.take_copy()
        await self.store.remove("servers/i-1")
        await self.wait_until_upstreams("i-2")
        with mock.patch(f"{DIRECTORY}.UNWRITTEN_ENTRY_LIFE_MS", LONG_MS):
            await self.return_from_copy(copy)
            for vm in self.vms:
                self.assertEqual(self.upstream_ids(vm), {"i-2"})
        await self.store.put("servers/i-1", self.first.target.entry())
        await self.wait_until_upstreams("i-1", "i-2")

    async def test_upstream_that_the_copy_lacks_is_kept_until_it_can_register(self) -> None:
        """Nodes must not drop all targets that registered after the copy was made."""
        copy = self.store.take_copy()
        third = await self.add_vm("browse", "i-3")
        await self.wait_until_version(4)
        with mock.patch(f"{DIRECTORY}.STORE_RETURN_GRACE_MS", LONG_MS):
            await self.return_from_copy(copy)
            for vm in self.vms:
                self.assertEqual(self.upstream_ids(vm), {"i-1", "i-2", "i-3"})
        await self.store.put("servers/i-3", third.target.entry())
        await self.store.remove("servers/i-2")
        await self.wait_until_upstreams("i-1", "i-3")


class TestReadAcrossReturn(ReturnCase):
    """Calls of the store's client around a return, and answers whose era can't be read."""

    def make_client(self) -> StoreClient:
        """Return a client of the emulated store."""
        client = StoreClient(parse_address(self.store.address), asyncio.get_running_loop())
        self.addCleanup(client.close)
        return client

    async def test_connection_that_went_silent_while_idle_is_not_used(self) -> None:
        """A node that stopped hearing watchers lost 1.2 s with a read on such a connection."""
        proxy = FaultyProxy(parse_address(self.store.address))
        port = await proxy.start("127.0.0.1", 0)
        self.addCleanup(proxy.stop)
        client = StoreClient(("127.0.0.1", port), asyncio.get_running_loop())
        self.addCleanup(client.close)
        await client.read_all()
        proxy.silence()
        with mock.patch(f"{CLIENT}.MAX_IDLE_S", 0.0):
            listing = await client.read_all()
        self.assertTrue(listing.items)

    async def test_pages_of_two_eras_are_not_mixed(self) -> None:
        """A listing must not hold entries that the store lost while it was being read."""
        copy = self.store.take_copy()
        for number in range(4):
            await self.store.put(f"servers/a-{number}", self.first.target.entry())
        client = self.make_client()
        read_page = self.store._get_range

        def return_before_second_page(prefix: str, after: str, source: StoreCopy) -> bytes:
            if after and self.store._revision > copy.revision:
                self.store.return_from_copy(copy)
                source = self.store.take_copy()
            return read_page(prefix, after, source)

        with mock.patch.object(self.store, "_get_range", return_before_second_page):
            try:
                listing = await client.read_all()
            except CottonlinkError:
                listing = await client.read_all()
        keys = {item.key for item in listing.items}
        self.assertEqual(keys, {"op/config", "servers/i-1", "servers/i-2"})

    async def test_restarted_node_uses_nothing_that_an_old_read_still_holds(self) -> None:
        """A target that had left, and a former configuration, were in use after a restart."""
        old = self.store.take_copy()
        await self.store.remove("servers/i-2")
        await self.store.put("op/config", configuration(9, READS))
        self.store.stale_copy = old
        restarted = await self.restart_node(self.first)
        used: list[set[str]] = []
        apply_upstreams = restarted.node.apply_upstreams

        def record(upstreams: list[Upstream]) -> None:
            used.append({upstream.upstream_id for upstream in upstreams})
            apply_upstreams(upstreams)

        with mock.patch.object(restarted.node, "apply_upstreams", record):
            await self.wait_until(lambda: restarted.node.state.configuration_version is not None)
        self.assertEqual(restarted.node.state.configuration_version, 9)
        self.assertTrue(all("i-2" not in ids for ids in used))

    async def test_watch_answered_from_another_era_returns_no_changes(self) -> None:
        """Changes of another era don't continue what a node knows, whatever their revisions are."""
        client = self.make_client()
        position = (await client.read_all()).position
        self.store.return_from_copy(self.store.take_copy())
        await self.write_unrelated(3)
        with self.assertRaises(EraChangedError):
            await client.watch(position)

    async def test_call_after_a_cancelled_watch_gets_its_own_answer(self) -> None:
        """A late answer to a watch that was given up must not be taken for a listing."""
        client = self.make_client()
        position = (await client.read_all()).position
        watch = asyncio.create_task(client.watch(position))
        await self.wait_until(lambda: "kv-watch" in self.store.request_targets[-1])
        watch.cancel()
        await asyncio.wait((watch,))
        await self.write_unrelated(1)
        self.assertEqual(len((await client.read_all()).items), 4)

    async def test_malformed_era_is_an_invalid_answer(self) -> None:
        """A node must not order changes by an era that it can't read, or fail on one."""
        client = self.make_client()
        for era in ("", "x", "-1", "1.5", "9" * 30):
            with self.subTest(era=era), mock.patch.object(self.store, "_era", era):
                with self.assertRaises(CottonlinkError) as caught:
                    await client.read_all()
                self.assertEqual(caught.exception.code, "store_answer_invalid")


del ReturnCase, FleetCase
