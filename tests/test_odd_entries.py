"""Odd entries among those of the targets, and odd values on every other way into a node.

Guards against nodes that stopped following the store for one deeply nested entry, and calls that
waited until their deadline for an address to which no connection can be opened
(docs/incidents/odd-entries.md).
"""

from __future__ import annotations

import asyncio
import itertools
import json
import time
import unittest
from unittest import mock

import msgpack

from cottonlink.errors import CottonlinkError
from cottonlink.path import StoreItem, StorePosition
from cottonlink.path._model import NotRun
from cottonlink.path.peers._frame_reader import FrameReader
from cottonlink.path.peers._frames import CallFrame
from cottonlink.path.peers._peer_links import PeerLink, PeerLinkListener
from cottonlink.path.target._target_pool import TargetPool
from cottonlink.platform._headers import PlatformHeaderCodec
from cottonlink.platform._records import decode_configuration, decode_item, hide_keys
from cottonlink.platform._upstream_entries import decode_upstream
from emulator.platform_target import configuration, organisation_resource, route_resource
from tests.connection_fixtures import HEAD, ConnectionCase
from tests.platform_fixtures import WAIT_TIMEOUT_S, FleetCase, Vm

ENTRY = {
    "service": "browse",
    "address": "127.0.0.9:8080",
    "zone": "hall-a",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "warmup_left_s": 0,
    "sequence": 7,
    "born": 1_700_000_000_000,
}
DEPTHS = (1, 50, 200, 254, 255, 300, 500, 900, 980, 1_000, 1_020, 1_024, 1_100, 5_000, 100_000)
NOT_UPSTREAMS = {
    "address": (
        "", ":", ":80", "80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:0", "127.0.0.1:-1",
        "127.0.0.1:65536", "127.0.0.1:99999", f"127.0.0.1:{10**30}", "127.0.0.1: 80",
        "127.0.0.1:+80", "127.0.0.1:8_0", "127.0.0.1:\u0668\u0660", "127.0.0.1:80 ", "[::1:80",
        "127.0.0.1:0x50", "127.0.0.1:1e3", "[::1]:80", " :80", "..:80", ".:80", "a..b:80",
        "x" * 70 + ":80",
        "a\0b:80", "256.1.1.1:80", "127.0.0.01:80", "127.1:80", "2130706433:80", "0.0.0.0:80",
        "255.255.255.255:80", "224.0.0.1:80", "localhost:80", "127.0.0.1\n:80", "http://127.0.0.1:80",
    ),
    "slots": (0, -1, 2**31, 2**53, 2**63, 2**64, 10**30, 1.5, 4.0, "4", True),
    "born": (-1, 1.5, 2**53 + 1, 2**63, 10**30, "1700000000000", None, False),
    "warmup_left_s": (-1, 1e308, 10**30, "0", None, True, 90_000),
    "sequence": (-1, 1.5, 2**63, 10**30, "7", None, True),
    "service": ("", "x" * 201, "x" * 300_000, "a\nb", "a\0", 1),
    "zone": ("", "x" * 201, "x" * 300_000, "a\nb", "\x7f", 1),
    "version": (1, None),
    "state": ("", "Ready", "gone", "ready ", 1, None),
}  # fmt: skip
BAD_ADDRESSES = (("..", 80), ("a\0b", 80), ("x" * 70, 80), ("127.0.0.1", 99_999), ("127.0.0.1", -1))


def nested(depth: int, kind: str = "list") -> str:
    """Return JSON that is nested so deep."""
    if kind == "list":
        return "[" * depth + "]" * depth
    return '{"a":' * depth + "1" + "}" * depth


def entry_with(name: str, text: str) -> bytes:
    """Return an entry in which a field has a value that is given as JSON."""
    fields = {**{key: json.dumps(value) for key, value in ENTRY.items()}, name: text}
    return ("{" + ",".join(f'"{key}":{value}' for key, value in fields.items()) + "}").encode()


def odd_entries() -> list[bytes]:
    """Return entries that name no upstream."""
    odd = [
        entry_with(name, json.dumps(value))
        for name, values in NOT_UPSTREAMS.items()
        for value in values
    ]
    odd += [
        entry_with(name, nested(depth, kind))
        for name, depth, kind in itertools.product(ENTRY, DEPTHS, ("list", "object"))
    ]
    odd += [nested(depth, kind).encode() for depth in DEPTHS for kind in ("list", "object")]
    odd += [b"", b"null", b"7", b'"x"', b"{}", b"[]", b"\xff\xfe", b"{", b"NaN", b'{"state":1e999}']
    odd.append(entry_with("slots", "9" * 5_000))
    odd.append(entry_with("born", "1" + "0" * 400))
    odd.append(entry_with("slots", "NaN"))
    return odd


