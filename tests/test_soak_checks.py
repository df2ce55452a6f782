"""The checks of the fault soak report what the users' pages forbid, and only that."""

from __future__ import annotations

import asyncio
import json
import random
import unittest
from types import SimpleNamespace

from emulator.platform_store import PlatformStore
from emulator.platform_target import PlatformTarget, route_resource
from soak.checks import find_denied, find_violations
from soak.configuration_checks import ConfigurationCheck
from soak.disturbances import Disturbances, Kind
from soak.drain_checks import find_late_runs, find_runs_after_notice
from soak.lag import LagMeter
from soak.limit_checks import find_excess
from soak.loss_checks import find_closed_unanswered, find_losses
from soak.observations import ObservedRequest, expected_body
from soak.organisation_checks import OrganisationCheck
from soak.runs import Run
from soak.store_writers import EntryWrite, PublishedConfiguration, StoreWriters
from soak.vm import NamedLimit, Stop


class Clock:
    """A clock that tests set."""

    def __init__(self, time_s: float = 0.0) -> None:
        self.time_s = time_s

    def __call__(self) -> float:
        return self.time_s


def make_request(path: str = "/reads/1", sent_s: float = 100.0, **changes: object):
    fields = {
        "request_id": "r1",
        "path": path,
        "incarnations": (1, 1),
        "sent_s": sent_s,
        "ended_s": sent_s + 0.1,
        "ending": "answered",
        "status": 200,
        "seal": "i-0.1",
    }
    return ObservedRequest(**{**fields, **changes})


def make_run(vm: int = 0, service: str = "browse", arrived_s: float = 100.0, **changes: object):
    return Run(
        **{
            "request_id": "r1",
            "vm": vm,
            "service": service,
            "started_at_ms": 1,
            "arrived_s": arrived_s,
            "ended_s": arrived_s + 0.02,
            **changes,
        }
    )


def disturb(disturbances: Disturbances, vm: int | None, kind: Kind, start_s: float, end_s: float):
    """Record a disturbance of a VM, or of the store without one."""
    clock = disturbances.now_s
    clock.time_s = start_s
    with disturbances.of_store() if vm is None else disturbances.of_vm(vm, kind):
        clock.time_s = end_s


class TestInTouch(unittest.TestCase):
    """A wrong span would excuse real failures, or blame nodes that couldn't know better."""

    def setUp(self) -> None:
        self.disturbances = Disturbances(Clock())

    def test_not_in_touch_until_contact_s_after_a_disturbance(self) -> None:
        disturb(self.disturbances, 0, Kind.UNPLANNED, 10.0, 11.0)
        self.assertFalse(self.disturbances.is_in_touch(0, 13.9))
        self.assertTrue(self.disturbances.is_in_touch(0, 14.1))
        self.assertTrue(self.disturbances.is_in_touch(1, 13.9))
        self.assertTrue(self.disturbances.is_in_touch(0, 9.9))

    def test_disturbance_of_the_store_concerns_all(self) -> None:
        disturb(self.disturbances, None, Kind.STORE_PATH, 10.0, 11.0)
        self.assertFalse(self.disturbances.is_in_touch(3, 13.9))
        self.assertFalse(self.disturbances.is_disrupted(3, 10.5, 10.6))

    def test_disturbance_during_the_request_counts(self) -> None:
        disturb(self.disturbances, 0, Kind.UNPLANNED, 10.0, 11.0)
        self.assertFalse(self.disturbances.is_in_touch(0, 9.5, 10.2))

    def test_stall_of_the_soak_disturbs_all(self) -> None:
        """Its proxies and its store delay all data then, as the fault ``delay`` does."""
        self.disturbances.add_stall(10.0, 10.5)
        self.assertFalse(self.disturbances.is_in_touch(0, 13.4))
        self.assertTrue(self.disturbances.is_disrupted(1, 13.4, 13.5))
        self.assertTrue(self.disturbances.is_in_touch(0, 13.6))

    def test_planned_stop_is_no_disruption(self) -> None:
        """LOST holds around planned stops, so that they may not excuse it."""
        disturb(self.disturbances, 0, Kind.PLANNED, 10.0, 12.0)
        self.assertFalse(self.disturbances.is_in_touch(0, 12.0))
        self.assertFalse(self.disturbances.is_disrupted(0, 11.0, 11.5))


