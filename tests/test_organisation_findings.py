"""Faults of keys, revocation and quotas that were found in a review."""

from __future__ import annotations

import asyncio
import functools
import json
import random
import time
import unittest
from collections import Counter
from types import SimpleNamespace
from unittest import mock

from cottonlink.organisations import (
    QuotaAnswer,
    QuotaExchange,
    QuotaGrant,
    QuotaUsage,
    key_digest,
    make_currency_proof,
    make_quota_leases,
    make_quota_ledger,
)
from cottonlink.overload import NEW_REQUEST_TIER
from cottonlink.path.peers._currency_exchange import ANSWER_TIMEOUT_MS, CurrencyExchange
from cottonlink.path.peers._frames import CurrencyAnswerFrame, PingFrame, QuotaRequestFrame
from cottonlink.path.peers._quota_service import QuotaService
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


class TestCurrency(unittest.TestCase):
    """Proofs that are younger than what they stand for."""

    def setUp(self) -> None:
        self.now = 100_000.0
        self.link = SimpleNamespace(
            knows_questions=True,
            address=("10.0.0.2", 1),
            sent=[],
        )
        self.link.send = self.link.send_or_open = self.link.sent.append
        self.state = SimpleNamespace(
            configuration=SimpleNamespace(organisations=object(), version=7),
            configuration_version=7,
            currency=make_currency_proof(REVOCATION_MS),
            currency_waits=set(),
            now_ms=lambda: self.now,
            target_address=("10.0.0.1", 1),
            peer_port=1,
            peer_links=SimpleNamespace(link=lambda _a: self.link, all=lambda: [self.link]),
            rng=mock.Mock(choice=lambda links: links[0]),
            metrics=mock.Mock(),
            log=mock.Mock(),
            is_currency_proven=lambda: True,
        )
        self.exchange = CurrencyExchange(self.state, watcher_ips=("10.0.0.2",))

    def test_answer_to_an_older_question_does_not_count_from_a_later_ping(self) -> None:
        """A ping moves the time of the question, so a delayed answer proves what it can't know."""
        asked = self.now
        self.exchange.sweep()
        (question,) = self.link.sent
        # The connection is lost and reopened; until the peer has told that it knows questions,
        # pings are sent. The answer is on its way for 10 s (or the process was frozen).
        self.link.knows_questions = False
        for _ in range(20):
            self.now += ANSWER_TIMEOUT_MS + 200.0
            self.exchange.sweep()
        self.exchange.receive(CurrencyAnswerFrame(question.number, 7, 0))
        age = self.state.currency.age_ms(self.now)
        if age is not None:
            self.assertGreaterEqual(age, self.now - asked)

    def test_node_whose_watchers_lost_the_store_is_proven_by_other_nodes(self) -> None:
        """A data centre that is cut off from the store alone serves no keys for seconds."""
        links = {}

        class Link:
            def __init__(self, address: tuple[str, int], is_current: bool) -> None:
                self.address, self.is_current, self.knows_questions = address, is_current, False

        for number in range(1, 61):
            address = (f"10.0.0.{number}", 1)
            # A third of the nodes are in the data centre that is cut off, the watchers among them.
            links[address] = Link(address, is_current=number > 20)
        state = self.state
        state.peer_links = SimpleNamespace(link=links.__getitem__, all=lambda: list(links.values()))
        unproven_ms = Counter()
        for seed in range(10):
            state.currency = make_currency_proof(REVOCATION_MS)
            state.rng = random.Random(seed)
            exchange = CurrencyExchange(state, watcher_ips=("10.0.0.2", "10.0.0.3"))
            lost_ms = self.now
            state.currency.record_store_answer(lost_ms - 1_000.0, 1, lost_ms)

            def send(frame: object, link: Link, exchange: CurrencyExchange = exchange) -> None:
                if isinstance(frame, PingFrame):
                    link.knows_questions = True
                elif link.is_current:
                    exchange.receive(CurrencyAnswerFrame(frame.number, 7, 800))
                else:
                    age_ms = int(self.now - lost_ms) + 1_000  # noqa: B023
                    exchange.receive(CurrencyAnswerFrame(frame.number, 7, age_ms))

            for link in links.values():
                link.knows_questions = link.address[0] in exchange.watcher_ips
                link.send = link.send_or_open = functools.partial(send, link=link)
            for _ in range(300):
                exchange.sweep()
                self.now += 100.0
                unproven_ms[seed] += 100 * (state.currency.valid_for_ms(self.now) <= 0)
        self.assertEqual(max(unproven_ms.values()), 0, dict(unproven_ms))

    def test_restarted_node_does_not_trust_a_store_that_has_just_returned(self) -> None:
        """A node that restarts knows no former era, and takes the copy's revoked keys for valid."""
        proof = make_currency_proof(REVOCATION_MS)
        self.assertFalse(proof.record_store_answer(1_000.0, 2, 1_010.0))


