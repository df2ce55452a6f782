"""Requests that crash every target that runs them, sent again and again to a fleet of nodes."""

from __future__ import annotations

import asyncio

from attrs import evolve

from cottonlink.path._model import Answered, NotRun, Outcome, OutcomeUnknown
from cottonlink.path.peers._frames import CallFrame, PingFrame
from cottonlink.path.target._crash_guard import call_fingerprints
from emulator.http_stand_in import ReceivedRequest, make_response
from emulator.platform_target import PlatformTarget, configuration, route_resource
from tests.platform_fixtures import FleetCase, Vm

READS = route_resource("reads", "shop.example", "/reads/", "browse")
CRASH_PATH = "/reads/crash"
LIST_PATH = "/reads/list"
LIST_CRASH = "/reads/list?crash"
# Crashes the target without a query only.
BARE_CRASH = "/reads/bare"
# The target runs such a request and closes the connection without an answer.
LOST_PATH = "/reads/lost"
# The caller may resend the request this often; no test depends on the exact number.
RESENDS = 4


class CrashCase(FleetCase):
    """Three VMs of one service, linked with each other, whose targets can crash."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.crash_count = 0
        self.is_crashing = True
        # While this is cleared, requests that crash wait for it before they do.
        self.crash_gate = asyncio.Event()
        self.crash_gate.set()
        for number in range(3):
            await self.add_crashing_vm(f"i-{number}")
        await self.store.put("op/config", configuration(4, READS))
        await self.wait_until_version(4)
        await self.open_links(self.vms)

    async def add_crashing_vm(self, upstream_id: str, *, slots: int = 16) -> Vm:
        """Start a VM whose target crashes when it runs ``CRASH_PATH``."""
        vm = await self.add_vm("browse", upstream_id, slots=slots)
        vm.target.behaviour = self._run
        return vm

    async def _run(
        self, target: PlatformTarget, request: ReceivedRequest, _writer: asyncio.StreamWriter
    ) -> bytes | None:
        if request.target == LOST_PATH:
            return None
        is_crash = request.target.startswith((CRASH_PATH, LIST_CRASH))
        if not is_crash and request.target != BARE_CRASH:
            await target.answer_gate.wait()
            return target.success_response(request)
        if not self.is_crashing:
            attempt = request.header("x-attempt-id")
            return make_response(500, b"", ("X-Attempt-Id", attempt), ("X-Server-Seal", "s"))
        await self.crash_gate.wait()
        self.crash_count += 1
        await target.stop()
        return None

    async def open_links(self, vms: list[Vm]) -> None:
        """Open a link between each two of ``vms``."""
        links = [
            vm.node.state.peer_links.link((peer.target.host, vm.node.state.peer_port))
            for vm in vms
            for peer in vms
            if vm is not peer
        ]
        for link in links:
            link.send_or_open(PingFrame(0))
        await self.wait_until(lambda: all(link._current is not None for link in links))

    async def run_at(self, vm: Vm, path: str = CRASH_PATH, body: bytes = b"") -> Outcome:
        """Run a request at the target of ``vm`` and return its outcome."""
        done: asyncio.Future[Outcome] = asyncio.get_running_loop().create_future()
        frame = evolve(self._frame(vm, path), body=body)
        vm.node.dispatcher.submit(frame, ("test", frame.stream), done.set_result)
        return await asyncio.wait_for(done, 5.0)

    def _frame(self, vm: Vm, path: str) -> CallFrame:
        stream = vm.node.state.next_stream()
        return CallFrame(
            stream=stream,
            upstream_id=vm.target.upstream_id,
            caller_service="browse",
            request_id=b"a%d" % stream,
            method=b"GET",
            target=path.encode(),
            host=b"shop.example",
            headers=(),
            body=b"",
            remaining_ms=5_000,
            objective_ms=1_000,
            tier=1,
            rank=1,
            is_repeatable=True,
            is_retry=False,
            route="reads",
        )

    async def crash(self, vm: Vm, path: str = CRASH_PATH, body: bytes = b"") -> None:
        """Crash the target of ``vm``, let its node find it unreachable, and start it again."""
        self.assertIsInstance(await self.run_at(vm, path, body), OutcomeUnknown)
        await self.run_at(vm, "/reads/other")
        await vm.target.start()

    def is_refused_at(self, vm: Vm) -> bool:
        """Return whether ``vm`` refuses all requests that its quarantine lists."""
        return any(
            vm.node.state.crash_registry.quarantine.is_refused(fingerprint, round(vm.node.now_ms()))
            for fingerprint in vm.node.state.crash_registry.quarantine._entries
        )


class TestCrashDetection(CrashCase):
    """Which ends of a run count as a crash of the target."""

    async def test_crashing_request_with_a_long_body_is_recognized(self) -> None:
        """Its body isn't kept until the crash is noticed, but what tells it from others is."""
        vm, body = self.vms[0], b"crash" * 1_000
        for _ in range(2):
            await self.crash(vm, body=body)
        self.assertIsInstance(await self.run_at(vm, body=body), NotRun)
        self.assertIsInstance(await self.run_at(vm, "/reads/other", body), Answered)

    async def test_crash_counts_without_another_call_while_the_target_is_down(self) -> None:
        """A request that crashes a target must be suspect even if nothing else is sent there.

        Its caller sends it again once the targets are back, so that no call fails meanwhile.
        """
        for _ in range(RESENDS):
            for vm in self.vms:
                await self.run_at(vm)
                await asyncio.sleep(0.05)
                if vm.target._server is None:
                    await vm.target.start()
        self.assertLessEqual(self.crash_count, 3)

    async def test_crash_counts_if_the_target_is_back_before_it_is_checked(self) -> None:
        """A node that is too slow to see a crashed target down learns of it from the new entry."""
        for number, vm in enumerate(self.vms):
            vm.node._target.pool.check_target = lambda on_reachable, on_failure: on_reachable()
            if isinstance(await self.run_at(vm), OutcomeUnknown):
                await vm.target.start()
                entry = vm.target.entry(born=1_800_000_000_000 + number)
                await self.store.put(f"servers/{vm.target.upstream_id}", entry)
                await asyncio.sleep(0.3)
        self.assertEqual(self.crash_count, 2)

    async def test_crash_counts_if_the_target_accepts_a_check_just_before_it(self) -> None:
        """A check that began for an earlier lost connection must not hide a crash."""
        vm = self.vms[0]
        pool = vm.node._target.pool
        check_target = pool.check_target
        first_check = []

        def hold_first_check(on_reachable, on_failure) -> None:
            if first_check:
                check_target(on_reachable, on_failure)
            first_check.append(on_reachable)

        pool.check_target = hold_first_check
        await self.run_at(vm, LOST_PATH)
        await self.run_at(vm)
        first_check[0]()
        quarantine = vm.node.state.crash_registry.quarantine
        await self.wait_until(lambda: len(quarantine) > 0)

    async def test_crash_counts_against_a_run_that_its_caller_gave_up(self) -> None:
        """A request whose caller leaves before it crashes the target must become suspect.

        Another run whose connection breaks shows the crash.
        """
        vm = self.vms[0]
        self.crash_gate.clear()
        vm.target.answer_gate.clear()
        frame = self._frame(vm, CRASH_PATH)
        vm.node.dispatcher.submit(frame, "given up", lambda outcome: None)
        other = asyncio.ensure_future(self.run_at(vm, "/reads/other"))
        await self.wait_until(lambda: len(vm.target.runs) == 2)
        vm.node.dispatcher.cancel("given up")
        self.crash_gate.set()
        self.assertIsInstance(await other, OutcomeUnknown)
        quarantine = vm.node.state.crash_registry.quarantine
        fingerprint, _ = call_fingerprints(frame)
        await self.wait_until(lambda: quarantine.report(fingerprint, round(vm.node.now_ms())))

    async def test_copies_at_one_target_count_once_for_a_crash(self) -> None:
        """Copies of a harmless request that run at a target when it crashes must stay allowed."""
        vm = self.vms[0]
        vm.target.answer_gate.clear()
        copies = [asyncio.ensure_future(self.run_at(vm, "/reads/hot")) for _ in range(4)]
        await self.wait_until(lambda: len(vm.target.runs) == len(copies))
        await self.run_at(vm)
        await asyncio.gather(*copies)
        vm.target.answer_gate.set()
        await vm.target.start()
        self.assertIsInstance(await self.run_at(vm, "/reads/hot"), Answered)

    async def test_popular_read_survives_the_failure_of_several_targets(self) -> None:
        """A read that runs everywhere when several targets fail at once must not be refused."""
        for vm in self.vms:
            self.assertIsInstance(await self.run_at(vm, "/reads/popular"), Answered)
            vm.target.answer_gate.clear()
        runs = [asyncio.ensure_future(self.run_at(vm, "/reads/popular")) for vm in self.vms]
        await self.wait_until(lambda: all(len(vm.target.runs) == 2 for vm in self.vms))
        for vm in self.vms:
            await vm.target.stop()
        await asyncio.gather(*runs)
        await asyncio.sleep(0.1)
        for vm in self.vms:
            await vm.target.start()
            self.assertIsInstance(await self.run_at(vm, "/reads/popular"), Answered)

    async def test_request_that_comes_again_with_another_query_is_recognized(self) -> None:
        """A crashing request must not get to further targets because its query has changed."""
        for number, vm in enumerate(self.vms[:2]):
            await self.crash(vm, f"{CRASH_PATH}?page={number}")
        await self.wait_until(lambda: self.is_refused_at(self.vms[2]))
        self.assertIsInstance(await self.run_at(self.vms[2], f"{CRASH_PATH}?page=2"), NotRun)

    async def test_other_queries_of_a_popular_path_stay_allowed(self) -> None:
        """A crashing query must be refused without the other queries of the same path."""
        for vm in self.vms[:2]:
            self.assertIsInstance(await self.run_at(vm, f"{LIST_PATH}?page=1"), Answered)
            await self.crash(vm, LIST_CRASH)
        await self.wait_until(lambda: self.is_refused_at(self.vms[2]))
        self.assertIsInstance(await self.run_at(self.vms[2], LIST_CRASH), NotRun)
        self.assertIsInstance(await self.run_at(self.vms[2], f"{LIST_PATH}?page=2"), Answered)

    async def test_answered_queries_do_not_hide_a_crash_without_a_query(self) -> None:
        """A request without a query must be refused although its path is answered with one."""
        for vm in self.vms[:2]:
            self.assertIsInstance(await self.run_at(vm, f"{BARE_CRASH}?page=1"), Answered)
            await self.crash(vm, BARE_CRASH)
            self.assertIsInstance(await self.run_at(vm, f"{BARE_CRASH}?page=2"), Answered)
        await self.wait_until(lambda: self.is_refused_at(self.vms[2]))
        self.assertIsInstance(await self.run_at(self.vms[2], BARE_CRASH), NotRun)

    async def test_error_response_does_not_clear_a_suspect(self) -> None:
        """A target that fails every request must not make a crashing request look harmless."""
        await self.crash(self.vms[0])
        self.is_crashing = False
        for vm in self.vms:
            self.assertIsInstance(await self.run_at(vm), Answered)
        self.is_crashing = True
        for vm in self.vms * RESENDS:
            if not isinstance(await self.run_at(vm), NotRun):
                await self.run_at(vm, "/reads/other")
                await vm.target.start()
        self.assertLessEqual(self.crash_count, 3)