class TestConfigurations(unittest.TestCase):
    """Guards against a soak that misses a configuration that isn't in force in time."""

    def setUp(self) -> None:
        self.disturbances = Disturbances(Clock())
        published = [
            PublishedConfiguration(4, {"/reads/": "browse"}, 90.0),
            PublishedConfiguration(7, {"/reads/": "browse", "/n1/": "browse"}, 100.0),
            PublishedConfiguration(9, {"/reads/": "browse", "/n1/": "booking"}, 110.0),
            PublishedConfiguration(12, {"/reads/": "browse"}, 120.0),
        ]
        self.check = ConfigurationCheck(published, self.disturbances)

    def find(self, *observed: tuple[ObservedRequest, list[Run]]) -> list[str]:
        requests = []
        runs = {}
        for number, (request, own_runs) in enumerate(observed):
            request.request_id = f"r{number}"
            requests.append(request)
            runs[request.request_id] = own_runs
        return [violation.rule for violation in self.check.find_violations(requests, runs)]

    def not_found(self, sent_s: float, path: str = "/n1/5", **changes: object) -> tuple:
        return make_request(path, sent_s, status=404, seal="", **changes), []

    def ran(self, sent_s: float, service: str, **changes: object) -> tuple:
        return make_request("/n1/5", sent_s, **changes), [make_run(0, service, sent_s + 0.01)]

    def test_added_route_not_found_in_time(self) -> None:
        self.assertEqual(self.find(self.not_found(102.1)), ["CONFIG"])
        self.assertEqual(self.find(self.not_found(101.9)), [])

    def test_moved_route_run_by_the_old_service(self) -> None:
        self.assertEqual(self.find(self.ran(112.1, "browse")), ["CONFIG"])
        self.assertEqual(self.find(self.ran(111.9, "browse")), [])
        self.assertEqual(self.find(self.ran(112.1, "booking")), [])

    def test_removed_route_still_run(self) -> None:
        self.assertEqual(self.find(self.ran(122.1, "booking")), ["CONFIG"])
        self.assertEqual(self.find(self.not_found(122.1)), [])

    def test_node_out_of_touch(self) -> None:
        disturb(self.disturbances, 0, Kind.STORE_PATH, 98.0, 99.5)
        self.assertEqual(self.find(self.not_found(102.2)), [])
        self.assertEqual(self.find(self.not_found(102.6)), ["CONFIG"])

    def test_newer_configuration_that_allows_it_as_well(self) -> None:
        self.assertEqual(self.find(self.not_found(119.5)), ["CONFIG"])
        self.assertEqual(self.find(self.not_found(120.5)), [])

    def test_return_to_an_older_version(self) -> None:
        """A return counts at any time, also while the store is disturbed."""
        disturb(self.disturbances, None, Kind.STORE_PATH, 100.0, 115.0)
        moved = self.ran(110.1, "booking")
        self.assertEqual(self.find(moved, self.ran(110.2, "browse")), [])
        self.assertEqual(self.find(moved, self.ran(110.5, "browse")), ["CONFIG"])
        self.assertEqual(self.find(moved, self.ran(110.5, "browse", incarnations=(2, 2))), [])
        self.assertEqual(self.find(moved, self.ran(110.5, "browse", vm=1)), [])

    def test_disrupted_node_has_eight_times_as_long(self) -> None:
        disturb(self.disturbances, 0, Kind.UNPLANNED, 109.0, 111.0)
        moved = self.ran(110.1, "booking")
        self.assertEqual(self.find(moved, self.ran(111.9, "browse")), [])
        self.assertEqual(self.find(moved, self.ran(112.3, "browse")), ["CONFIG"])

    def test_service_that_no_configuration_allows(self) -> None:
        run = make_run(0, "booking", 100.0)
        self.assertEqual(self.find((make_request("/reads/1"), [run])), ["ROUTE"])
        self.assertEqual(self.find(self.not_found(100.0, "/reads/1")), ["ROUTE"])


