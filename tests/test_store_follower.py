"""Steps of a node that follows the store, with a store that records how it is asked."""

from __future__ import annotations

import asyncio
import random
import unittest
from unittest import mock

from cottonlink.errors import CottonlinkError, Step
from cottonlink.path import StoreFollower, StorePosition
from cottonlink.path._frames import StoreChangesFrame
from cottonlink.path._store_follower import Listing


class RecordingStore:
    """Answers with nothing new, or fails while ``is_reachable`` is not set."""

    def __init__(self) -> None:
        self.calls: list[str] = []
        self.is_reachable = True

    async def read_all(self) -> Listing:
        return self._answer("read")

    async def watch(self, revision: int) -> Listing:
        return self._answer("watch")

    def _answer(self, call: str) -> Listing:
        self.calls.append(call)
        if not self.is_reachable:
            raise CottonlinkError("store_unreachable", "silent", step=Step.POLICY_READ)
        return Listing((), StorePosition(1, 1))


class TestReturnOfTheStore(unittest.IsolatedAsyncioTestCase):
    """How soon a node learns what was published while it couldn't reach the store."""

    async def test_node_that_lost_the_store_reads_before_it_watches(self) -> None:
        """A watch on a connection from an outage is given up only after seconds.

        A node that hears of a watcher meanwhile must not take the store for regained.
        """
        store = RecordingStore()
        loop = asyncio.get_running_loop()
        follower = StoreFollower(
            store, mock.Mock(), "127.0.0.3", "hall-a", mock.Mock(), random.Random(1), loop
        )
        await follower._step()
        follower._watcher_election.set_members(("127.0.0.1", "127.0.0.2", "127.0.0.3"))
        self.assertFalse(follower._watcher_election.is_watcher)
        store.is_reachable = False
        with self.assertRaises(CottonlinkError) as caught:
            await follower._step()
        follower._on_store_lost(caught.exception)
        follower.apply_changes(StoreChangesFrame(1, 1, ()))
        await follower._step()
        follower._watcher_election.record_heartbeat(float("-inf"))
        store.is_reachable = True
        store.calls.clear()
        await follower._step()
        self.assertEqual(store.calls, ["read"])


if __name__ == "__main__":
    unittest.main()
