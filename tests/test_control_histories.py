"""Tests of policy state and membership over generated histories of a whole fleet."""

import unittest
from unittest import mock

from hypothesis import given, settings
from hypothesis import strategies as st

from bench.control_fleet import ControlFleet, FleetNode, make_policy, spread_names
from cottonlink.decisions import Accepted, Membership, PolicyState
from cottonlink.policy import Policy

MEMBERSHIP = "cottonlink.decisions._membership"
FORCE_LIMIT_MS = 17_000
NAMES = {"r1-0": [f"n-{i}" for i in range(6)], "r2-0": [f"n-{i}" for i in range(6, 12)]}
SEEDS = ("n-0", "n-6", "n-11")
CENTRES = {name: centre for centre, names in NAMES.items() for name in names}
POLICIES = {version: make_policy(version, NAMES) for version in range(1, 40)}

STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            [
                "publish",
                "roll_back",
                "down",
                "up",
                "cut",
                "heal",
                "kill",
                "restart",
                "lose",
                "delay",
            ]
        ),
        st.integers(0, 11),
        st.integers(100, 6_000),
    ),
    max_size=9,
)


class History:
    """A fleet of 12 nodes on which the steps of a history are carried out."""

    def __init__(self, seed: int = 0, names: dict | None = None, policy=POLICIES[1]) -> None:
        self.fleet = ControlFleet(seed)
        self.top = policy.version
        self.fleet.publish(policy)
        for centre, members in (names or NAMES).items():
            for name in members:
                node = self.fleet.start(name, centre, SEEDS)
                self.fleet.offer(node, policy, "setup")

    def carry_out(self, step: str, number: int, duration_ms: int) -> None:
        fleet = self.fleet
        name = f"n-{number}"
        match step:
            case "publish":
                self.publish_next()
            case "roll_back":
                fleet.service.ignores_after_version = number % 2 == 1
                fleet.publish(POLICIES[max(1, self.top - number)])
            case "down" | "up":
                fleet.service.is_up = step == "up"
            case "cut":
                fleet.is_cut = lambda a, b: (int(a[2:]) < number) != (int(b[2:]) < number)
            case "heal":
                self.heal()
            case "kill" if sum(node.is_alive for node in fleet.nodes.values()) > 4:
                fleet.kill(name)
            case "restart":
                fleet.start(name, CENTRES[name], SEEDS)
            case "lose":
                fleet.loss = number / 24
            case "delay":
                fleet.extra_delay_ms = number * 300
        fleet.run(duration_ms)

    def publish_next(self) -> None:
        self.top += 1
        self.fleet.publish(POLICIES[self.top])

    def heal(self) -> None:
        self.fleet.is_cut = lambda a, b: False
        self.fleet.loss = 0
        self.fleet.extra_delay_ms = 0

    def converges(self, version: int) -> bool:
        """Return whether all live nodes have ``version`` in force within the limit."""
        return self.fleet.run(FORCE_LIMIT_MS, lambda: set(self.fleet.live_versions()) == {version})

    def fallen(self) -> list[FleetNode]:
        """Return the nodes at which a version fell."""
        nodes = self.fleet.nodes.values()
        return [node for node in nodes if node.versions != sorted(set(node.versions))]


def roll_back_and_replace(history: History) -> FleetNode:
    """Replace a chosen watcher while the service offers an old record; return the new one."""
    history.publish_next()
    history.converges(2)
    history.fleet.publish(POLICIES[1])
    any_node = history.fleet.nodes["n-0"].membership
    watcher = any_node.watchers("r1-0", int(history.fleet.now_ms))[0]
    node = history.fleet.start(watcher, "r1-0", SEEDS)
    history.fleet.run(6_000)
    return node


class HistoryTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=100, database=None)
    @given(steps=STEPS, seed=st.integers(0, 1_000), ends_down=st.booleans())
    def test_version(self, steps, seed, ends_down):
        """Guards against a version that falls, and against nodes that stay on an old one.

        After the faults end, the highest version that any live node or the service holds has
        to be in force everywhere within 17 s, with and without the service.
        """
        history = History(seed)
        for step in steps:
            history.carry_out(*step)
            self.assertEqual(history.fallen(), [])
        history.heal()
        service = history.fleet.service
        service.is_up = not ends_down
        versions = history.fleet.live_versions()
        if service.is_up or not any(versions):
            service.is_up = True
            versions.append(service.policy.version)
        self.assertTrue(history.converges(max(versions)), (versions, history.fleet.live_versions()))
        self.assertEqual(history.fallen(), [])

    def test_version_without_check(self):
        """Shows that the test above fails if any offered record is taken."""

        def take(state: PolicyState, policy: Policy, source: str) -> Accepted:
            state.current = policy
            return Accepted(policy)

        with mock.patch.object(PolicyState, "offer", take):
            history = History()
            history.publish_next()
            history.fleet.run(5_000)
            history.carry_out("roll_back", 1, 2_000)
        self.assertTrue(history.fallen())

    def test_replaced_watcher(self):
        """Guards against a rolled-back service that reverts a node without memory."""
        self.assertEqual(roll_back_and_replace(History()).versions, [2])
        with mock.patch.multiple(MEMBERSHIP, PEERS_FIRST_MS=0, PEERS_FIRST_JITTER_MS=1):
            reverted = [roll_back_and_replace(History(seed)).versions[0] for seed in range(8)]
        self.assertIn(1, reverted, "the test doesn't notice a node that reads the service first")

    def test_takeover(self):
        """Guards against a change that waits for watchers that are dead or cut off."""
        for silence_ms, expected in ((5_000, True), (10**9, False)):
            for is_dead in (True, False):
                with (
                    self.subTest(silence_ms=silence_ms, is_dead=is_dead),
                    mock.patch(f"{MEMBERSHIP}.WATCHER_SILENCE_MS", silence_ms),
                ):
                    history = History()
                    history.fleet.run(8_000)
                    chosen = self._chosen(history)
                    if is_dead:
                        for name in chosen:
                            history.fleet.kill(name)
                    history.fleet.reaches_service = lambda name, chosen=chosen: name not in chosen
                    history.publish_next()
                    self.assertEqual(history.converges(2), expected)

    def test_watchers(self):
        """Guards against nodes that disagree on the watchers of a data centre."""
        history = History()
        history.fleet.run(5_000)
        now_ms = int(history.fleet.now_ms)
        for centre in NAMES:
            choices = {
                node.membership.watchers(centre, now_ms) for node in history.fleet.nodes.values()
            }
            self.assertEqual(len(choices), 1)
            self.assertEqual(len(choices.pop()), 3)

    def test_reads(self):
        """Guards against reads that grow with the fleet: in an outage, after it, at a restart."""
        peaks = {}
        for count in (30, 90):
            names = spread_names(count, centres=2)
            history = History(names=names, policy=make_policy(1, names))
            peaks[count] = self._peaks(history, names)
        for small, large in zip(peaks[30], peaks[90], strict=True):
            self.assertLessEqual(large, 2 * small + 6, peaks)
        with mock.patch.object(Membership, "is_watcher", lambda *_: True):
            unbounded = self._peak(History(names=names).fleet, 5_000)
        self.assertGreater(unbounded, 2 * peaks[30][0] + 6, "the test doesn't notice more readers")

    def test_isolated(self):
        """Guards against a node that reaches the service but no peer, and gets no change."""
        names = spread_names(60, centres=2)
        for isolated_after_ms, expected in ((8_000, True), (10**9, False)):
            with mock.patch(f"{MEMBERSHIP}.ISOLATED_AFTER_MS", isolated_after_ms):
                history = History(names=names, policy=make_policy(1, names))
                history.fleet.run(6_000)
                order = history.fleet.nodes["n-0"].membership._table.watch_order("r1-0")
                last = history.fleet.nodes[order[-1]]
                history.fleet.is_cut = lambda a, b, name=last.own.name: name in (a, b)
                history.publish_next()
                history.fleet.run(FORCE_LIMIT_MS)
                self.assertEqual(last.policy_state.version == 2, expected)

    def _peaks(self, history: History, names: dict) -> list[int]:
        fleet = history.fleet
        peaks = []
        for is_up in (True, False, True):
            fleet.service.is_up = is_up
            peaks.append(self._peak(fleet, 20_000))
        for centre, members in names.items():
            for name in members:
                fleet.start(name, centre, ("n-0", "n-1", "n-2", "n-3"))
        peaks.append(self._peak(fleet, 12_000))
        self.assertEqual(set(fleet.live_versions()), {1})
        return peaks

    def _peak(self, fleet: ControlFleet, duration_ms: int) -> int:
        fleet.service.reads.clear()
        fleet.run(duration_ms)
        seconds = [read_ms // 1_000 for read_ms in fleet.service.reads]
        return max(map(seconds.count, set(seconds)))

    def _chosen(self, history: History) -> list[str]:
        now_ms = int(history.fleet.now_ms)
        membership = history.fleet.nodes["n-0"].membership
        return [name for centre in NAMES for name in membership.watchers(centre, now_ms)]
