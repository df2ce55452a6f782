"""Generated histories of one crashing request in a fleet whose nodes are disrupted.

Further tests disable one mechanism each and expect the check of the histories to fail.
"""

from __future__ import annotations

import heapq
import itertools
import random
import unittest
from unittest import mock

from attrs import define

from cottonlink.overload import (
    CrashRegistry,
    QuarantineReport,
    make_crash_registry,
    make_quarantine,
    report_of_crash,
)

NODE_COUNT = 12
HISTORY_COUNT = 60
HISTORY_MS = 30_000
# A node that was not disrupted for this long must act on what the fleet knows.
CONTACT_MS = 3_000
# Sends that may reach targets later than that after the third crash.
MAX_LATER_SENDS = 3
RUN_MS = 30
# Share of the reports that are lost, as on a link that has gone silent.
LOSS_SHARE = 0.2
FANOUT = 2
# A node that returns has a link to its peers after up to this time.
MAX_REOPEN_MS = 3_700
FINGERPRINT = "crashing"


@define(eq=False)
class FleetNode:
    name: str
    registry: CrashRegistry
    is_connected: bool = True
    disturbed_at_ms: int = -CONTACT_MS
    target_back_at_ms: int = 0
    incarnation: int = 0


class Fleet:
    """Nodes and the events between them, in virtual time."""

    def __init__(self, seed: int) -> None:
        self.rng = random.Random(seed)
        self.now_ms = 0
        self.events: list[tuple] = []
        self.numbers = itertools.count()
        self.crash_times_ms: list[int] = []
        self.later_sends = 0
        self.nodes = [FleetNode(str(n), self._make_registry(n, 0)) for n in range(NODE_COUNT)]
        for node in self.nodes:
            self._at(self.rng.randrange(1_000), self._spread, node)
        self._at(1_000, self._send_copies)
        self._at(1_000, self._disturb)

    def run(self) -> None:
        while self.events and self.events[0][0] <= HISTORY_MS:
            self.now_ms, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def _make_registry(self, name: object, incarnation: int) -> CrashRegistry:
        return make_crash_registry(f"{name}-{incarnation}", make_quarantine())

    def _at(self, delay_ms: int, action, *arguments: object) -> None:
        event = (self.now_ms + delay_ms, next(self.numbers), action, arguments)
        heapq.heappush(self.events, event)

    def _send_copies(self) -> None:
        for node in self.rng.sample(self.nodes, self.rng.choice((1, 1, 2, 4))):
            if self.now_ms >= node.target_back_at_ms:
                self._send(node)
        self._at(self.rng.randrange(100, 2_000), self._send_copies)

    def _send(self, node: FleetNode) -> None:
        if node.registry.quarantine.is_refused(FINGERPRINT, self.now_ms):
            return
        is_in_touch = node.is_connected and self.now_ms - node.disturbed_at_ms >= CONTACT_MS
        third_crash_ms = self.crash_times_ms[2] if len(self.crash_times_ms) > 2 else HISTORY_MS
        self.later_sends += is_in_touch and self.now_ms > third_crash_ms + CONTACT_MS
        node.target_back_at_ms = self.now_ms + self.rng.randrange(1_000, 4_000)
        self._at(RUN_MS, self._crash, node)

    def _crash(self, node: FleetNode) -> None:
        self.crash_times_ms.append(self.now_ms)
        crash = node.registry.record_own_crash((FINGERPRINT,), self.now_ms)
        self._tell(node, self._others(node), report_of_crash(crash))

    def _spread(self, node: FleetNode) -> None:
        summary = node.registry.summary(self.now_ms)
        if summary is not None:
            self._tell(node, self.rng.sample(self._others(node), FANOUT), summary)
        self._at(1_000, self._spread, node)

    def _others(self, node: FleetNode) -> list[FleetNode]:
        return [other for other in self.nodes if other is not node]

    def _tell(self, sender: FleetNode, receivers: list[FleetNode], report) -> None:
        for receiver in receivers:
            if sender.is_connected and receiver.is_connected and self.rng.random() > LOSS_SHARE:
                self._at(self.rng.randrange(1, 30), self._receive, receiver, report)

    def _receive(self, node: FleetNode, report: QuarantineReport) -> None:
        if node.is_connected:
            node.registry.learn(report, self.now_ms)

    def _disturb(self) -> None:
        """Restart a node or cut it off, so that at least half of the nodes are never disturbed."""
        node = self.rng.choice(self.nodes[: NODE_COUNT // 2])
        if node.is_connected:
            node.is_connected = False
            self._at(self.rng.randrange(100, 4_000), self._return, node, self.rng.random() < 0.5)
        self._at(self.rng.randrange(100, 1_500), self._disturb)

    def _return(self, node: FleetNode, is_restarted: bool) -> None:
        node.is_connected = True
        node.disturbed_at_ms = self.now_ms
        if is_restarted:
            node.incarnation += 1
            node.registry = self._make_registry(node.name, node.incarnation)
        for other in self._others(node):
            self._at(self.rng.randrange(400, MAX_REOPEN_MS), self._greet, other, node)
            self._at(self.rng.randrange(400, MAX_REOPEN_MS), self._greet, node, other)

    def _greet(self, sender: FleetNode, receiver: FleetNode) -> None:
        summary = sender.registry.summary(self.now_ms)
        if summary is not None:
            self._tell(sender, [receiver], summary)


def most_later_sends() -> int:
    """Return the most sends by nodes in touch after the third crash, over all histories."""
    fleets = [Fleet(seed) for seed in range(HISTORY_COUNT)]
    for fleet in fleets:
        fleet.run()
    return max(fleet.later_sends for fleet in fleets)


class CrashHistoriesTest(unittest.TestCase):
    def test_request_reaches_few_targets_after_its_third_crash(self) -> None:
        """Guards against a crashing request that gets through at nodes that were disturbed."""
        self.assertLessEqual(most_later_sends(), MAX_LATER_SENDS)

    def test_check_notices_nodes_that_tell_nothing_later(self) -> None:
        """Guards against a check that misses nodes which never hear of a lost report."""
        with mock.patch.object(CrashRegistry, "summary", lambda self, now_ms: None):
            self.assertGreater(most_later_sends(), MAX_LATER_SENDS)

    def test_check_notices_crashes_that_are_not_told(self) -> None:
        """Guards against a check that misses nodes which count only their own crashes."""
        with mock.patch.object(CrashRegistry, "learn", lambda self, report, now_ms: ()):
            self.assertGreater(most_later_sends(), MAX_LATER_SENDS)


if __name__ == "__main__":
    unittest.main()
