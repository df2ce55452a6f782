"""Targets that leave, whether the store, another node or a response of theirs tells of it."""

from __future__ import annotations

import asyncio
import unittest
from unittest import mock

import msgpack

from cottonlink.overload import (
    QuarantineReport,
    StorePosition,
    TargetStart,
    make_leaving_targets,
)
from cottonlink.overload._leaving_targets import LEAVING_TARGET_LIMIT
from cottonlink.path.peers._frame_reader import FrameReader
from cottonlink.path.peers._frames import QuarantineFrame, TargetsLeavingFrame, encode
from cottonlink.path.peers._peer_notices import PeerNotices
from emulator.http_stand_in import ReceivedRequest
from emulator.platform_target import (
    PlatformTarget,
    configuration,
    not_executed_response,
    route_resource,
)
from tests.platform_fixtures import FleetCase, Response, Vm

READS = route_resource("reads", "shop.example", "/reads/", "browse")
ADDED = route_resource("added", "shop.example", "/added/", "browse")
# The users' bound from the moment at which a target has said that it leaves.
DRAIN_S = 2.0
# Enough for each of a few upstreams to be chosen.
REQUEST_COUNT = 30


class HangingStore:
    """A store client whose connection went silent; its calls don't even fail."""

    async def read_all(self) -> None:
        await asyncio.Event().wait()

    async def watch(self, _position: StorePosition) -> None:
        await asyncio.Event().wait()


class StoreCase(FleetCase):
    """Four targets of one service in a data centre; two of their nodes watch the store."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for number in range(4):
            await self.add_vm("browse", f"i-{number}")
        await self.store.put("op/config", configuration(4, READS))
        await self.wait_until_version(4)
        await self.wait_until(lambda: len(self.watchers()) == 2)
        await self.wait_until(lambda: all(self.hears_watcher(vm) for vm in self.listeners()))

    def watchers(self) -> list[Vm]:
        """Return the VMs whose nodes are elected to watch."""
        return [vm for vm in self.vms if vm.follower._watcher_election.is_watcher]

    def listeners(self) -> list[Vm]:
        """Return the VMs whose nodes rely on the watchers."""
        return [vm for vm in self.vms if not vm.follower._watcher_election.is_watcher]

    def hears_watcher(self, vm: Vm) -> bool:
        """Return whether a node relies on a watcher now."""
        return not vm.follower._watcher_election.must_watch(vm.node.now_ms())

    def knows(self, vm: Vm, upstream_id: str) -> bool:
        """Return whether a node may still call an upstream."""
        upstreams = vm.node.state.load_balancer.upstreams()
        return any(u.upstream_id == upstream_id and not u.is_draining for u in upstreams)

    def silence_store(self, vm: Vm) -> None:
        """Let a node's connection to the store go silent."""
        vm.follower._store = HangingStore()
        if vm.follower._watch_call is not None:
            vm.follower._watch_call.cancel()


class TestChangesOfTheStore(StoreCase):
    """How soon nodes know what the store has acknowledged."""

    async def test_node_next_to_a_removed_target_is_told_of_the_removal(self) -> None:
        """A watcher sent changes to the nodes of the targets that were left after them.

        The node next to the removed target went on sending it requests until it had missed
        heartbeats and read the store, on a connection that could be silent.
        """
        leaving, _ = self.listeners()
        self.silence_store(leaving)
        await self.store.remove(f"servers/{leaving.target.upstream_id}")
        await asyncio.sleep(DRAIN_S)
        self.assertFalse(self.knows(leaving, leaving.target.upstream_id))
        for number in range(REQUEST_COUNT):
            response = await self.call(leaving, f"/reads/{number}", attempt=f"a{number}")
            self.assertEqual(response.status, 200)
        self.assertEqual(leaving.target.runs, [])

    async def test_listener_does_not_rely_on_watchers_that_hear_nothing(self) -> None:
        """Watchers sent heartbeats while their own watches hung, on silent connections."""
        listener, leaving = self.listeners()
        for vm in self.watchers():
            self.silence_store(vm)
        await self.store.remove(f"servers/{leaving.target.upstream_id}")
        await self.wait_until(lambda: not self.knows(listener, leaving.target.upstream_id))

    async def test_changes_read_after_a_gap_are_sent_on(self) -> None:
        """A watcher that had lost the history read the changes and told nobody of them.

        The other nodes noticed the gap with its next heartbeat and read the store themselves.
        """
        listener, leaving = self.listeners()
        calls = {vm.settings.node: vm.follower.call_count for vm in self.listeners()}
        self.store.hold_watches()
        await self.store.remove(f"servers/{leaving.target.upstream_id}")
        await self.store.put("op/config", configuration(5, READS, ADDED))
        await asyncio.sleep(0.3)
        self.store.forget_and_cut_watches()
        await self.wait_until(
            lambda: all(vm.node.state.configuration_version == 5 for vm in self.vms)
        )
        await self.wait_until(lambda: not self.knows(listener, leaving.target.upstream_id))
        for vm in self.listeners():
            self.assertEqual(vm.follower.call_count, calls[vm.settings.node])