def item(value: bytes, key: str = "servers/i-odd") -> StoreItem:
    """Return an item of the store."""
    return StoreItem(key, StorePosition(1, 1), value)


class TestEntries(unittest.TestCase):
    """What is an upstream, and what isn't."""

    def test_odd_entry_names_no_upstream(self) -> None:
        """Whatever it holds, nothing but the error for a record that can't be used comes of it."""
        for value in odd_entries():
            with self.subTest(value=value[:120], length=len(value)):
                with self.assertRaises(CottonlinkError) as caught:
                    decode_upstream(item(value))
                self.assertEqual(caught.exception.code, "record_invalid")
                self.assertLess(len(caught.exception.detail), 1_000)

    def test_id_that_is_no_header_value_is_refused(self) -> None:
        """It is sent to the target in a header, and must not end that line."""
        for upstream_id in ("", "a\r\nX-Other: 1", "a\nb", "a\0", "\u00e4", "x" * 201):
            with self.subTest(upstream_id=upstream_id), self.assertRaises(CottonlinkError):
                decode_upstream(item(json.dumps(ENTRY).encode(), f"servers/{upstream_id}"))

    def test_proper_entries_are_used(self) -> None:
        """The check must not cost an upstream that is one."""
        for changes in (
            {},
            {"address": "10.128.0.9:1"},
            {"address": "10.0.0.255:65535"},
            {"slots": 1_000_000},
            {"warmup_left_s": 4.25},
            {"state": "draining"},
            {"sequence": 0},
            {"zone": "vasteras-hall"},
            {"service": "s" * 200},
            {"more": [[[{"nested": 1}]]]},
        ):
            with self.subTest(changes=changes):
                decode_upstream(item(json.dumps({**ENTRY, **changes}).encode()))
        without_start = {key: value for key, value in ENTRY.items() if key != "born"}
        upstream = decode_upstream(item(json.dumps(without_start).encode()))
        self.assertIsNone(upstream.started_at_ms)


class TestItems(unittest.TestCase):
    """The store's own items, around the values."""

    def test_odd_item_raises_nothing_else(self) -> None:
        """A revision must fit the frames between nodes."""
        for data in (
            None, 1, "x", [], [[]], {}, {"key": 1, "revision": 1}, {"key": "a"},
            {"key": "a", "revision": "1"}, {"key": "a", "revision": True},
            {"key": "a", "revision": -1}, {"key": "a", "revision": 2**63},
            {"key": "a", "revision": 1.5}, {"key": json.loads(nested(900)), "revision": 1},
            {"key": "a", "revision": json.loads(nested(900))},
        ):  # fmt: skip
            with self.subTest(data=str(data)[:60]), self.assertRaises(CottonlinkError):
                decode_item(data, 1)

    def test_item_whose_value_cannot_be_decoded_is_empty(self) -> None:
        """Its key is known, so it replaces what the key had."""
        for value in ("?", "YQ", "YQ==!", 1, None, json.loads(nested(900))):
            decoded = decode_item({"key": "servers/a", "revision": 3, "value": value}, 1)
            self.assertEqual(decoded, StoreItem("servers/a", StorePosition(1, 3), b""))


