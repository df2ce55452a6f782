"""Quotas in virtual time: nodes, stewards and faults, without a network."""

from __future__ import annotations

import random
import unittest

from hypothesis import given, settings
from hypothesis import strategies as st

from cottonlink.organisations import QuotaGrant, QuotaUsage, make_quota_leases, make_quota_ledger
from cottonlink.organisations._quota_ledger import MAX_OVERDRAFTS, STRANDED_TOKENS
from tests.quota_fleet import SimulatedFleet, hard_bound

# A phase lasts 100 to 1,500 ms. Its faults are applied at its start.
PHASE = st.fixed_dictionaries(
    {
        "duration_ms": st.integers(100, 1_500),
        "demand": st.sampled_from((0.0, 0.3, 1.0, 4.0, 8.0)),
        "users": st.sets(st.integers(0, 6), min_size=1),
        "killed": st.sets(st.integers(0, 6), max_size=2),
        "restarted": st.booleans(),
        "frozen": st.dictionaries(st.integers(0, 6), st.integers(100, 4_000), max_size=2),
        "groups": st.lists(st.integers(0, 2), min_size=7, max_size=7) | st.none(),
        "loss_share": st.sampled_from((0.0, 0.0, 0.05, 0.5)),
    }
)


def sticky_demand(fleet: SimulatedFleet, load: float) -> list[tuple]:
    """Return demand at a share of each quota, from clients that stick to one or four nodes."""
    rng = random.Random(5)
    return [
        (name, rng.sample(fleet.nodes, 1 + 3 * (number % 2)), load * quota[0])
        for number, (name, quota) in enumerate(fleet.quotas.items())
    ]


def make_large_fleet() -> SimulatedFleet:
    """Return 62 nodes that have been in contact for a while, and 75 organisations, 3 of them large.

    Their demand is ``sticky_demand``.
    """
    quotas = {f"o{n}": (400.0, 400.0) if n < 3 else (10.0, 20.0) for n in range(75)}
    fleet = SimulatedFleet(62, quotas)
    fleet.run(7_000, sticky_demand(fleet, 0.8))
    return fleet


class TestHardBound(unittest.TestCase):
    @settings(max_examples=100, deadline=None, derandomize=True)
    @given(
        phases=st.lists(PHASE, min_size=3, max_size=10),
        rate_per_s=st.sampled_from((5.0, 60.0, 300.0)),
        burst_s=st.sampled_from((0.0, 0.2, 1.0, 4.0)),
        is_settled=st.booleans(),
    )
    def test_no_window_exceeds_it(self, phases, rate_per_s, burst_s, is_settled) -> None:
        """Guards against requests above the hard bound through deaths, freezes, partitions or loss.

        Every node may be a steward, and a restarted one has forgotten what it granted.
        """
        quota = (rate_per_s, rate_per_s * burst_s)
        fleet = SimulatedFleet(7, {"o": quota})
        if is_settled:
            fleet.run(6_000, [("o", fleet.nodes, 0.5 * rate_per_s)])
        for phase in phases:
            for number in phase["killed"]:
                fleet.kill(fleet.nodes[number])
            for node in fleet.nodes:
                if phase["restarted"] and not node.is_alive:
                    fleet.restart(node)
            for number, duration_ms in phase["frozen"].items():
                fleet.nodes[number].frozen_until_ms = fleet.now_ms + duration_ms
            for node, group in zip(fleet.nodes, phase["groups"] or (0,) * 7, strict=True):
                node.group = group
            fleet.loss_share = phase["loss_share"]
            users = [fleet.nodes[number] for number in phase["users"]]
            fleet.run(phase["duration_ms"], [("o", users, phase["demand"] * rate_per_s)])
        self.assertLessEqual(fleet.largest_window("o"), hard_bound(*quota))

    def test_partition_of_saturated_fleet(self) -> None:
        """Guards against two stewards that together grant more than the bound, and after it heals.

        With a small burst the allowance for overshoot is smallest.
        """
        for burst, split in ((1.0, 10), (10.0, 15), (100.0, 10), (400.0, 15)):
            with self.subTest(burst=burst, split=split):
                fleet = SimulatedFleet(31, {"o": (100.0, burst)})
                fleet.run(7_000, [("o", fleet.nodes, 75.0)])
                for node in fleet.nodes[:split]:
                    node.group = 1
                sides = (fleet.nodes[:split], fleet.nodes[split:])
                fleet.run(5_000, [("o", side, 400.0) for side in sides])
                for node in fleet.nodes:
                    node.group = 0
                fleet.run(7_000, [("o", fleet.nodes, 800.0)])
                self.assertLessEqual(fleet.largest_window("o"), hard_bound(100.0, burst))

    def test_lowered_limit(self) -> None:
        """Guards against a full bucket or leases of the former limit one window later."""
        fleet = SimulatedFleet(10, {"o": (300.0, 1_000.0)})
        fleet.run(7_000, [("o", fleet.nodes, 200.0)])
        fleet.set_quotas({"o": (10.0, 20.0)})
        lowered_ms = fleet.now_ms
        fleet.run(12_000, [("o", fleet.nodes, 400.0)])
        bound = hard_bound(10.0, 20.0)
        self.assertLessEqual(fleet.largest_window("o", lowered_ms + 5_000), bound)


