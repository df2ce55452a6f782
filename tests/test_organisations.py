"""Requests with API keys: whose they are, which run, and what becomes of the keys."""

from __future__ import annotations

import asyncio
import json
import unittest
from unittest import mock

import msgpack

from cottonlink.organisations import key_digest, make_currency_proof, make_key_questions
from cottonlink.organisations._currency import NEW_ERA_SETTLING_MS, PROOF_SHARE
from cottonlink.path import EventLog
from cottonlink.path.callers import _key_gate
from cottonlink.path.peers import _currency_exchange
from cottonlink.platform._headers import PlatformHeaderCodec
from cottonlink.platform._records import decode_configuration, hide_keys
from emulator.http_stand_in import ReceivedRequest
from emulator.platform_target import (
    PlatformTarget,
    configuration,
    organisation_resource,
)
from tests.organisation_fixtures import (
    ACME,
    BETA,
    LOOKUPS,
    READS,
    REVOCATION_MS,
    OrganisationCase,
    authorization,
)
from tests.platform_fixtures import WAIT_TIMEOUT_S, Response, Vm


class TestCurrencyProof(unittest.TestCase):
    """For how long a node may serve keys without hearing of the store."""

    def test_proof_counts_from_the_question(self) -> None:
        """An answer that is held up on its way would prove what is no longer so."""
        proof = make_currency_proof(REVOCATION_MS)
        proof.record_store_answer(1_000.0, 1, 4_000.0)
        self.assertEqual(proof.valid_for_ms(4_000.0), PROOF_SHARE * REVOCATION_MS - 3_000.0)

    def test_nothing_is_proven_at_the_start(self) -> None:
        """A restarted node may have taken its configuration from a peer that was cut off."""
        proof = make_currency_proof(REVOCATION_MS)
        self.assertLess(proof.valid_for_ms(0.0), 0)

    def test_peer_adds_the_age_of_its_own_proof(self) -> None:
        """Two nodes that are cut off together could keep each other's proof young."""
        first, second = (make_currency_proof(REVOCATION_MS) for _ in range(2))
        first.record_store_answer(0.0, 1, 0.0)
        for now_ms in range(100, 10_000, 100):
            second.record_peer_answer(now_ms, first.age_ms(now_ms + 5.0))
            first.record_peer_answer(now_ms + 10.0, second.age_ms(now_ms + 15.0))
        self.assertGreaterEqual(first.age_ms(10_000.0), 10_000.0)
        self.assertLess(second.valid_for_ms(10_000.0), 0)

    def test_store_that_returned_from_a_copy_proves_nothing_at_first(self) -> None:
        """The copy lacks a revocation until the operator has written it again."""
        proof = make_currency_proof(REVOCATION_MS)
        proof.record_store_answer(0.0, 1, 0.0)
        self.assertFalse(proof.record_store_answer(1_000.0, 2, 1_010.0))
        self.assertFalse(proof.record_store_answer(1_500.0, 2, 1_510.0))
        self.assertEqual(proof.age_ms(1_510.0), 1_510.0)
        later_ms = 1_010.0 + NEW_ERA_SETTLING_MS
        self.assertTrue(proof.record_store_answer(later_ms, 2, later_ms + 10.0))

    def test_without_a_promise_every_configuration_counts(self) -> None:
        """Deployments that promise no time for revocations must not refuse anybody."""
        self.assertEqual(make_currency_proof(None).valid_for_ms(1e9), float("inf"))


class TestKeyQuestions(unittest.TestCase):
    """Floods of made-up keys."""

    def test_few_requests_wait_and_refused_keys_are_forgotten(self) -> None:
        """A flood would hold a request and remember a key for each of its requests."""
        questions = make_key_questions()
        waiting = sum(questions.begin_wait() for _ in range(10_000))
        self.assertLess(waiting, 100)
        for number in range(10_000):
            questions.record_unknown(b"%d" % number, 0.0)
        remembered = sum(questions.is_refused(b"%d" % number, 1.0) for number in range(10_000))
        self.assertLess(remembered, 2_000)
        self.assertTrue(questions.is_refused(b"9999", 1.0))
        self.assertFalse(questions.is_refused(b"9999", 5_000.0))