class TestDrain(unittest.TestCase):
    """Guards against a soak that misses requests for a target that has left."""

    def setUp(self) -> None:
        self.disturbances = Disturbances(Clock())
        self.writes = [EntryWrite("i-0", 1, False, 80.0), EntryWrite("i-0", 1, True, 90.0)]

    def find(self, **changes: object) -> int:
        runs = {"r1": [make_run(**changes)]}
        found = find_late_runs([make_request(vm=1)], runs, self.writes, self.disturbances)
        return len(found)

    def test_run_later_than_drain_s(self) -> None:
        self.assertEqual(self.find(arrived_s=92.1), 1)
        self.assertEqual(self.find(arrived_s=91.9), 0)
        self.assertEqual(self.find(arrived_s=92.1, lag_s=0.2), 0)

    def test_new_incarnation_may_run_it(self) -> None:
        self.assertEqual(self.find(arrived_s=95.0, started_at_ms=2), 0)

    def test_either_node_out_of_touch(self) -> None:
        disturb(self.disturbances, 1, Kind.PLANNED, 91.0, 92.0)
        self.assertEqual(self.find(arrived_s=94.0), 0)
        self.assertEqual(self.find(arrived_s=95.1), 1)

    def test_report_to_a_disturbed_store_counts_from_the_next_heartbeat(self) -> None:
        disturb(self.disturbances, None, Kind.STORE_PATH, 88.0, 89.0)
        self.assertEqual(self.find(arrived_s=95.0), 0)
        self.writes.append(EntryWrite("i-0", 1, True, 92.5))
        self.assertEqual(self.find(arrived_s=94.4), 0)
        self.assertEqual(self.find(arrived_s=94.6), 1)


class TestRunsAfterNotice(unittest.TestCase):
    """Guards against a soak that misses a request at a target that has said that it leaves."""

    def setUp(self) -> None:
        self.disturbances = Disturbances(Clock(200.0))
        self.told = make_request(vm=1, sent_s=90.0, headers={"server-leaving": "1"}, ended_s=90.1)

    def find(self, sent_s: float, *, started_at_ms: int = 1, **changes: object) -> int:
        later = make_request(sent_s=sent_s, **{"request_id": "r2", "vm": 1, **changes})
        runs = {
            "r1": [make_run(arrived_s=90.05)],
            "r2": [make_run(arrived_s=sent_s + 0.01, started_at_ms=started_at_ms)],
        }
        found = find_runs_after_notice([self.told, later], runs, self.disturbances)
        return len(found)

    def test_request_sent_later_than_drain_s(self) -> None:
        self.assertEqual(self.find(92.2), 1)
        self.assertEqual(self.find(92.0), 0)

    def test_node_out_of_touch_is_bound(self) -> None:
        disturb(self.disturbances, 1, Kind.STORE_PATH, 80.0, 95.0)
        disturb(self.disturbances, None, Kind.STORE_PATH, 80.0, 95.0)
        self.assertEqual(self.find(92.2), 1)

    def test_restart_or_freeze_of_the_node_excuses(self) -> None:
        self.assertEqual(self.find(92.2, incarnations=(2, 2)), 0)
        disturb(self.disturbances, 1, Kind.FREEZE, 91.0, 91.5)
        self.assertEqual(self.find(92.2), 0)

    def test_other_nodes_and_other_starts_of_the_target_are_not_bound(self) -> None:
        self.assertEqual(self.find(92.2, vm=2), 0)
        self.assertEqual(self.find(92.2, started_at_ms=2), 0)


class TestExcess(unittest.TestCase):
    """Guards against a soak that misses requests above the limit of a target."""

    def setUp(self) -> None:
        self.disturbances = Disturbances(Clock(200.0))
        self.limit = NamedLimit(0, 1, 10.0, 80.0)
        self.told = make_request(
            vm=1, sent_s=80.5, request_id="told", headers={"server-limit": "10.00"}, ended_s=80.6
        )

    def find(self, count: int, *, since_s: float = 90.0, vm: int = 1, **changes: object) -> int:
        requests, runs = [self.told], {}
        for number in range(count):
            sent_s = since_s + number * 3.9 / count
            requests.append(make_request(sent_s=sent_s, request_id=f"r{number}", vm=vm, **changes))
            runs[f"r{number}"] = [make_run(arrived_s=sent_s + 0.001)]
        return len(find_excess(requests, runs, [self.limit], self.disturbances))

    def test_more_than_one_and_a_half_times_the_limit(self) -> None:
        self.assertEqual(self.find(66), 1)
        self.assertEqual(self.find(65), 0)

    def test_requests_before_the_nodes_are_in_touch_do_not_count(self) -> None:
        self.assertEqual(self.find(66, since_s=79.0), 0)

    def test_nodes_that_were_not_told_do_not_count(self) -> None:
        self.assertEqual(self.find(66, vm=2), 0)
        self.assertEqual(self.find(66, incarnations=(2, 2)), 0)

    def test_disturbed_nodes_do_not_count(self) -> None:
        disturb(self.disturbances, 1, Kind.FREEZE, 91.0, 92.0)
        self.assertEqual(self.find(66), 0)

    def test_limit_that_has_ended_does_not_count(self) -> None:
        self.limit.end_s = 91.0
        self.assertEqual(self.find(66), 0)