class TestHiddenKeys(unittest.TestCase):
    """Configurations whose keys are sent to other nodes as they are."""

    def assert_hidden(self, value: bytes, key: bytes = b"acme-key-1") -> None:
        self.assertNotIn(key, hide_keys(value))

    def data(self, *resources: object) -> bytes:
        data = configuration(1, READS)
        data["resources"] += resources
        return json.dumps(data).encode()

    def test_organisation_without_spec_leaves_keys_of_others_open(self) -> None:
        value = self.data(ACME, {"resource_type": "tenants", "metadata": {"name": "none"}})
        # It applies, so it is sent to all nodes.
        organisations = decode_configuration(value).organisations
        self.assertIsNotNone(organisations.find(key_digest(b"acme-key-1")))
        self.assert_hidden(value)

    def test_keys_that_are_no_list(self) -> None:
        value = self.data(
            {
                "resource_type": "tenants",
                "metadata": {"name": "a"},
                "spec": {"api_keys": "acme-key-1"},
            }
        )
        decode_configuration(value)
        self.assert_hidden(value)

    def test_key_that_is_a_number(self) -> None:
        value = self.data(organisation_resource("a", 1234567))
        decode_configuration(value)
        self.assert_hidden(value, b"1234567")

    def test_resource_without_a_type(self) -> None:
        self.assert_hidden(self.data(ACME, {"metadata": {"name": "x"}}))

    def test_malformed_json(self) -> None:
        self.assert_hidden(self.data(ACME)[:-1])


class TestConfiguration(unittest.TestCase):
    """Malformed entries."""

    def decode(self, *resources: object) -> object:
        data = configuration(1, READS)
        data["resources"] += resources
        return decode_configuration(hide_keys(json.dumps(data).encode()))

    def test_empty_key_is_no_key(self) -> None:
        """A caller that sends ``Authorization: Token`` would run as this organisation."""
        decoded = self.decode(organisation_resource("empty", "", "real"))
        digest = PlatformHeaderCodec().key_digest(((b"Authorization", b"Token"),))
        self.assertIsNone(decoded.organisations.find(digest))
        self.assertTrue(decoded.problems)

    def test_malformed_metadata_leaves_the_rest_in_force(self) -> None:
        """Nothing of the configuration applied, a revocation in it neither."""
        decoded = self.decode(ACME, {"resource_type": "tenants", "metadata": "x", "spec": {}})
        self.assertIsNotNone(decoded.organisations.find(key_digest(b"acme-key-1")))

    def test_name_with_line_breaks_is_a_problem(self) -> None:
        """The name would add a header, or a request, to what targets receive."""
        decoded = self.decode(organisation_resource("a\r\nX-Role: admin", "k"))
        self.assertIsNone(decoded.organisations.find(key_digest(b"k")))

    def test_empty_rate_is_a_problem(self) -> None:
        """An organisation was without a limit, and nothing told the operator."""
        decoded = self.decode(organisation_resource("a", "k", rate_per_s="", burst=[]))
        self.assertTrue(decoded.problems)

    def test_name_that_a_caller_sent_is_read_or_ignored(self) -> None:
        """A node without organisations passes on whatever a caller has put in the header."""
        self.assertEqual(PlatformHeaderCodec().organisation(((b"X-Tenant", b"\xff"),)), "")

    def test_key_behind_a_tab_is_not_passed_on(self) -> None:
        """The key reaches the target of an open route."""
        headers = ((b"Authorization", b"Token\tacme-key-1"),)
        kept = PlatformHeaderCodec().without_credentials(headers, needs_key=False)
        self.assertNotIn(b"acme-key-1", str(kept).encode())


