"""Steps of a node that follows the store, with a store that records how it is asked."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

from attrs import define

from cottonlink.errors import CottonlinkError, Step
from cottonlink.overload._upstream_directory import STORE_RETURN_GRACE_MS
from cottonlink.overload._watcher_election import HEARTBEAT_TIMEOUT_MS
from cottonlink.path import (
    EraChangedError,
    HistoryLostError,
    Listing,
    StoreFollower,
    StoreItem,
    StorePosition,
    Upstream,
)
from cottonlink.path.peers._frames import StoreChangesFrame, StoreSnapshotFrame
from cottonlink.path.store._store_follower import (
    LISTENER_CHECK_INTERVAL_S,
    MAINTENANCE_INTERVAL_S,
    MAX_RETRY_DELAY_S,
    MIN_RETRY_DELAY_S,
)
from cottonlink.platform._store_client import READ_TIMEOUT_S, WATCH_MARGIN_S, WATCH_WAIT_MS

# A node whose connections were disturbed is in touch again after this time.
CONTACT_S = 3.0
# A change that the store has acknowledged is in force after this time.
CONFIG_APPLY_S = 2.0
# A target that has left gets no more requests after this time.
DRAIN_S = 2.0


@define
class Clock:
    """Stands in for the event loop, of which a follower uses only the time."""

    now_s: float = 1_000.0

    def time(self) -> float:
        return self.now_s


class RecordingStore:
    """Answers with nothing new, or fails while ``is_reachable`` is not set.

    Reads that may be old return ``stale_items``, and ``changes`` are what came since.

    A watch that begins while ``is_hanging`` is set is never answered, and a read that begins while
    ``is_between_eras`` is set gets answers of two eras.
    """

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.is_reachable = True
        self.is_hanging = False
        self.is_between_eras = False
        self.position = StorePosition(1, 1)
        self.items: tuple[StoreItem, ...] = ()
        self.stale_items: tuple[StoreItem, ...] = ()
        self.changes: tuple[StoreItem, ...] = ()
        self.watch_items: tuple[StoreItem, ...] = ()
        self.has_lost_history = False

    async def read_all(self, *, may_be_stale: bool = False) -> Listing:
        if may_be_stale:
            return self._answer("stale read", self.stale_items)
        if self.is_between_eras:
            self.calls.append("read")
            await asyncio.sleep(0)
            raise EraChangedError("store_era_changed", "two eras", step=Step.POLICY_READ)
        return self._answer("read", self.items)

    async def read_changes(self, position: StorePosition) -> Listing:
        if self.has_lost_history:
            self.calls.append("changes")
            raise HistoryLostError("store_history_lost", "gone", step=Step.POLICY_READ)
        return self._answer("changes", self.changes)

    async def watch(self, position: StorePosition) -> Listing:
        if self.is_hanging:
            self.calls.append("watch")
            await asyncio.Event().wait()
        if self.is_reachable and position.era != self.position.era:
            self.calls.append("watch")
            raise EraChangedError("store_era_changed", "another era", step=Step.POLICY_READ)
        return self._answer("watch", self.watch_items)

    def is_configuration(self, key: str) -> bool:
        return key == "configuration"

    def is_upstream(self, key: str) -> bool:
        return key == "upstream"

    def decode_upstream(self, item: StoreItem) -> Upstream:
        return Upstream("one", "reads", ("127.0.0.9", 80), "hall-a", 1, False, 0.0, None)

    def decode_configuration(self, item: StoreItem) -> mock.Mock:
        if not item.value.isdigit():
            raise CottonlinkError("record_invalid", "no number", step=Step.POLICY_READ)
        return mock.Mock(version=int(item.value))

    def _answer(self, call: str, items: tuple[StoreItem, ...]) -> Listing:
        self.calls.append(call)
        if not self.is_reachable:
            raise CottonlinkError("store_unreachable", "silent", step=Step.POLICY_READ)
        return Listing(items, self.position)


class FollowerCase(unittest.IsolatedAsyncioTestCase):
    """A node that is no watcher and has read the store once."""

    async def asyncSetUp(self) -> None:
        self.clock = Clock()
        self.store = RecordingStore()
        self.node = mock.Mock()
        self.log = mock.Mock()
        self.follower = self.make_follower()
        await self.follower._step()
        self.store.calls.clear()

    def make_follower(self) -> StoreFollower:
        """Return a follower that isn't elected to watch."""
        follower = StoreFollower(
            self.store,
            self.node,
            "127.0.0.3",
            "hall-a",
            self.log,
            random.Random(1),
            self.clock,
        )
        follower._watcher_election.set_members(("127.0.0.1", "127.0.0.2", "127.0.0.3"))
        self.assertFalse(follower._watcher_election.is_watcher)
        return follower

    def hears_watcher(self) -> bool:
        """Return whether the node relies on a watcher's heartbeats."""
        return not self.follower._watcher_election.must_watch(self.clock.now_s * 1000.0)

    def applied_versions(self) -> list[int]:
        """Return the versions of the configurations handed to the node."""
        return [call.args[0].version for call in self.node.apply_configuration.call_args_list]

    def logged_events(self, name: str) -> list[dict]:
        """Return the fields of the logged lines of an event."""
        calls = self.log.event.call_args_list
        return [call.kwargs for call in calls if call.args[0] == name]