class TestLateWrites(FleetCase):
    """Entries that the store applies in another order than their target wrote them."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.leaving = await self.add_vm("browse", "i-1")
        self.other = await self.add_vm("browse", "i-2")
        await self.store.put("op/config", configuration(4, READS))
        await self.wait_until_version(4)
        await self.write(state="draining", sequence=90)
        await self.wait_until(lambda: not self.is_used(self.leaving))

    async def write(self, **changes: object) -> None:
        """Let the store apply an entry of the leaving target, and wait until nodes have read it."""
        await self.store.put("servers/i-1", self.leaving.target.entry(**changes))
        await self.wait_for_nodes()

    async def wait_for_nodes(self) -> None:
        """Wait until both nodes have read all changes so far."""
        version = 1 + self.other.node.state.configuration_version
        await self.store.put("op/config", configuration(version, READS))
        await self.wait_until(
            lambda: all(vm.node.state.configuration_version == version for vm in self.vms)
        )

    def is_used(self, vm: Vm) -> bool:
        """Return whether a node may call the leaving target."""
        upstreams = vm.node.state.load_balancer.upstreams()
        return any(u.upstream_id == "i-1" and not u.is_draining for u in upstreams)

    def is_told_as_ready(self, vm: Vm) -> bool:
        """Return whether a node tells a peer that starts that the target is ready."""
        return any(
            key == "servers/i-1" and b'"ready"' in value
            for key, _, value in vm.follower.snapshot().items
        )

    async def test_ready_entry_that_was_written_late_does_not_end_the_drain(self) -> None:
        """A store that applies a write late put a leaving target back among those to use."""
        await self.write(state="ready", sequence=89)
        for vm in self.vms:
            self.assertFalse(self.is_used(vm))
            self.assertFalse(self.is_told_as_ready(vm))
        await self.write(state="ready", sequence=91)
        self.assertTrue(all(self.is_used(vm) for vm in self.vms))

    async def test_ready_entry_that_was_written_late_does_not_undo_the_removal(self) -> None:
        """The same write may be applied after the target's entry was removed."""
        await self.store.remove("servers/i-1")
        await self.write(state="ready", sequence=89)
        for vm in self.vms:
            self.assertFalse(self.is_used(vm))
            self.assertFalse(self.is_told_as_ready(vm))
        await self.write(state="ready", sequence=1, born=1_700_000_009_000)
        self.assertTrue(all(self.is_used(vm) for vm in self.vms))


async def refuse(
    target: PlatformTarget, request: ReceivedRequest, _writer: asyncio.StreamWriter
) -> bytes:
    """Refuse a request, as a target does whose queue is full."""
    return not_executed_response(request, 503, *target.state_headers())