class TestConfigurations(unittest.TestCase):
    """The same in the operator's configuration."""

    def test_odd_configuration_raises_nothing_else(self) -> None:
        """Deeply nested, huge and duplicate fields, in entries of each type."""
        resources = configuration(
            4, route_resource("r", "h", "/r/", "s"), organisation_resource("o", "k1")
        )["resources"]
        texts = [nested(depth, kind) for depth in DEPTHS for kind in ("list", "object")]
        texts += ["1e308", "-1e308", "1e999", "9" * 400, "9" * 5_000, str(2**63), "-1", "0", "null"]
        texts += ['"' + "x" * 300_000 + '"']
        for index, resource in enumerate(resources):
            for name, text in itertools.product(resource["spec"], texts):
                changed = json.loads(json.dumps(resources))
                changed[index]["spec"][name] = "@"
                data = json.dumps({"version": 4, "resources": changed}).replace('"@"', text)
                with self.subTest(resource=index, name=name, text=text[:30]):
                    self.check(data.encode())
        for text in texts:
            for place in ("version", "resources", "metadata"):
                data = json.dumps({"version": 4, "resources": resources})
                if place == "metadata":
                    data = data.replace('{"name": "r"}', f'{{"name": {text}}}')
                else:
                    data = data[:-1] + f',"{place}": {text}}}'
                with self.subTest(place=place, text=text[:30]):
                    self.check(data.encode())

    def check(self, value: bytes) -> None:
        """Check that a configuration is usable with all that it holds, or refused."""
        try:
            decoded = decode_configuration(hide_keys(value))
        except CottonlinkError as error:
            self.assertEqual(error.code, "record_invalid")
            return
        self.assertLessEqual(decoded.version, 2**53)
        for route in decoded.routes:
            self.assertIsInstance(route.name, str)
            self.assertLessEqual(len(route.name), 200)
            self.assertLessEqual(max(route.timeout_ms, route.objective_ms), 86_400_000)
            self.assertLessEqual(abs(route.rank), 2**53)
            self.assertLess(sum(service.weight for service in route.services), float("inf"))
        if decoded.organisations is not None:
            for organisation in decoded.organisations.organisations:
                quota = organisation.quota
                self.assertTrue(quota is None or max(quota.rate_per_s, quota.burst) <= 1e9)

    def test_keys_are_hidden_however_deep_the_rest_is(self) -> None:
        """Guards against a follower that ends at what the serializer can't take."""
        for depth in DEPTHS:
            data = json.dumps(configuration(4, organisation_resource("o", "secret-key")))
            data = data[:-1] + f',"more": {nested(depth)}}}'
            self.assertNotIn(b"secret-key", hide_keys(data.encode()))


class TestHeaders(ConnectionCase):
    """What a target says of itself in headers."""

    def test_odd_limits_are_refused(self) -> None:
        """No number of requests per second follows from them."""
        codec = PlatformHeaderCodec()
        for value in (
            b"nan",
            b"inf",
            b"-1",
            b"1e400",
            b"9" * 5_000,
            b"",
            b"x",
            b"0x10",
            b"1_0",
            b"1e9999",
        ):
            with self.subTest(value=value[:20]), self.assertRaises(CottonlinkError):
                codec.limit_per_s(((b"Server-Limit", value),))
        self.assertEqual(codec.limit_per_s(((b"Server-Limit", b"12.5"),)), 12.5)

    def test_odd_keep_alive_costs_no_response(self) -> None:
        """Guards against a whole response that was lost for the number of digits of a time-out."""
        for value in (b"9" * 400, b"9" * 5_000, b"-1", b"1e5", b"", b"nan", b"0"):
            with self.subTest(value=value[:20]):
                self.setUp()
                head = HEAD + b"Keep-Alive: timeout=" + value + b"\r\nContent-Length: 2\r\n\r\n"
                self.feed((head + b"ok",))
                (result,) = self.results
                self.assertEqual(bytes(result.body), b"ok")


class TestFrames(unittest.TestCase):
    """What a peer sends."""

    def test_deeply_nested_frame_is_refused(self) -> None:
        """The message about a value must not raise either."""
        for depth in (10, 200, 400, 500, 511, 512, 900, 1_000, 1_020, 1_024, 5_000):
            value = b"\x91" * depth + b"\xc0"
            for start in (b"", b"\x92\x01", msgpack.packb(8)):
                with self.subTest(depth=depth), self.assertRaises(CottonlinkError):
                    list(FrameReader().feed(start + value))


class TestConnecting(unittest.IsolatedAsyncioTestCase):
    """Addresses to which no connection can be opened, wherever they came from."""

    async def test_calls_are_told_whatever_ends_the_connecting(self) -> None:
        """Guards against calls that wait until their deadline, as the error is no OSError."""
        loop = asyncio.get_running_loop()
        for address in BAD_ADDRESSES:
            with self.subTest(address=address):
                link = PeerLink(address, PeerLinkListener(), loop)
                outcomes: list = []
                link.call(make_call(), outcomes.append)
                await self.wait_for(outcomes)
                self.assertEqual(outcomes, [NotRun("peer_unreachable")])
                failures: list = []
                pool = TargetPool(address, b"x-attempt-id", loop)
                pool.acquire(
                    must_be_fresh=True,
                    request_id=b"a1",
                    on_ready=lambda _connection: None,
                    on_failure=failures.append,
                )
                await self.wait_for(failures)
                self.assertEqual(failures, ["target_unreachable"])

    async def test_calls_are_told_when_the_link_closes_before_it_is_open(self) -> None:
        """A target that leaves while its first calls wait for the connection."""
        link = PeerLink(("127.0.0.1", 9), PeerLinkListener(), asyncio.get_running_loop())
        outcomes: list = []
        link.call(make_call(), outcomes.append)
        link.close()
        self.assertEqual(outcomes, [NotRun("peer_unreachable")])

    async def wait_for(self, results: list) -> None:
        """Wait for the first result."""
        end_s = time.monotonic() + WAIT_TIMEOUT_S
        while not results and time.monotonic() < end_s:
            await asyncio.sleep(0.01)