class TestReturnOfTheStore(FollowerCase):
    """How soon a node learns what was published while it couldn't reach the store."""

    async def test_node_that_lost_the_store_reads_before_it_watches(self) -> None:
        """A watch on a connection from an outage is given up only after seconds.

        A node that hears of a watcher meanwhile must not take the store for regained.
        """
        await self.lose_store()
        self.follower.apply_changes(StoreChangesFrame(1, 1, (), era=1))
        self.assertTrue(self.hears_watcher())
        await self.follower._step()
        self.clock.now_s += 10.0
        self.store.is_reachable = True
        self.store.calls.clear()
        await self.follower._step()
        self.assertEqual(self.store.calls, ["read"])

    async def test_node_that_stops_hearing_watchers_reads_before_it_watches(self) -> None:
        """All connections of a node may go silent at once, to its peers and to the store.

        A watch on such a connection is given up later than a read, and the node had an old
        configuration for too long.
        """
        self.follower.apply_changes(StoreChangesFrame(1, 1, (), era=1))
        with mock.patch("cottonlink.path.store._store_follower.LISTENER_CHECK_INTERVAL_S", 0.0):
            await self.follower._step()
        self.assertEqual(self.store.calls, [])
        self.clock.now_s += 10.0
        for _ in range(2):
            await self.follower._step()
        self.assertEqual(self.store.calls, ["read", "watch"])

    def test_silent_connections_are_replaced_within_the_time_to_be_in_touch(self) -> None:
        """Time-outs that add up to more than 3 s leave a configuration unknown for too long."""
        watching_s = WATCH_WAIT_MS / 1000.0 + WATCH_MARGIN_S
        listening_s = HEARTBEAT_TIMEOUT_MS / 1000.0 + LISTENER_CHECK_INTERVAL_S + READ_TIMEOUT_S
        for noticed_s in (watching_s, listening_s):
            self.assertLess(noticed_s + MIN_RETRY_DELAY_S, CONTACT_S)

    def test_silence_of_all_watchers_is_noticed_within_the_time_to_apply_a_change(self) -> None:
        """A node that relied on watchers for longer sent requests to a target that had left.

        A store that is slow answers a call within about 0.4 s; its watchers count as heard.
        """
        slow_answer_s = 0.4
        answer_interval_s = WATCH_WAIT_MS / 1000.0 + slow_answer_s
        self.assertLess(answer_interval_s, HEARTBEAT_TIMEOUT_MS / 1000.0)
        noticed_s = HEARTBEAT_TIMEOUT_MS / 1000.0 + LISTENER_CHECK_INTERVAL_S
        self.assertLess(noticed_s + slow_answer_s, CONFIG_APPLY_S)

    def test_removal_after_an_outage_takes_effect_within_the_time_to_drain(self) -> None:
        """A node that came back late to the store deferred removals for too long.

        A target may leave as soon as nodes are in touch again. A call that is under way when the
        store returns may still fail, and the delay before the next one is the longest by then.
        """
        slow_read_s = 0.4
        back_s = READ_TIMEOUT_S + MAX_RETRY_DELAY_S + slow_read_s
        deferred_s = STORE_RETURN_GRACE_MS / 1000.0 + MAINTENANCE_INTERVAL_S
        self.assertLess(back_s + deferred_s, CONTACT_S + DRAIN_S)

    async def test_removal_takes_effect_after_the_grace_period_on_a_listening_node(self) -> None:
        """A node that lost the store and then only listens kept upstreams that had left.

        The grace period of the returned store begins with a watcher's heartbeat.
        """
        self.store.items = (StoreItem("upstream", StorePosition(1, 1), b"{}"),)
        self.follower._must_read = True
        await self.follower._step()
        await self.lose_store()
        self.follower.apply_changes(StoreChangesFrame(1, 1, (), era=1))
        self.node.apply_upstreams.reset_mock()
        self.clock.now_s += 3.0
        self.follower.apply_changes(StoreChangesFrame(1, 2, (("upstream", 2, None),), era=1))
        self.node.apply_upstreams.assert_called_once_with([])

    async def test_removal_takes_effect_on_a_node_whose_own_call_fails_late(self) -> None:
        """A call that began in an outage fails seconds after it, while watchers reach the store.

        The node took that for another outage and deferred the removal of a target that had left.
        """
        self.store.items = (StoreItem("upstream", StorePosition(1, 1), b"{}"),)
        self.follower._must_read = True
        await self.follower._step()
        self.clock.now_s += 10.0
        self.follower.apply_changes(StoreChangesFrame(1, 1, (), era=1))
        self.follower._must_read = True
        await self.lose_store()
        self.node.apply_upstreams.reset_mock()
        self.follower.apply_changes(StoreChangesFrame(1, 2, (("upstream", 2, None),), era=1))
        self.node.apply_upstreams.assert_called_once_with([])

    async def test_entry_that_expired_in_an_outage_is_kept_on_a_listening_node(self) -> None:
        """A watcher's first changes after an outage must not drop upstreams that are alive."""
        self.store.items = (StoreItem("upstream", StorePosition(1, 1), b"{}"),)
        self.follower._must_read = True
        await self.follower._step()
        await self.lose_store()
        self.node.apply_upstreams.reset_mock()
        self.follower.apply_changes(StoreChangesFrame(1, 2, (("upstream", 2, None),), era=1))
        self.node.apply_upstreams.assert_not_called()

    async def test_node_that_is_cut_off_alone_learns_of_removals(self) -> None:
        """A node that must read and can't deferred removals with each failed read (DRAIN)."""
        self.store.items = (StoreItem("upstream", StorePosition(1, 1), b"{}"),)
        self.follower._must_read = True
        await self.follower._step()
        self.node.apply_upstreams.reset_mock()
        removal = StoreChangesFrame(1, 2, (("upstream", 2, None),), era=1)
        for frame in (StoreChangesFrame(1, 1, (), era=1), *[removal] * 20):
            self.follower._must_read = True
            await self.lose_store()
            self.clock.now_s += 0.4
            self.follower.apply_changes(frame)
            self.follower._contents.maintain(self.clock.now_s * 1000.0)
        self.node.apply_upstreams.assert_called_once_with([])
        self.assertEqual(len(self.logged_events("store_regained")), 1)

    async def test_gap_that_cannot_be_read_is_logged_once(self) -> None:
        """A node that is cut off must not log each heartbeat of its peers."""
        for _ in range(20):
            self.follower.apply_changes(StoreChangesFrame(5, 5, (), era=1))
        self.assertEqual(len(self.logged_events("store_changes_missed")), 1)

    async def lose_store(self) -> None:
        """Let a call of the node fail."""
        self.store.is_reachable = False
        with self.assertRaises(CottonlinkError) as caught:
            await self.follower._step()
        self.follower._on_store_lost(caught.exception)