class TestResponsesOfLeavingTargets(FleetCase):
    """A target that leaves says so in its responses; the store hears nothing of it."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.first = await self.add_vm("browse", "i-1")
        self.second = await self.add_vm("browse", "i-2")
        self.caller = await self.add_vm("booking", "i-3")
        await self.store.put("op/config", configuration(4, READS))
        await self.wait_until_version(4)

    async def send(self, vm: Vm, count: int = REQUEST_COUNT) -> list[Response]:
        """Send requests at a node, one after another."""
        return [await self.call(vm, f"/reads/{n}", attempt=f"a{n}") for n in range(count)]

    async def leave(self) -> None:
        """Let the first target leave, and let a response tell a node of it."""
        self.first.target.is_leaving = True
        while not self.first.target.runs:
            await self.send(self.caller, 1)
        self.first.target.runs.clear()

    async def assert_unused(self, *vms: Vm) -> None:
        """Check that requests at these nodes are served, and not by the first target."""
        for vm in vms:
            responses = await self.send(vm)
            self.assertEqual({response.status for response in responses}, {200})
        self.assertEqual(self.first.target.runs, [])

    async def test_target_that_said_it_leaves_gets_no_more_requests(self) -> None:
        """Nodes passed the response on and went on sending, as the store hadn't told them."""
        await self.leave()
        await self.assert_unused(self.caller, self.second, self.first)

    async def test_refusal_tells_that_a_target_leaves(self) -> None:
        """All responses of a leaving target say so, also those to requests that it doesn't run."""
        self.first.target.behaviour = refuse
        await self.leave()
        await self.assert_unused(self.caller, self.second, self.first)

    async def test_target_that_said_it_leaves_stays_unused_for_good(self) -> None:
        """Neither a later ready entry, nor an absence of the store or its return undoes it."""
        copy = self.store.take_copy()
        await self.leave()
        await self.store.put("servers/i-1", self.first.target.entry(slots=17))
        await self.store.put("op/config", configuration(5, READS))
        await self.wait_until_version(5)
        await self.assert_unused(self.caller, self.second, self.first)
        self.store.return_from_copy(copy)
        await self.store.put("op/config", configuration(6, READS))
        await self.wait_until_version(6)
        await self.assert_unused(self.caller, self.second, self.first)

    async def test_restarted_node_learns_which_targets_leave(self) -> None:
        """A node that starts knows nothing of the responses that its former process got."""
        await self.leave()
        for vm in (self.caller, self.first):
            node = (await self.restart_node(vm)).node
            await self.wait_until(lambda node=node: node.state.configuration_version == 4)
            await self.wait_until(lambda node=node: bool(node.state.leaving_targets.all()))
        await self.assert_unused(*self.vms)

    async def test_node_that_missed_the_notice_hears_of_it_again(self) -> None:
        """A notice can be lost on a connection that is silent or not open yet."""
        with mock.patch.object(PeerNotices, "send_to_all"):
            await self.leave()
        for vm in (self.second, self.caller):
            await self.wait_until(lambda vm=vm: bool(vm.node.state.leaving_targets.all()))

    async def test_next_incarnation_of_a_leaving_target_is_used(self) -> None:
        """The word of a target holds for one start of it, not for its id or its address."""
        await self.leave()
        self.first.target.is_leaving = False
        entry = self.first.target.entry(born=1_700_000_009_000)
        await self.store.put("servers/i-1", entry)
        for _ in range(REQUEST_COUNT):
            await self.send(self.caller, 1)
            if self.first.target.runs:
                break
            await asyncio.sleep(0.1)
        self.assertTrue(self.first.target.runs)


class TestNotices(unittest.TestCase):
    """What nodes tell each other of leaving targets, and keep of it."""

    targets = (TargetStart("i-1", 1_700_000_000_000), TargetStart("i-2", None))

    def test_notice_is_read_as_it_was_sent(self) -> None:
        """Starts under one id must stay apart on their way."""
        (frame,) = FrameReader().feed(encode(TargetsLeavingFrame(self.targets)))
        self.assertEqual(frame.targets, self.targets)

    def test_former_build_reads_an_empty_report(self) -> None:
        """The former build ends a connection at an unknown type code or with too few fields."""
        code, levels, ages_ms, crashes, cleared, *_ = msgpack.unpackb(
            encode(TargetsLeavingFrame(self.targets))
        )
        (report,) = FrameReader().feed(msgpack.packb((code, levels, ages_ms, crashes, cleared)))
        self.assertEqual(report, QuarantineFrame(QuarantineReport()))

    def test_number_of_remembered_targets_is_limited(self) -> None:
        """A fleet whose targets come and go for years must not fill the memory of a node."""
        known = make_leaving_targets()
        targets = [TargetStart(f"i-{n}", n) for n in range(LEAVING_TARGET_LIMIT + 5)]
        self.assertEqual(known.learn(targets, 0.0), targets)
        self.assertEqual(known.learn(targets[-5:], 1.0), [])
        self.assertEqual(known.all(), tuple(targets[5:]))


del FleetCase, StoreCase


if __name__ == "__main__":
    unittest.main()