class TestCrashNotices(CrashCase):
    """What nodes tell each other of requests that crash targets."""

    async def test_crashes_at_several_nodes_at_once_add_up(self) -> None:
        """Crashes whose notices cross must count as several, not as one.

        A caller that sends copies of a request at once would otherwise crash as many targets again.
        """
        self.crash_gate.clear()
        runs = [asyncio.ensure_future(self.run_at(vm)) for vm in self.vms]
        await self.wait_until(lambda: all(vm.target.runs for vm in self.vms))
        self.crash_gate.set()
        await asyncio.gather(*runs)
        await asyncio.gather(*(self.run_at(vm, "/reads/other") for vm in self.vms))
        for vm in self.vms:
            await vm.target.start()
        await asyncio.sleep(0.1)
        for vm in self.vms:
            await self.run_at(vm)
        self.assertEqual(self.crash_count, 3)

    async def test_restarted_node_learns_of_a_quarantine(self) -> None:
        """A node that starts after a quarantine began must not run the request at its target."""
        for vm in self.vms[:2]:
            await self.crash(vm)
        await self.wait_until(lambda: self.is_refused_at(self.vms[2]))
        restarted = await self.restart_node(self.vms[2])
        await asyncio.sleep(3.0)
        self.assertIsInstance(await self.run_at(restarted), NotRun)
        self.assertEqual(self.crash_count, 2)

    async def test_node_without_links_learns_of_a_quarantine(self) -> None:
        """A node that joins while nobody calls it must hear of a quarantine, too."""
        for vm in self.vms[:2]:
            await self.crash(vm)
        added = await self.add_crashing_vm("i-3")
        await self.wait_until_version(4)
        await asyncio.sleep(3.0)
        self.assertIsInstance(await self.run_at(added), NotRun)
        self.assertEqual(self.crash_count, 2)

    async def test_node_that_missed_a_notice_learns_of_it_later(self) -> None:
        """A notice that is lost on its way must reach the node within seconds all the same."""
        missing = self.vms[2]
        receive = missing.node.on_peer_frame
        missing.node.on_peer_frame = lambda frame: None
        for vm in self.vms[:2]:
            await self.crash(vm)
        missing.node.on_peer_frame = receive
        await asyncio.sleep(3.0)
        self.assertIsInstance(await self.run_at(missing), NotRun)
        self.assertEqual(self.crash_count, 2)