class TestUnexpectedErrors(FollowerCase):
    """Faults of the node's own code."""

    async def test_follower_goes_on_after_an_unexpected_error(self) -> None:
        """A node whose task had ended kept its configuration and its upstreams for ever."""
        self.follower._retry_delay_s = 0.0
        with mock.patch.object(self.follower._contents, "replace", side_effect=KeyError("x")):
            self.follower._must_read = True
            running = asyncio.create_task(self.follower.run())
            await asyncio.sleep(0.02)
        self.store.items = (StoreItem("configuration", StorePosition(1, 9), b"6"),)
        for _ in range(100):
            await asyncio.sleep(0.01)
            if self.applied_versions() == [6]:
                break
        running.cancel()
        self.assertEqual(self.applied_versions(), [6])
        self.assertEqual(self.logged_events("store_follower_failed")[0]["part"], "step")


class TestFirstRead(FollowerCase):
    """How a node that starts learns what the store holds, and what that costs the store."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.node.reset_mock()
        self.follower = self.make_follower()
        self.store.stale_items = (
            StoreItem("configuration", StorePosition(1, 1), b"4"),
            StoreItem("upstream", StorePosition(1, 1), b"{}"),
        )

    async def test_old_listing_is_brought_up_to_date_before_it_is_used(self) -> None:
        """A restarted node used a target that had left, and an old configuration.

        A read that may be seconds old costs the store a tenth, and hundreds of nodes start at once.
        """
        self.store.changes = (
            StoreItem("upstream", StorePosition(1, 2), None),
            StoreItem("configuration", StorePosition(1, 3), b"5"),
        )
        await self.follower._step()
        self.assertEqual(self.store.calls, ["stale read", "changes"])
        self.assertEqual(self.applied_versions(), [5])
        used = [call.args[0] for call in self.node.apply_upstreams.call_args_list]
        self.assertEqual([upstreams for upstreams in used if upstreams], [])

    async def test_latest_is_read_if_the_changes_since_are_gone(self) -> None:
        """A node must not stay without a listing, or use the old one, if history was dropped."""
        self.store.has_lost_history = True
        self.store.items = (StoreItem("configuration", StorePosition(1, 9), b"6"),)
        with mock.patch("cottonlink.path.store._store_follower.MIN_RETRY_DELAY_S", 0.0):
            self.follower._retry_delay_s = 0.0
            running = asyncio.create_task(self.follower.run())
            for _ in range(20):
                await asyncio.sleep(0)
            running.cancel()
        self.assertEqual(self.store.calls[:3], ["stale read", "changes", "read"])
        self.assertEqual(self.applied_versions(), [6])

    async def test_nodes_of_a_starting_fleet_watch_rarely(self) -> None:
        """Each target that registered woke the watches of all nodes, 13 times each with 212 nodes.

        Elected watchers go on, as the others rely on them.
        """
        self.store.stale_items = ()
        self.store.watch_items = (StoreItem("upstream", StorePosition(1, 2), b"{}"),)
        for is_elected, delays_s in ((False, [1.5, 1.5]), (True, [1.5, 0.3])):
            with self.subTest(is_elected=is_elected):
                self.follower = self.make_follower()
                self.follower._watcher_election.is_watcher = is_elected
                with mock.patch.object(self.follower._watcher_election, "set_members"):
                    self.assertEqual(await self._delays_s(steps=2), delays_s)

    async def test_node_that_starts_later_follows_changes_at_once(self) -> None:
        """A node that is started again must not wait as if the fleet started."""
        self.store.watch_items = (StoreItem("upstream", StorePosition(1, 2), b"{}"),)
        self.assertEqual(await self._delays_s(steps=2), [0.3])

    async def _delays_s(self, steps: int) -> list[float]:
        """Return the delays within some steps of the follower."""
        delays_s = []

        async def sleep(delay_s: float) -> None:
            delays_s.append(round(delay_s, 2))
            self.clock.now_s += delay_s

        with mock.patch("cottonlink.path.store._store_follower.asyncio.sleep", sleep):
            for _ in range(steps):
                await self.follower._step()
        return delays_s


class TestBatches(FollowerCase):
    """How often a watching node asks the store while changes come one after the other."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.follower._watcher_election.is_watcher = True
        self.changes = (StoreItem("configuration", StorePosition(1, 2), b"2"),)

    async def delay_after(self, answered_in_s: float) -> float:
        """Return the delay after a watch that was answered with changes after this time."""

        async def watch(_position: StorePosition) -> Listing:
            self.clock.now_s += answered_in_s
            return Listing(self.changes, StorePosition(1, 2))

        delays_s = []

        async def sleep(delay_s: float) -> None:
            delays_s.append(delay_s)

        self.store.watch = watch
        with mock.patch("cottonlink.path.store._store_follower.asyncio.sleep", sleep):
            await self.follower._step()
        return delays_s[0]

    async def test_continuous_changes_are_read_together(self) -> None:
        """Ten watchers read each of a hundred changes a second by itself.

        The delay is bounded, since a change must be in force within two seconds, and short again
        after a pause.
        """
        busy = [await self.delay_after(0.004) for _ in range(5)]
        self.assertEqual(busy, [0.3, 0.5, 0.5, 0.5, 0.5])
        self.assertEqual(await self.delay_after(0.4), 0.15)
        slow_answer_s = 0.4
        self.assertLess(busy[-1] + slow_answer_s, CONFIG_APPLY_S / 2)