class TestConfiguration(unittest.TestCase):
    """Organisations in the operator's configuration."""

    def decode(self, *resources: object) -> object:
        data = configuration(1, READS)
        data["resources"] += resources
        return decode_configuration(json.dumps(data).encode())

    def test_rest_holds_beside_malformed_entries(self) -> None:
        """One malformed organisation must not take the configuration from all others."""
        decoded = self.decode(
            ACME,
            {"resource_type": "tenants", "metadata": {}, "spec": {"api_keys": ["a"]}},
            {"resource_type": "tenants", "metadata": {"name": "none"}},
            organisation_resource("keyless"),
            organisation_resource("texts", "t-1", priority="high", rate_per_s="many"),
            {"resource_type": "tenants", "metadata": {"name": "one"}, "spec": {"api_keys": "b"}},
            organisation_resource("acme", "other-key"),
        )
        organisations = decoded.organisations
        self.assertEqual(organisations.find(key_digest(b"acme-key-2")).name, "acme")
        self.assertIsNone(organisations.find(key_digest(b"other-key")))
        self.assertEqual(organisations.find(key_digest(b"t-1")).rank, None)
        self.assertEqual(len(decoded.problems), 7)

    def test_key_of_two_organisations_is_nobodys(self) -> None:
        """Requests of one organisation would run under the name of the other."""
        decoded = self.decode(ACME, organisation_resource("copy", "acme-key-1", "copy-key"))
        self.assertIsNone(decoded.organisations.find(key_digest(b"acme-key-1")))
        self.assertEqual(decoded.organisations.find(key_digest(b"copy-key")).name, "copy")
        self.assertNotIn("acme-key-1", "".join(decoded.problems))

    def test_hidden_keys_are_found_and_appear_nowhere(self) -> None:
        """Nodes send each other the configuration, and would send all keys with it."""
        data = configuration(1, READS)
        data["resources"] += [ACME, BETA]
        hidden = hide_keys(json.dumps(data).encode())
        for key in (b"acme-key-1", b"acme-key-2", b"beta-key-1"):
            self.assertNotIn(key, hidden)
        organisations = decode_configuration(hidden).organisations
        self.assertEqual(organisations.find(key_digest(b"beta-key-1")).name, "beta")
        # A digest that a caller has seen is no key.
        self.assertIsNone(organisations.find(key_digest(key_digest(b"beta-key-1").hex().encode())))

    def test_configuration_without_organisations_needs_no_keys(self) -> None:
        """Deployments without organisations are served as before."""
        data = json.dumps(configuration(1, READS)).encode()
        self.assertIs(hide_keys(data), data)
        self.assertIsNone(decode_configuration(data).organisations)


class TestHeaders(unittest.TestCase):
    """What a caller may claim in its headers."""

    def test_credentials_are_found_in_any_spelling(self) -> None:
        """A target would believe an organisation that the caller has named itself."""
        headers = (
            (b"x-tenant", b"beta"),
            (b"X_Tenant", b"beta"),
            (b"AUTHORIZATION", b" token  acme-key-1 "),
            (b"Accept", b"*/*"),
        )
        codec = PlatformHeaderCodec()
        self.assertEqual(codec.key_digest(headers), key_digest(b"acme-key-1"))
        kept = codec.without_credentials(headers, needs_key=True)
        self.assertEqual(kept, ((b"Accept", b"*/*"),))

    def test_two_keys_are_none(self) -> None:
        """Two nodes could take a different one of them."""
        headers = ((b"Authorization", b"Token a"), (b"authorization", b"Token b"))
        self.assertIsNone(PlatformHeaderCodec().key_digest(headers))

    def test_other_credentials_reach_targets_of_open_routes(self) -> None:
        """Where the system needs no key, callers may log in at the target itself."""
        headers = ((b"Authorization", b"Basic abc"),)
        codec = PlatformHeaderCodec()
        self.assertEqual(codec.without_credentials(headers, needs_key=False), headers)
        self.assertEqual(codec.without_credentials(headers, needs_key=True), ())


class KeyCase(OrganisationCase):
    """Requests with keys, and what targets get of them."""

    def runs(self) -> list[ReceivedRequest]:
        return [run for vm in self.vms for run in vm.target.runs]

    async def read(self, vm: Vm, key: str | None, *extra: str, **options: object) -> Response:
        lines = extra if key is None else (authorization(key), *extra)
        return await self.call(vm, "/reads/1", *lines, **options)