class TestLoss(unittest.TestCase):
    """Guards against a soak that misses a request that is lost when its node stops."""

    def setUp(self) -> None:
        self.disturbances = Disturbances(Clock())
        self.vms = [SimpleNamespace(stops=[], target_stops_s=[]) for _ in range(2)]
        self.vms[0].stops.append(Stop(1, 100.0))

    def find(self, runs: list[Run], **changes: object) -> int:
        lost = {"ending": "reset", "status": 0, "seal": "", **changes}
        request = make_request(**lost)
        return len(find_losses([request], {"r1": runs}, self.vms, self.disturbances))

    def test_run_without_a_whole_answer(self) -> None:
        for ending in ("closed", "reset"):
            self.assertEqual(self.find([make_run(1)], ending=ending), 1)
        self.assertEqual(self.find([make_run(1)], ending="answered", status=200, seal="s"), 0)

    def test_run_answered_with_a_failure_of_the_node(self) -> None:
        self.assertEqual(self.find([make_run(1)], ending="answered", status=502), 1)
        self.assertEqual(self.find([make_run(1)], ending="answered", status=500, seal="s"), 0)

    def test_not_run_and_closed_late(self) -> None:
        self.assertEqual(self.find([], sent_s=101.0, ended_s=101.3), 1)
        self.assertEqual(self.find([], sent_s=101.0, ended_s=101.15), 0)
        self.assertEqual(self.find([], sent_s=101.0, ended_s=101.3, lag_s=0.15), 0)
        self.assertEqual(self.find([], sent_s=101.0, ended_s=101.3, is_behind=True), 0)

    def test_request_behind_another_that_ran(self) -> None:
        self.assertEqual(self.find([make_run(1)], is_behind=True), 1)

    def test_other_incarnation_or_time(self) -> None:
        self.assertEqual(self.find([make_run(1)], incarnations=(2, 2)), 0)
        self.assertEqual(self.find([make_run(1)], sent_s=99.0, ended_s=99.9), 0)
        self.assertEqual(self.find([make_run(1)], sent_s=107.0, ended_s=107.1), 0)

    def test_connection_that_outlives_the_process(self) -> None:
        """The next start may come before the caller sees the end of its connection."""
        self.assertEqual(self.find([make_run(1)], incarnations=(1, 2)), 1)

    def test_target_that_broke_off(self) -> None:
        self.assertEqual(self.find([make_run(1, is_broken_off=True)]), 0)
        self.vms[1].target_stops_s.append(100.05)
        self.assertEqual(self.find([make_run(1)]), 0)

    def test_disruption_of_either_node(self) -> None:
        disturb(self.disturbances, 1, Kind.UNPLANNED, 97.5, 97.6)
        self.assertEqual(self.find([make_run(1)]), 0)
        self.assertEqual(self.find([make_run(0)]), 1)

    def test_disturbed_store_excuses_nothing(self) -> None:
        disturb(self.disturbances, None, Kind.STORE_PATH, 99.0, 101.0)
        self.assertEqual(self.find([make_run(1)]), 1)

    def test_timeout_of_the_route(self) -> None:
        self.assertEqual(self.find([make_run(1)], sent_s=100.0, ended_s=103.1), 0)

    def test_kept_connections_closed_at_any_time(self) -> None:
        """More than three are LOST also far from any stop."""
        first = make_request(sent_s=49.0, connection_id=1)
        closed = [
            make_request(
                request_id=f"r{number}", sent_s=50.0, ending="closed", status=0, connection_id=1
            )
            for number in range(2, 6)
        ]
        runs = {request.request_id: [make_run(1, arrived_s=50.0)] for request in closed}

        def count(requests: list[ObservedRequest]) -> int:
            found = find_closed_unanswered(requests, runs, self.vms, self.disturbances)
            return len(found)

        self.assertEqual(count([first, *closed]), 4)
        self.assertEqual(count([first, *closed[1:]]), 0)
        self.assertEqual(count(closed), 0)
        disturb(self.disturbances, 0, Kind.STORE_PATH, 47.5, 48.0)
        self.assertEqual(count([first, *closed]), 0)