class TestLeases(unittest.TestCase):
    """Requests that wait for tokens."""

    def test_waiting_request_is_asked_for_once(self) -> None:
        """A request that came during an exchange was counted twice, and took two tokens."""
        leases = make_quota_leases()
        leases.set_quotas({"acme": (1.0, 5.0)}, 0.0)
        leases.set_node_count(2)
        leases.set_stewards(["10.0.0.1"], 0.0)
        self.assertFalse(leases.try_take("acme", 0.0))
        first = leases.begin_exchange(0.0)
        self.assertFalse(leases.try_take("acme", 1.0))
        leases.apply(first.number, QuotaAnswer((QuotaGrant("acme", 1),), 1.0), 2.0)
        # As the service does for each request that waits.
        self.assertTrue(leases.try_take("acme", 2.0, waited=True))
        self.assertFalse(leases.try_take("acme", 2.0, waited=True))
        second = leases.begin_exchange(2.0)
        self.assertEqual([usage.waiting for usage in second.usages], [1])

    def test_tokens_that_come_back_late_stay_within_the_bound(self) -> None:
        """Requests refused after 3 s in queues return tokens of a window that is over."""
        leases, ledger = make_quota_leases(), make_quota_ledger()
        for side in (leases, ledger):
            side.set_quotas({"acme": (100.0, 10.0)}, 0.0)
            side.set_node_count(1)
        leases.set_stewards(["10.0.0.1"], 0.0)
        runs, held = [], []
        for now_ms in range(14_000):
            requests = 1 if now_ms >= 8_000 else now_ms % 10 == 0
            for _ in range(requests):
                if not leases.try_take("acme", now_ms):
                    continue
                if 5_000 <= now_ms < 8_000:
                    held.append(now_ms)
                else:
                    runs.append(now_ms)
            if now_ms == 8_000:
                for taken_ms in held:
                    leases.give_back("acme", taken_ms, now_ms)
            if leases.wants_exchange(now_ms):
                exchange = leases.begin_exchange(now_ms)
                answer = ledger.exchange("10.0.0.1", exchange.usages, now_ms)
                leases.apply(exchange.number, answer, now_ms)
        most = max(sum(s <= t < s + 5_000 for t in runs) for s in range(0, 9_000, 100))
        self.assertLessEqual(most, (100 * 5 + 10) * 1.25 + 20)


class TestService(unittest.IsolatedAsyncioTestCase):
    """The service around the leases."""

    async def test_new_steward_is_asked_while_the_former_one_owes_an_answer(self) -> None:
        """Requests that wait get 429 as nothing is asked for 300 ms after the steward has left."""
        loop = asyncio.get_running_loop()
        sent: list[tuple[str, object]] = []

        def link(address: tuple[str, int]) -> SimpleNamespace:
            return SimpleNamespace(
                knows_questions=True, send=lambda f: sent.append((address[0], f))
            )

        state = SimpleNamespace(
            loop=loop,
            now_ms=lambda: loop.time() * 1000.0,
            target_address=("10.0.0.1", 1),
            peer_port=1,
            peer_links=SimpleNamespace(link=link),
            metrics=mock.Mock(),
            log=mock.Mock(),
        )
        service = QuotaService(state)
        organisations = decode_configuration(
            json.dumps(
                {
                    "version": 1,
                    "resources": [organisation_resource("acme", "k", rate_per_s=5, burst=5)],
                }
            ).encode()
        ).organisations
        service.set_organisations(organisations)
        ips = {f"10.0.0.{n}" for n in range(1, 8)}
        service.set_nodes(ips)
        if service._leases.steward == "10.0.0.1":
            state.target_address = ("10.0.0.2", 1)
        done: list[bool] = []
        service.take_or_wait("acme", done.append)
        self.assertEqual(len(sent), 1)
        former = service._leases.steward
        service.set_nodes(ips - {former})
        self.assertNotEqual(service._leases.steward, former)
        for _ in range(2):
            await asyncio.sleep(0.05)
            service.sweep()
        self.assertEqual(sent[-1][0], service._leases.steward)

    async def test_steward_without_a_configuration_grants_nothing(self) -> None:
        """A steward that has restarted grants whatever it is asked for until it is configured."""
        state = SimpleNamespace(now_ms=lambda: 0.0, configuration=None)
        frame = QuotaRequestFrame(
            "10.0.0.9", QuotaExchange(1, "", (QuotaUsage("acme", waiting=500, ahead=500),))
        )
        answer = QuotaService(state).answer(frame)
        granted = 0 if answer is None else sum(g.tokens for g in answer.answer.grants)
        self.assertEqual(granted, 0)