class TestKeys(KeyCase):
    """Whose request it is."""

    async def test_target_gets_the_name_and_not_the_key(self) -> None:
        """Keys were passed on to targets, with the name that the caller claimed."""
        for number in range(12):
            response = await self.read(
                self.vms[number % 3], "acme-key-1", "X-Tenant: beta", attempt=f"r{number}"
            )
            self.assertEqual(response.status, 200)
        for run in self.runs():
            tenants = [value for name, value in run.headers if name.lower() == "x-tenant"]
            self.assertEqual(tenants, ["acme"])
            self.assertNotIn("acme-key-1", str(run.headers))

    async def test_unknown_and_missing_keys_run_nothing(self) -> None:
        """Requests ran whose key no configuration ever held."""
        with mock.patch.object(_key_gate, "MAX_WAIT_MS", WAIT_TIMEOUT_S * 1000.0):
            for key in (None, "no-such-key", "", "acme-key-1 acme-key-1"):
                response = await self.read(self.first, key, remaining_ms=120_000)
                self.assertEqual(response.status, 401)
        self.assertEqual(self.runs(), [])

    async def test_open_route_needs_no_key(self) -> None:
        """Calls that targets make carry no key."""
        response = await self.call(self.first, "/lookups/1", "X-Tenant: beta")
        self.assertEqual(response.status, 200)
        self.assertNotIn("beta", str(self.runs()[0].headers))

    async def test_calls_of_a_run_carry_its_organisation(self) -> None:
        """A nested call has no key, but takes the room of the organisation that caused it."""

        async def call_on(
            target: PlatformTarget, request: ReceivedRequest, _writer: asyncio.StreamWriter
        ) -> bytes:
            vm = next(vm for vm in self.vms if vm.target is target)
            attempt = f"{request.header('x-attempt-id')}.c1"
            await self.call(vm, "/lookups/2", "X-Tenant: beta", attempt=attempt)
            return target.success_response(request)

        for vm in (self.first, self.second):
            vm.target.behaviour = call_on
        self.assertEqual((await self.read(self.other, "acme-key-1")).status, 200)
        self.assertEqual(self.other.target.runs[0].header("x-tenant"), "acme")

    async def test_keys_appear_in_no_frame_log_line_or_metric(self) -> None:
        """Whoever reads what nodes send, log or report could act as a caller."""
        texts: list[bytes] = []

        def pack(fields: object) -> bytes:
            texts.append(msgpack.packb(fields))
            return texts[-1]

        packer = mock.Mock(packb=pack)
        log = mock.patch.object(EventLog, "append", lambda _log, line: texts.append(line))
        with mock.patch("cottonlink.path.peers._frames.msgpack", packer), log:
            await self.publish(2, ACME, BETA)
            for number, vm in enumerate(self.vms):
                texts.append(repr(vm.node.store_view.snapshot()).encode())
                await self.read(vm, "acme-key-1", attempt=f"a{number}")
                await self.read(vm, "no-such-key", attempt=f"b{number}")
                texts.append(vm.node.state.metrics.render())
        text = b"".join(texts)
        self.assertIn(b"/reads/1", text)
        self.assertIn(b"request_refused", text)
        for key in (b"acme-key-1", b"beta-key-1", b"no-such-key"):
            self.assertNotIn(key, text)

    async def test_key_that_is_on_its_way_waits(self) -> None:
        """A caller with a key that was just added got 401, after which callers don't come again."""
        data = configuration(2, READS, LOOKUPS)
        data["resources"] += [ACME, BETA, organisation_resource("new", "new-key")]
        with mock.patch.object(_key_gate, "MAX_WAIT_MS", WAIT_TIMEOUT_S * 1000.0):
            waiting = [
                asyncio.ensure_future(
                    self.read(vm, "new-key", attempt=f"n{index}", remaining_ms=120_000)
                )
                for index, vm in enumerate(self.vms)
            ]
            await asyncio.sleep(0.01)
            await self.store.put("op/config", data)
            statuses = [response.status for response in await asyncio.gather(*waiting)]
        self.assertEqual(statuses, [200, 200, 200])

    async def test_priority_of_the_organisation_goes_before_the_routes(self) -> None:
        """The operator's priority of an organisation had no effect."""
        ranks: list[int] = []
        submit = self.first.node.dispatcher.submit
        dispatcher = self.first.node.dispatcher
        with mock.patch.object(
            dispatcher, "submit", side_effect=lambda f, *a: ranks.append(f.rank) or submit(f, *a)
        ):
            await self.store.remove("servers/i-2")
            await self.wait_until(lambda: len(self.first.node.state.load_balancer.upstreams()) == 2)
            await self.read(self.first, "acme-key-1", attempt="p1")
            await self.read(self.first, "beta-key-1", attempt="p2")
        self.assertEqual(ranks, [0, 1])