class TestResponses(unittest.TestCase):
    """Guards against a truncated answer that passes for a whole one."""

    def find(self, body: bytes) -> list[str]:
        request = make_request("/reads/large-2000/1")
        request.add_body(body[:100])
        request.add_body(body[100:])
        return [v.rule for v in find_violations([request], {"r1": [make_run(0)]})]

    def test_whole_body(self) -> None:
        body = expected_body("i-0", "/reads/large-2000/1")
        self.assertEqual(len(body), 2000)
        self.assertEqual(self.find(body), [])

    def test_truncated_or_foreign_body(self) -> None:
        body = expected_body("i-0", "/reads/large-2000/1")
        self.assertEqual(self.find(body[:-1]), ["MIXED"])
        self.assertEqual(self.find(body[:-1] + b"x"), ["MIXED"])
        self.assertEqual(self.find(expected_body("i-1", "/reads/large-2000/1")), ["MIXED"])

    def test_other_body_at_the_target(self) -> None:
        request = make_request(sent_body_bytes=10)
        request.add_body(expected_body("i-0", request.path))
        for is_padding, length, expected in ((True, 10, []), (True, 9, ["UNASKED"])):
            run = make_run(body_bytes=length, is_body_padding=is_padding)
            rules = [v.rule for v in find_violations([request], {"r1": [run]})]
            self.assertEqual(rules, expected)

    def test_proper_requests_that_are_denied(self) -> None:
        """Answers of targets don't count."""
        self.assertEqual(len(find_denied([make_request(status=431, seal="")])), 1)
        self.assertEqual(find_denied([make_request(status=400), make_request()]), [])


class TestOrganisations(unittest.TestCase):
    """Guards against a soak that misses broken promises about keys, organisations and quotas."""

    def setUp(self) -> None:
        published = [
            PublishedConfiguration(4, {}, 80.0, frozenset({"lasting"})),
            PublishedConfiguration(6, {}, 90.0, frozenset({"lasting", "added"})),
            PublishedConfiguration(9, {}, 100.0, frozenset({"lasting"})),
        ]
        # Allows (2 x 5 + 6) x 1.25 + 20 = 40 requests in 5 s.
        owners = {"lasting": "acme", "added": "acme"}
        self.check = OrganisationCheck(
            published, owners, {"acme": {"rate_per_s": 2.0, "burst": 6.0}}
        )

    def find(self, request: ObservedRequest, *runs: Run) -> list[str]:
        found = self.check.find_violations([request], {request.request_id: runs})
        return [violation.rule for violation in found]

    def test_run_for_another_organisation(self) -> None:
        request = make_request(key="lasting")
        self.assertEqual(self.find(request, make_run(organisations=("acme",))), [])
        for organisations in ((), ("beta",), ("acme", "beta"), ("acme", "acme")):
            run = make_run(organisations=organisations)
            self.assertEqual(self.find(request, run), ["UNASKED"], organisations)

    def test_key_shown_to_the_target(self) -> None:
        run = make_run(organisations=("acme",), received_head="/reads/1 (('x', 'Token lasting'),)")
        self.assertEqual(self.find(make_request(key="lasting"), run), ["UNASKED"])
        self.assertEqual(self.find(make_request(key="added", sent_s=95.0), run), [])

    def test_run_with_a_key_that_was_never_held(self) -> None:
        request = make_request(key="never", status=401, seal="")
        self.assertEqual(self.find(request), [])
        self.assertEqual(self.find(request, make_run()), ["ROUTE"])

    def test_run_with_a_key_that_was_taken_away(self) -> None:
        run = make_run(organisations=("acme",))
        self.assertEqual(self.find(make_request(key="added", sent_s=104.9), run), [])
        self.assertEqual(self.find(make_request(key="added", sent_s=105.1), run), ["CONFIG"])
        self.assertEqual(self.find(make_request(key="lasting", sent_s=105.1), run), [])

    def test_denial_of_a_key_that_is_in_force(self) -> None:
        def find(key: str, sent_s: float, status: int = 401) -> list[str]:
            return self.find(make_request(key=key, sent_s=sent_s, status=status, seal=""))

        self.assertEqual(find("lasting", 85.0), ["DENIED"])
        self.assertEqual(find("lasting", 91.0, 403), ["DENIED"])
        self.assertEqual(find("lasting", 91.0, 429), [])
        self.assertEqual(find("added", 92.4), [])
        self.assertEqual(find("added", 92.6), ["DENIED"])
        # Taken away while the request waits.
        self.assertEqual(find("added", 99.95), [])

    def test_quota_exceeded(self) -> None:
        def find(count: int, pause_s: float, run_delay_s: float = 0.02) -> list[str]:
            requests = [
                make_request(request_id=f"r{i}", key="lasting", sent_s=110.0 + i * pause_s)
                for i in range(count)
            ]
            runs = {
                r.request_id: [make_run(arrived_s=r.sent_s + run_delay_s, organisations=("acme",))]
                for r in requests
            }
            return [violation.rule for violation in self.check.find_violations(requests, runs)]

        self.assertEqual(find(41, 0.1), ["QUOTA"])
        self.assertEqual(find(40, 0.1), [])
        self.assertEqual(find(80, 0.13), [])
        # Sent within 5 s, but the last of them ran later.
        self.assertEqual(find(41, 0.1, 1.5), [])