class TestChangesOfPeers(FollowerCase):
    """Changes of other nodes, which may follow another era of the store or know of no eras."""

    async def enter_era(self, position: StorePosition) -> None:
        """Let the store return from a copy, and let the node read it."""
        self.store.position = position
        with self.assertRaises(EraChangedError):
            await self.follower._step()
        self.follower._must_read = True
        await self.follower._step()
        self.store.calls.clear()

    async def test_frame_claims_no_more_than_its_changes(self) -> None:
        """A watcher overtaken by the other one must not tell of changes that it doesn't send.

        A node that hears it first would take the other's changes for known ones, and keep an old
        configuration until the next change.
        """
        answer = asyncio.Event()

        async def watch(_position: StorePosition) -> Listing:
            await answer.wait()
            return Listing((StoreItem("configuration", StorePosition(1, 2), b"2"),), position)

        position = StorePosition(1, 2)
        self.store.watch = watch
        self.follower._watcher_election.is_watcher = True
        step = asyncio.create_task(self.follower._step())
        for _ in range(3):
            await asyncio.sleep(0)
        whole = StoreChangesFrame(
            1, 3, (("configuration", 2, b"2"), ("configuration", 3, b"3")), era=1
        )
        self.follower.apply_changes(whole)
        answer.set()
        await step
        overtaken = self.node.broadcast_changes.call_args.args[0]
        self.follower = self.make_follower()
        await self.follower._read_all()
        self.node.apply_configuration.reset_mock()
        for frame in (overtaken, whole):
            self.follower.apply_changes(frame)
        self.assertEqual(self.applied_versions()[-1], 3)

    async def test_heartbeat_with_a_known_revision_counts(self) -> None:
        """Repeated changes are routine: a node must not ask the store because of them."""
        self.follower.apply_changes(StoreChangesFrame(0, 1, (), era=1))
        self.assertTrue(self.hears_watcher())

    async def test_changes_of_an_older_era_are_ignored(self) -> None:
        """A peer that hasn't noticed the return must not set a node back or keep it listening."""
        await self.enter_era(StorePosition(2, 1))
        self.follower.apply_changes(StoreChangesFrame(1, 50, (("configuration", 50, b"3"),), era=1))
        self.assertEqual(self.applied_versions(), [])
        self.assertFalse(self.hears_watcher())
        self.assertEqual(self.follower.snapshot().revision, 1)

    async def test_changes_of_a_newer_era_make_a_node_read_everything(self) -> None:
        """Revisions of an era that the node hasn't read must not be compared with its own.

        Its own revision may be the higher one, as the store gives out revisions again.
        """
        self.follower._position = StorePosition(1, 40)
        self.store.position = StorePosition(2, 12)
        self.follower.apply_changes(StoreChangesFrame(10, 12, (), era=2))
        self.assertFalse(self.hears_watcher())
        await self.follower._step()
        self.assertEqual(self.store.calls, ["read"])
        self.assertEqual(self.follower.snapshot().era, 2)

    async def test_unread_newer_era_is_read_once_and_never_trusted(self) -> None:
        """A peer with a false era must not make all nodes read the store at each heartbeat."""
        for _ in range(3):
            self.follower.apply_changes(StoreChangesFrame(1, 1, (), era=9))
            await self.follower._step()
        self.assertEqual(self.store.calls.count("read"), 1)
        self.assertFalse(self.hears_watcher())

    async def test_newer_era_ends_a_watch_that_hangs(self) -> None:
        """A watch on a connection from an outage must not delay what a peer has told.

        The same holds for changes that were missed.
        """
        for frame in (StoreChangesFrame(10, 12, (), era=1), StoreChangesFrame(1, 1, (), era=2)):
            with self.subTest(frame=frame):
                self.store.is_hanging = True
                step = asyncio.create_task(self.follower._step())
                await asyncio.sleep(0)
                await asyncio.sleep(0)
                self.assertEqual(self.store.calls, ["watch"])
                self.follower.apply_changes(frame)
                await asyncio.wait_for(step, timeout=5.0)
                self.store.is_hanging = False
                await self.follower._step()
                self.assertEqual(self.store.calls, ["watch", "read"])
                self.store.calls.clear()
                self.clock.now_s += 10.0

    async def test_era_announced_during_a_read_is_read(self) -> None:
        """A read that began before the store returned must not hide the newer era."""

        async def read_before_the_return(*, may_be_stale: bool = False) -> Listing:
            self.follower.apply_changes(StoreChangesFrame(1, 1, (), era=2))
            return Listing((), StorePosition(1, 1))

        self.follower._must_read = True
        with mock.patch.object(self.store, "read_all", read_before_the_return):
            await self.follower._step()
        self.store.position = StorePosition(2, 1)
        await self.follower._step()
        self.assertEqual(self.store.calls, ["read"])
        self.assertEqual(self.follower.snapshot().era, 2)

    async def test_node_serves_with_what_it_has_until_it_can_read_the_newer_era(self) -> None:
        """A node that only hears of a newer era must not forget what it knows."""
        self.store.is_reachable = False
        self.follower.apply_changes(StoreChangesFrame(10, 12, (), era=2))
        with self.assertRaises(CottonlinkError):
            await self.follower._step()
        self.assertEqual(self.follower.snapshot().era, 1)

    async def test_changes_without_an_era_are_not_relied_on(self) -> None:
        """The former build compares revisions of different eras, so its order may be wrong.

        A node whose watchers were all of that build never learned that the store had returned.
        """
        self.follower.apply_changes(StoreChangesFrame(1, 2, (("configuration", 2, b"5"),)))
        self.assertEqual(self.applied_versions(), [])
        self.assertFalse(self.hears_watcher())

    async def test_store_without_eras_is_followed_through_peers(self) -> None:
        """A store that doesn't tell its era must not make every node watch it."""
        self.follower._position = StorePosition(0, 1)
        self.follower.apply_changes(StoreChangesFrame(1, 2, (("configuration", 2, b"5"),)))
        self.follower.apply_changes(StoreChangesFrame(2, 3, (("configuration", 3, b"6"),), era=0))
        self.assertEqual(self.applied_versions(), [5, 6])
        self.assertTrue(self.hears_watcher())

    async def test_ignored_changes_are_logged_once_in_an_era(self) -> None:
        """Heartbeats of a node that lags behind must not fill the log."""
        await self.enter_era(StorePosition(2, 1))
        for revision in range(20):
            self.follower.apply_changes(StoreChangesFrame(revision, revision, (), era=1))
        ignored = self.logged_events("store_changes_ignored")
        self.assertEqual([fields["reason"] for fields in ignored], ["older_era"])

    async def test_restarted_reads_are_delayed(self) -> None:
        """A store whose answers never agree on their era must not be read without a pause."""
        self.store.is_between_eras = True
        self.follower._must_read = True
        self.follower._retry_delay_s = 1_000.0
        running = asyncio.create_task(self.follower.run())
        for _ in range(20):
            await asyncio.sleep(0)
        running.cancel()
        self.assertEqual(self.store.calls, ["read"])

    async def test_answer_of_an_older_era_is_refused(self) -> None:
        """A node must not go back to what the store held before its latest return."""
        await self.enter_era(StorePosition(2, 1))
        self.store.position = StorePosition(1, 90)
        self.follower._must_read = True
        with self.assertRaises(CottonlinkError) as caught:
            await self.follower._step()
        self.assertEqual(caught.exception.code, "store_era_older")
        self.assertEqual(self.follower.snapshot().era, 2)