class TestRevocation(KeyCase):
    """Keys that are taken away while nodes hear nothing."""

    revocation_s = 2.5

    async def test_node_without_contact_stops_serving_keys(self) -> None:
        """A node that is cut off went on running requests with a key that was taken away."""
        self.store.fault = "silent"
        await asyncio.sleep(self.revocation_s)
        before = len(self.runs())
        for vm in self.vms:
            response = await self.read(vm, "acme-key-1", attempt=f"cut-{vm.settings.node}")
            self.assertEqual(response.status, 503)
            self.assertIn("retry-after", response.headers)
        self.assertEqual(len(self.runs()), before)
        # Routes that need no key don't depend on the proof.
        self.assertEqual((await self.call(self.first, "/lookups/1")).status, 200)
        self.store.fault = None
        await self.wait_until(lambda: self.first.node.state.is_currency_proven())
        self.assertEqual((await self.read(self.first, "acme-key-1")).status, 200)

    async def test_node_that_the_store_turns_away_asks_a_peer(self) -> None:
        """A node that only the store refuses would serve no caller with a key."""
        follower = self.other.follower
        for task in self.other.tasks:
            task.cancel()
        self.assertIsNotNone(follower)
        await asyncio.sleep(2 * self.revocation_s)
        self.assertTrue(self.other.node.state.is_currency_proven())
        self.assertEqual((await self.read(self.other, "acme-key-1")).status, 200)

    async def test_peer_with_another_version_proves_nothing(self) -> None:
        """A node that missed the revocation would be told that its configuration is current."""
        for task in self.other.tasks:
            task.cancel()
        with mock.patch.object(self.other.follower, "apply_changes"):
            self.other.node.store_view = mock.Mock(snapshot_request=lambda: None)
            data = configuration(2, READS, LOOKUPS)
            data["resources"] += [BETA]
            await self.store.put("op/config", data)
            await self.wait_until(lambda: self.first.node.state.configuration_version == 2)
            await asyncio.sleep(self.revocation_s)
            self.assertFalse(self.other.node.state.is_currency_proven())
            response = await self.read(self.other, "acme-key-1")
        self.assertEqual(response.status, 503)

    async def test_queued_request_of_a_revoked_key_does_not_run_again(self) -> None:
        """A request that was admitted before waits for its second try while the key goes."""

        async def refuse(
            target: PlatformTarget, request: ReceivedRequest, _writer: asyncio.StreamWriter
        ) -> bytes:
            await self.publish(2, BETA)
            return b""

        for vm in (self.first, self.second):
            vm.target.behaviour = refuse
        response = await self.read(self.first, "acme-key-1")
        self.assertNotEqual(response.status, 200)
        self.assertEqual(len(self.runs()), 1)


class TestConstants(unittest.TestCase):
    """Waits that belong together."""

    def test_proofs_are_renewed_well_before_they_lapse(self) -> None:
        """A proof that is renewed too late would interrupt callers in calm."""
        promised_ms = PROOF_SHARE * REVOCATION_MS
        renewal_ms = _currency_exchange.RENEWAL_AGE_MS + 4 * _currency_exchange.ANSWER_TIMEOUT_MS
        self.assertLess(renewal_ms, promised_ms / 2)
        self.assertGreater(_key_gate.MAX_WAIT_MS, 2 * _currency_exchange.ANSWER_TIMEOUT_MS)


if __name__ == "__main__":
    unittest.main()