class TestLagMeter(unittest.TestCase):
    """Without the lag of the soak itself, a busy machine would look like a slow node."""

    def test_largest_lag_since_a_time(self) -> None:
        clock = Clock(10.0)
        stalls = []
        meter = LagMeter(clock, lambda *span: stalls.append(span))
        meter.add(9.0, 0.5)
        meter.add(9.98, 0.1)
        self.assertAlmostEqual(meter.largest_since(9.5), 0.1)
        self.assertAlmostEqual(meter.largest_since(8.0), 0.5)
        self.assertEqual(stalls, [(8.5, 9.0)])

    def test_sample_that_is_overdue(self) -> None:
        clock = Clock(10.0)
        meter = LagMeter(clock, lambda *_span: None)
        meter.add(9.0, 0.0)
        self.assertAlmostEqual(meter.largest_since(9.5), 0.98)


class TestStoreWriters(unittest.IsolatedAsyncioTestCase):
    """Guards against a soak whose store stays without what the platform would write again."""

    async def asyncSetUp(self) -> None:
        self.store = PlatformStore()
        self.writers = StoreWriters(self.store, random.Random(1), Clock())
        self.target = PlatformTarget("browse", "127.0.0.1", 7002, "i-0")

    def stored(self, key: str) -> dict:
        return json.loads(self.store.value(key))

    async def test_lost_configuration_and_entry_are_written_again(self) -> None:
        await self.writers.register(self.target)
        copy = self.store.take_copy()
        route = route_resource("reads", "shop.example", "/reads/", "browse")
        published = await self.writers.publish(route)
        await self.writers.register(self.target, state="draining")
        self.store.return_from_copy(copy)
        self.assertIsNone(self.store.value("op/config"))
        await self.writers.publish_again()
        self.assertEqual(self.stored("op/config")["version"], published.version)
        await self.writers.register(self.target)
        self.assertEqual(self.stored("servers/i-0")["state"], "draining")

    async def test_sequence_rises_with_each_change(self) -> None:
        await self.writers.register(self.target)
        first = self.stored("servers/i-0")["sequence"]
        await self.writers.register(self.target)
        self.assertEqual(self.stored("servers/i-0")["sequence"], first)
        await self.writers.register(self.target, state="draining")
        self.assertGreater(self.stored("servers/i-0")["sequence"], first)

    async def test_writes_wait_for_the_store(self) -> None:
        with self.writers.store_away():
            write = asyncio.ensure_future(self.writers.register(self.target))
            await asyncio.sleep(0)
            self.assertIsNone(self.store.value("servers/i-0"))
        await write
        self.assertIsNotNone(self.store.value("servers/i-0"))


if __name__ == "__main__":
    unittest.main()