class TestWithinQuota(unittest.TestCase):
    def test_sticky_clients_and_a_move_to_another_node(self) -> None:
        """Guards against refusals within the quota where tokens are held by the wrong nodes."""
        fleet = make_large_fleet()
        demand = sticky_demand(fleet, 0.8)
        since_ms = fleet.now_ms
        fleet.run(5_000, demand)
        self.assertLess(fleet.refused_share(fleet.quotas, since_ms), 0.002)
        since_ms = fleet.now_ms
        nodes = fleet.nodes
        moved = [(o, [nodes[nodes.index(ns[0]) - 7]], rate) for o, ns, rate in demand]
        fleet.run(2_000, moved)
        self.assertLess(fleet.refused_share(fleet.quotas, since_ms), 0.005)

    def test_eightfold_rise(self) -> None:
        """Guards against a rise that costs others their quota, or is admitted late or too much."""
        fleet = make_large_fleet()
        demand = sticky_demand(fleet, 0.8)
        since_ms = fleet.now_ms
        fleet.run(5_000, [("o0", demand[0][1], 2_560.0), *demand[1:]])
        admitted = sum(at_ms >= since_ms for at_ms in fleet.admitted_ms["o0"])
        # 400/s for 5 s and a burst of 400, of which a part was in use or leased before the rise.
        self.assertGreater(admitted, 0.9 * 2_400)
        self.assertLess(admitted, 1.1 * 2_400)
        others = [name for name in fleet.quotas if name != "o0"]
        self.assertLess(fleet.refused_share(others, since_ms), 0.002)

    def test_half_of_the_nodes_killed_with_the_steward(self) -> None:
        """Guards against survivors without a steward, or held to half of the rate for good."""
        fleet = make_large_fleet()
        dead = [fleet.nodes[0], *random.Random(2).sample(fleet.nodes[1:], 30)]
        for node in dead:
            fleet.kill(node)
        alive = [node for node in fleet.nodes if node.is_alive]
        demand = [
            (name, [node for node in nodes if node.is_alive] or alive[:1], rate_per_s)
            for name, nodes, rate_per_s in sticky_demand(fleet, 0.8)
        ]
        fleet.run(2_000, demand)
        self.assertEqual(len({node.leases.steward for node in alive}), 1)
        fleet.set_members(alive)
        fleet.run(1_000, demand)
        since_ms = fleet.now_ms
        fleet.run(4_000, demand)
        self.assertLess(fleet.refused_share(fleet.quotas, since_ms), 0.01)
        for name, quota in fleet.quotas.items():
            self.assertLessEqual(fleet.largest_window(name), hard_bound(*quota))

    def test_frozen_steward(self) -> None:
        """Guards against refusals while the next steward takes over and until the first returns."""
        fleet = make_large_fleet()
        since_ms = fleet.now_ms
        fleet.nodes[0].frozen_until_ms = fleet.now_ms + 3_000
        demand = [
            (name, [n for n in nodes if n is not fleet.nodes[0]] or fleet.nodes[5:6], rate)
            for name, nodes, rate in sticky_demand(fleet, 0.8)
        ]
        fleet.run(12_000, demand)
        self.assertEqual({node.leases.steward_index for node in fleet.nodes}, {0})
        self.assertLess(fleet.refused_share(fleet.quotas, since_ms), 0.02)

    def test_third_of_the_fleet_partitioned(self) -> None:
        """Guards against a side without a steward, and nodes that don't return afterwards."""
        fleet = make_large_fleet()
        for node in [fleet.nodes[0], *random.Random(3).sample(fleet.nodes[1:], 19)]:
            node.group = 1
        everywhere = [(name, fleet.nodes, 0.5 * quota[0]) for name, quota in fleet.quotas.items()]
        fleet.run(2_000, everywhere)
        since_ms = fleet.now_ms
        fleet.run(3_000, everywhere)
        self.assertLess(fleet.refused_share(fleet.quotas, since_ms), 0.01)
        for node in fleet.nodes:
            node.group = 0
        fleet.run(7_000, everywhere)
        self.assertEqual({node.leases.steward_index for node in fleet.nodes}, {0})

    def test_node_that_loses_contact_alone_returns(self) -> None:
        """Guards against a node held to the share of a steward that hears no other node."""
        fleet = make_large_fleet()
        stray = fleet.nodes[9]
        stray.group = 1
        fleet.run(700, [])
        stray.group = 0
        fleet.run(1_500, [])
        self.assertEqual(stray.leases.steward_index, 0)

    def test_node_without_steward_uses_the_floor(self) -> None:
        """Guards against an isolated node that refuses everything, or uses more than its part."""
        fleet = SimulatedFleet(40, {"o": (400.0, 400.0)})
        node = fleet.nodes[9]
        fleet.run(2_000, [])
        node.group = 1
        fleet.run(4_000, [("o", [node], 50.0)])
        since_ms = fleet.now_ms
        fleet.run(10_000, [("o", [node], 50.0)])
        admitted = sum(at_ms >= since_ms for at_ms in fleet.admitted_ms["o"])
        self.assertAlmostEqual(admitted, 50, delta=5)