def make_call() -> CallFrame:
    """Return a call."""
    return CallFrame(
        1, "i-1", "browse", b"id", b"GET", b"/reads/1", b"shop.example", (), b"",
        1_000, 500, 1, 0, True, False, "reads",
    )  # fmt: skip


class TestNodesBesideOddEntries(FleetCase):
    """Nodes that follow the store while another writer is at work."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.near = await self.add_vm("browse", "i-1")
        self.far = await self.add_vm("shop", "i-2")
        self.version = 4
        await self.check_all_follow()

    async def check_all_follow(self) -> None:
        """Check that a change reaches all nodes, and that they serve without a failed send."""
        self.version += 1
        routes = (
            route_resource("reads", "shop.example", "/reads/", "browse"),
            route_resource("shop", "shop.example", "/shop/", "shop"),
        )
        await self.store.put("op/config", configuration(self.version, *routes))
        await self.wait_until(
            lambda: all(vm.node.state.configuration_version == self.version for vm in self.vms)
        )
        for vm in self.vms:
            self.assertFalse([task for task in vm.tasks if task.done()])
            self.assertEqual(self.upstream_ids(vm), {"i-1", "i-2"})
            for path in ("/reads/1", "/shop/1"):
                response = await self.call(vm, path, remaining_ms=1_000)
                self.assertEqual(response.status, 200)

    def upstream_ids(self, vm: Vm) -> set[str]:
        """Return the ids of the upstreams that a node uses."""
        return {u.upstream_id for u in vm.node.state.load_balancer.upstreams()}

    async def test_odd_entries_leave_the_others_in_force(self) -> None:
        """They come by the watch, in the first read of a node, and from its peers."""
        failed = mock.Mock()
        for vm in self.vms:
            vm.follower._log_failure = failed
        odd = odd_entries()
        for start in range(0, len(odd), 12):
            for number, value in enumerate(odd[start : start + 12]):
                await self.store.put(f"servers/i-odd-{number}", value)
            if start % 120 == 0:
                await self.check_all_follow()
        await self.check_all_follow()
        self.far = await self.restart_node(self.far)
        self.far.follower._log_failure = failed
        await self.wait_until(lambda: self.upstream_ids(self.far) == {"i-1", "i-2"})
        await self.store.compact()
        await self.check_all_follow()
        failed.assert_not_called()

    async def test_odd_configurations_leave_the_last_one_in_force(self) -> None:
        """Entries are still read beside one that can't be."""
        for depth in DEPTHS:
            data = json.dumps(configuration(9_000 + depth, organisation_resource("o", "k1")))
            data = data.replace('"resources": [', f'"resources": [{nested(depth)}, ')
            await self.store.put("op/config", data.encode())
        entry = self.far.target.entry(slots=9)
        await self.store.put("servers/i-2", entry)
        await self.wait_until(
            lambda: all(
                {u.slots for u in vm.node.state.load_balancer.upstreams()} == {16, 9}
                for vm in self.vms
            )
        )
        await self.check_all_follow()

    async def test_odd_items_leave_the_others_in_force(self) -> None:
        """The store itself may hand out what can't be read."""
        answer = self.store._json
        odd = [None, {"key": 7, "revision": 1}, {"key": "servers/i-9", "revision": 2**63}]
        odd += [json.loads(nested(200)), {"key": "servers/i-9", "revision": 1, "value": "?"}]

        def add_odd_items(status: int, data: dict) -> bytes:
            for name in ("items", "events"):
                if data.get(name):
                    data = {**data, name: [*odd, *data[name], None]}
            return answer(status, data)

        self.store._json = add_odd_items
        await self.check_all_follow()
        self.far = await self.restart_node(self.far)
        await self.wait_until(lambda: self.upstream_ids(self.far) == {"i-1", "i-2"})
        await self.check_all_follow()

    async def test_page_that_leads_nowhere_ends_the_read(self) -> None:
        """Guards against a node that asks for the same page of a faulty store for ever."""
        answer = self.store._json
        self.store._json = lambda status, data: answer(
            status, {**data, "has_more": True} if "items" in data else data
        )
        asked = len(self.store.request_targets)
        await self.store.compact()
        await asyncio.sleep(1.0)
        self.assertLess(len(self.store.request_targets) - asked, 100)
        self.store._json = answer
        await self.check_all_follow()


del ConnectionCase, FleetCase


if __name__ == "__main__":
    unittest.main()
