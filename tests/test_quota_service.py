"""Quotas over several nodes: leases between real nodes, and what callers get."""

from __future__ import annotations

import asyncio
import time
from collections import Counter

import msgpack

from cottonlink.errors import CottonlinkError
from cottonlink.organisations import QuotaAnswer, QuotaExchange, QuotaGrant, QuotaUsage
from cottonlink.path.peers._frame_reader import FrameReader
from cottonlink.path.peers._frames import QuotaAnswerFrame, QuotaRequestFrame, encode
from cottonlink.path.peers._peer_links import PeerLink
from emulator.platform_target import configuration, organisation_resource, route_resource
from tests.platform_fixtures import FleetCase, Response, Vm

TIMES = {"timeout_s": 20, "target_latency_s": 10}
READS = route_resource("reads", "shop.example", "/reads/", "browse", **TIMES)
RATE_PER_S = 20
BURST = 10
SMALL = organisation_resource("small", "small-key", rate_per_s=RATE_PER_S, burst=BURST)
FREE = organisation_resource("free", "free-key")
# The users' bound in any window of five seconds.
WINDOW_S = 5.0
ALLOWED_IN_WINDOW = (RATE_PER_S * WINDOW_S + BURST) * 1.25 + 20


class TestQuotas(FleetCase):
    """Three nodes whose callers share the quota of one organisation."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for number in range(3):
            await self.add_vm("browse", f"i-{number}", slots=200)
        data = configuration(1, READS)
        data["resources"] += [SMALL, FREE]
        await self.store.put("op/config", data)
        await self.wait_until_version(1)
        self.sent = 0

    async def read(self, vm: Vm, key: str) -> Response:
        """Send one request with ``key``."""
        self.sent += 1
        return await self.call(
            vm, "/reads/1", f"Authorization: Token {key}", attempt=f"q{self.sent}"
        )

    async def send(self, vms: list[Vm], rate_per_s: float, for_s: float) -> list[Response]:
        """Send requests of the organisation to ``vms`` in turns, at a constant rate."""
        started_s = time.monotonic()
        calls = []
        for number in range(int(rate_per_s * for_s)):
            await asyncio.sleep(max(0.0, started_s + number / rate_per_s - time.monotonic()))
            calls.append(asyncio.ensure_future(self.read(vms[number % len(vms)], "small-key")))
        return await asyncio.gather(*calls)

    def runs(self) -> int:
        return sum(len(vm.target.runs) for vm in self.vms)

    async def test_sum_over_all_nodes_stays_within_the_quota(self) -> None:
        """Nothing counted requests of an organisation over several nodes."""
        responses = await self.send(self.vms, 100, 4.0)
        statuses = Counter(response.status for response in responses)
        self.assertEqual(set(statuses), {200, 429})
        self.assertEqual(statuses[200], self.runs())
        self.assertLessEqual(self.runs(), ALLOWED_IN_WINDOW)
        refused = next(response for response in responses if response.status == 429)
        self.assertGreater(float(refused.headers["retry-after"]), 0.0)
        # Others have no part in it.
        self.assertEqual((await self.read(self.vms[0], "free-key")).status, 200)

    async def test_requests_within_the_quota_are_not_refused(self) -> None:
        """A node whose callers send most of the requests must get most of the tokens."""
        responses = await self.send(self.vms[:1], RATE_PER_S / 2, 3.0)
        statuses = Counter(response.status for response in responses)
        self.assertEqual(statuses, {200: len(responses)})

    async def test_silent_steward_is_replaced(self) -> None:
        """Without its steward the fleet would refuse all requests of the organisation."""
        await self.send(self.vms, RATE_PER_S / 2, 1.0)
        leases = self.vms[0].node.state.quotas._leases
        steward = next(vm for vm in self.vms if vm.node.state.target_address[0] == leases.steward)
        others = [vm for vm in self.vms if vm is not steward]
        steward.node.close()
        await self.send(others, RATE_PER_S / 2, 2.0)
        responses = await self.send(others, RATE_PER_S / 4, 2.0)
        statuses = Counter(response.status for response in responses)
        self.assertGreater(statuses[200], len(responses) // 2)
        self.assertNotEqual(
            others[0].node.state.quotas._leases.steward, steward.node.state.target_address[0]
        )

    async def test_peer_that_knows_no_such_requests_gets_none(self) -> None:
        """A peer of an earlier build ends the connection at a frame that it doesn't know."""
        leases = self.vms[0].node.state.quotas._leases
        other = next(vm for vm in self.vms if vm.node.state.target_address[0] != leases.steward)
        link: PeerLink = other.node.state.peer_links.link(
            (leases.steward, other.node.state.peer_port)
        )
        await self.wait_until(lambda: link.knows_questions)
        self.assertTrue(link.knows_questions)


class TestFrames(FleetCase):
    """What nodes tell each other of quotas."""

    async def asyncSetUp(self) -> None:
        """No fleet is needed."""

    async def asyncTearDown(self) -> None:
        """Nothing was started."""

    async def test_frames_are_read_as_they_were_sent(self) -> None:
        """Returned tokens are negative usages, which no other field of a frame may be."""
        usages = (QuotaUsage("small", -3, 2, 1),)
        request = QuotaRequestFrame("10.0.0.1", QuotaExchange(7, "", usages))
        grants = (QuotaGrant("small", 3, 1, 20.0),)
        answer = QuotaAnswerFrame(7, QuotaAnswer(grants, 0.5))
        read = list(FrameReader().feed(encode(request) + encode(answer)))
        self.assertEqual(read, [request, answer])

    async def test_malformed_frames_are_rejected(self) -> None:
        """A faulty peer must not put other types into the ledger."""
        for fields in (
            (19, "a", 1, (("small", "x", 0, 0),), False),
            (19, "a", 1, (("small", 0, -1, 0),), False),
            (20, 1, (("small", -1, 0, 0),), 0.5, False),
            (20, 1, (("small", 1, 0, 0),), float("nan"), False),
        ):
            with self.assertRaises(CottonlinkError):
                list(FrameReader().feed(msgpack.packb(fields)))