class TestRefusal(CrashCase):
    """Where a request in quarantine is stopped."""

    async def test_queued_request_does_not_run_once_it_is_in_quarantine(self) -> None:
        """A copy that waits at a target when the quarantine begins must not be started."""
        added = await self.add_crashing_vm("i-3", slots=1)
        await self.wait_until_version(4)
        await self.open_links(self.vms)
        added.target.answer_gate.clear()
        running = asyncio.ensure_future(self.run_at(added, "/reads/other"))
        await self.wait_until(lambda: len(added.target.runs) == 1)
        queued = asyncio.ensure_future(self.run_at(added))
        for vm in self.vms[:2]:
            await self.crash(vm)
        await self.wait_until(lambda: self.is_refused_at(added))
        added.target.answer_gate.set()
        await running
        self.assertIsInstance(await queued, NotRun)
        self.assertEqual(self.crash_count, 2)

    async def test_node_does_not_send_a_request_in_quarantine(self) -> None:
        """The node that receives a request must refuse it where the target's node doesn't know.

        The caller learns that it didn't run, and when it may come back.
        """
        for vm in self.vms[:2]:
            await self.crash(vm)
        caller_vm = self.vms[2]
        await self.wait_until(lambda: self.is_refused_at(caller_vm))
        for vm in self.vms[:2]:
            vm.node.state.crash_registry.quarantine._entries.clear()
        response = await self.call(caller_vm, CRASH_PATH)
        self.assertEqual(response.status, 503)
        self.assertGreater(float(response.headers["retry-after"]), 30.0)
        self.assertEqual(self.crash_count, 2)