class TestFleet(OrganisationCase):
    """Callers of a whole fleet."""

    async def test_caller_without_key_gets_no_organisation_by_its_deadline(self) -> None:
        """The target of an open route takes an anonymous caller for the organisation."""
        release = asyncio.Event()

        async def wait(
            target: PlatformTarget, request: ReceivedRequest, _writer: asyncio.StreamWriter
        ) -> bytes:
            await release.wait()
            return target.success_response(request)

        for vm in (self.first, self.second):
            vm.target.behaviour = wait
        started = time.monotonic()
        running = [
            asyncio.ensure_future(
                self.call(
                    self.other,
                    "/reads/1",
                    authorization("acme-key-1"),
                    attempt=f"k{n}",
                    remaining_ms=1_900,
                )
            )
            for n in range(4)
        ]
        await self.wait_until(lambda: self.first.target.runs)
        spent = (time.monotonic() - started) * 1000.0
        # An anonymous caller of the node at which the request runs, with about the same deadline.
        for offset in range(0, 40, 4):
            left = int(1_900 - (time.monotonic() - started) * 1000.0 + offset - 12)
            await self.call(
                self.first, "/lookups/1", attempt=f"anonymous{offset}", remaining_ms=left
            )
        release.set()
        await asyncio.gather(*running)
        tenants = [run.header("x-tenant") for run in self.other.target.runs]
        self.assertEqual(set(tenants), {None}, spent)

    async def test_request_with_a_key_is_no_nested_call(self) -> None:
        """A caller whose ids have a dot goes before all others, past the throttle and the turns."""
        tiers: list[int] = []
        for vm in self.vms:
            dispatcher = vm.node.dispatcher
            submit = dispatcher.submit
            patch = mock.patch.object(
                dispatcher,
                "submit",
                side_effect=lambda f, *a, s=submit: tiers.append(f.tier) or s(f, *a),
            )
            patch.start()
            self.addCleanup(patch.stop)
        for n in range(20):
            await self.call(
                self.first, "/reads/1", authorization("acme-key-1"), attempt=f"client.{n}"
            )
        self.assertEqual(set(tiers), {NEW_REQUEST_TIER}, Counter(tiers))

    async def test_unknown_keys_get_401(self) -> None:
        """The wait is shorter than the time to the next proof, so most made-up keys get 503."""
        statuses = Counter()
        for n in range(8):
            vm = self.vms[n % 3]
            response = await self.call(
                vm, "/reads/1", authorization(f"none-{n}"), attempt=f"u{n}", remaining_ms=20_000
            )
            statuses[response.status] += 1
            await asyncio.sleep(0.13)
        self.assertEqual(set(statuses), {401}, statuses)

    async def test_node_is_not_idle_while_a_request_waits(self) -> None:
        """A shutdown ends the links to peers while a request still waits for its key or token."""
        waiting = asyncio.ensure_future(
            self.call(
                self.first, "/reads/1", authorization("none"), attempt="w1", remaining_ms=20_000
            )
        )
        await self.wait_until(lambda: self.first.node.state.currency_waits)
        try:
            self.assertFalse(self.first.node._ingress.is_idle)
        finally:
            await waiting


class TestQuotaFleet(OrganisationCase):
    """Tokens of requests that didn't run."""

    organisations = (
        organisation_resource("acme", "acme-key-1", "acme-key-2", rate_per_s=50, burst=50),
    )

    async def test_revoked_request_gives_its_token_back(self) -> None:
        """A request that is rejected with 401 hasn't run, but has cost a token."""
        given: list[str] = []
        state = self.first.node.state
        gate = self.first.node._ingress._key_gate
        give_back = mock.patch.object(
            type(state.quotas), "give_back", lambda _s, name, _taken_ms: given.append(name)
        )
        with (
            give_back,
            mock.patch.object(type(gate), "reason_not_to_send", lambda *_: "key_revoked"),
        ):
            response = await self.call(
                self.first, "/reads/1", authorization("acme-key-1"), attempt="g1"
            )
        self.assertEqual(response.status, 401)
        self.assertEqual(given, ["acme"])


class TestInvalidConfiguration(OrganisationCase):
    """A configuration that can't be applied as a whole."""

    async def test_configuration_that_was_not_applied_is_not_proven(self) -> None:
        """It takes a key away, but the key works on every node for as long as it stays invalid."""
        data = configuration(2, READS, {**LOOKUPS, "spec": {}})
        data["resources"] += [BETA]
        await self.store.put("op/config", data)
        await asyncio.sleep(6.0)
        response = await self.call(
            self.first, "/reads/1", authorization("acme-key-1"), attempt="i1"
        )
        self.assertNotEqual(response.status, 200)