class TestSnapshotOfAPeer(FollowerCase):
    """What a node that can't reach the store takes from another one."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.follower = self.make_follower()
        self.store.is_reachable = False

    async def test_era_of_a_snapshot_is_kept(self) -> None:
        """The node must tell later changes of that era from those of others."""
        self.follower.apply_snapshot(StoreSnapshotFrame(7, (("configuration", 7, b"4"),), era=2))
        self.follower.apply_changes(StoreChangesFrame(7, 9, (("configuration", 9, b"5"),), era=1))
        self.follower.apply_changes(StoreChangesFrame(7, 8, (("configuration", 8, b"6"),), era=2))
        self.assertEqual(self.applied_versions(), [4, 6])

    async def test_snapshot_without_an_era_is_used_until_the_store_answers(self) -> None:
        """A snapshot of the former build must serve, but not be taken for the store's order."""
        self.follower.apply_snapshot(StoreSnapshotFrame(7, (("configuration", 7, b"4"),)))
        self.assertEqual(self.applied_versions(), [4])
        self.store.is_reachable = True
        self.follower.apply_changes(StoreChangesFrame(7, 7, ()))
        await self.follower._step()
        self.assertEqual(self.store.calls, ["read"])


class TestConfigurationInTheCopy(FollowerCase):
    """The configuration that a node hands on, where the store has an older one or none."""

    async def read(self, *values: bytes, era: int = 1) -> None:
        """Let the node read a store that holds these configurations, at most one."""
        position = StorePosition(era, 5)
        self.store.position = position
        self.store.items = tuple(StoreItem("configuration", position, value) for value in values)
        self.follower._must_read = True
        await self.follower._step()

    def handed_on(self) -> list[bytes | None]:
        """Return the configurations in the node's snapshot."""
        return [value for _, _, value in self.follower.snapshot().items]

    async def test_newest_version_is_handed_on(self) -> None:
        """A node that starts while the store is away must not get a version that is out of force.

        The copy holds an older version, none, or one that can't be read.
        """
        await self.read(b"7")
        for era, values in enumerate(([b"6"], [], [b"7"], [b"x"]), start=2):
            with self.subTest(values=values):
                await self.read(*values, era=era)
                self.assertEqual(self.handed_on(), [b"7"])
        await self.read(b"8", era=9)
        self.assertEqual(self.handed_on(), [b"8"])

    async def test_older_version_of_a_change_is_not_handed_on(self) -> None:
        """An older version that is written again must not replace the newest one."""
        await self.read(b"7")
        self.follower.apply_changes(StoreChangesFrame(5, 6, (("configuration", 6, b"6"),), era=1))
        self.follower.apply_changes(StoreChangesFrame(6, 7, (("configuration", 7, None),), era=1))
        self.assertEqual(self.handed_on(), [b"7"])

    async def test_newer_version_of_a_peer_is_taken_after_the_copy_was_read(self) -> None:
        """A node that starts just then asks peers and the store at once.

        It must not stay on the copy's version because the store answered first.
        """
        await self.read(b"4", era=2)
        self.follower.apply_snapshot(StoreSnapshotFrame(9, (("configuration", 9, b"7"),), era=1))
        self.assertEqual(self.applied_versions(), [4, 7])
        await self.read(b"4", era=2)
        self.assertEqual(self.handed_on(), [b"7"])
        self.follower.apply_changes(StoreChangesFrame(5, 6, (("configuration", 6, b"8"),), era=2))
        self.assertEqual(self.handed_on(), [b"8"])


del FollowerCase


if __name__ == "__main__":
    unittest.main()