class TestLedger(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = make_quota_ledger()
        self.ledger.set_quotas({"o": (10.0, 100.0)}, 0)
        self.keep_contact(0, 6_000)

    def keep_contact(self, since_ms: int, until_ms: int) -> None:
        for now_ms in range(since_ms, until_ms, 500):
            self.ledger.exchange("n", (), now_ms)

    def ask(self, node: str, now_ms: float, **usage: int) -> QuotaGrant:
        return self.ledger.exchange(node, (QuotaUsage("o", **usage),), now_ms).grants[0]

    def test_pause_starts_the_ledger_anew(self) -> None:
        """Guards against a steward that resumes with the burst that another has granted."""
        self.assertEqual(self.ask("n", 6_000, waiting=500).tokens, 100 + STRANDED_TOKENS)
        self.assertLessEqual(self.ask("n", 60_000, waiting=500).tokens, 5)

    def test_overdrafts_are_bounded_and_paid(self) -> None:
        """Guards against more overdrafts than the slack covers, and overdrafts that cost nothing.

        An overdraft that is reported while the bucket is empty must delay the next token.
        """
        answers = [self.ask(f"n{number}", 6_000) for number in range(30)]
        self.assertEqual(sum(answer.overdraft for answer in answers), MAX_OVERDRAFTS)
        self.ask("n", 6_000, waiting=500)
        grant = self.ask("n0", 6_000, unleased=4, waiting=1)
        self.assertEqual((grant.tokens, grant.overdraft, grant.retry_after_ms), (0, 0, 500.0))

    def test_full_buckets_are_dropped(self) -> None:
        """Guards against state that grows with the organisations that were ever active."""
        self.ledger.set_quotas({f"o{n}": (10.0, 10.0) for n in range(1_000)}, 6_000)
        usages = [QuotaUsage(f"o{n}", waiting=3) for n in range(1_000)]
        self.ledger.exchange("n", usages, 6_000)
        self.keep_contact(6_500, 20_000)
        self.assertEqual(len(self.ledger._buckets), 0)


class TestLeases(unittest.TestCase):
    def setUp(self) -> None:
        self.ledger = make_quota_ledger()
        self.leases = make_quota_leases()
        for part in (self.ledger, self.leases):
            part.set_quotas({"o": (10.0, 100.0)}, 0)
        self.leases.set_stewards(("first", "second"), 0)
        for now_ms in range(0, 6_000, 500):
            self.exchange(now_ms)

    def exchange(self, now_ms: float) -> tuple[QuotaUsage, ...]:
        exchange = self.leases.begin_exchange(now_ms)
        answer = self.ledger.exchange("n", exchange.usages, now_ms)
        self.leases.apply(exchange.number, answer, now_ms)
        return exchange.usages

    def test_organisation_without_quota_costs_nothing(self) -> None:
        """Guards against limits, state or messages where no quota is set."""
        self.assertTrue(all(self.leases.try_take("other", 6_000) for _ in range(1_000)))
        self.assertEqual(self.leases._leases, {})
        self.leases.set_quotas({}, 6_000)
        self.assertFalse(self.leases.wants_exchange(60_000))

    def test_unused_tokens_expire_and_return(self) -> None:
        """Guards against leases that outlive the window, and against tokens lost by expiry."""
        self.assertFalse(self.leases.try_take("o", 6_000))
        self.exchange(6_000)
        self.assertEqual(self.leases.begin_exchange(7_000).usages, (QuotaUsage("o", -1, 0, 0),))

    def test_token_given_back_is_used_again(self) -> None:
        """Guards against requests that were rejected before they ran and still count."""
        self.leases.try_take("o", 6_000)
        self.exchange(6_000)
        self.leases.try_take("o", 6_010, waited=True)
        self.assertTrue(self.leases.try_take("o", 6_020))  # an overdraft
        self.leases.give_back("o", 6_030, 6_030)
        self.leases.give_back("o", 6_030, 6_030)
        self.assertEqual(self.leases.begin_exchange(6_100).usages[0].unleased, -1)

    def test_overdraft_in_a_lost_report_is_reported_again(self) -> None:
        """Guards against overdrafts that are never paid, as each steward in turn is silent."""
        self.leases.try_take("o", 6_000)
        self.exchange(6_000)
        self.assertTrue(self.leases.try_take("o", 6_010, waited=True))
        self.assertTrue(self.leases.try_take("o", 6_020))
        lost = self.leases.begin_exchange(6_100)
        self.assertEqual(lost.usages[0].unleased, 1)
        self.leases.record_silence(lost.number, 6_400)
        again = self.leases.begin_exchange(6_400)
        self.assertEqual((again.steward, again.usages[0].unleased), ("second", 1))

    def test_returned_tokens_in_a_lost_report_are_not_returned_again(self) -> None:
        """Guards against tokens that are credited twice, as the steward may have got the report."""
        self.leases.try_take("o", 6_000)
        self.exchange(6_000)
        lost = self.leases.begin_exchange(7_000)
        self.assertEqual(lost.usages[0].unleased, -1)
        self.leases.record_silence(lost.number, 7_300)
        self.assertEqual(self.leases.begin_exchange(7_300).usages, ())


if __name__ == "__main__":
    unittest.main()
