"""End-to-end calls over real nodes, with emulated targets and an emulated store of the platform."""

from __future__ import annotations

import asyncio
import json
import socket
import struct

from cottonlink.path import StorePosition
from cottonlink.path._http import parse_address
from cottonlink.path.peers._frames import PingFrame, StoreChangesFrame
from emulator.http_stand_in import ReceivedRequest
from emulator.platform_target import (
    PlatformTarget,
    configuration,
    not_executed_response,
    route_resource,
)
from tests.platform_fixtures import FleetCase, Vm, request_bytes

READS = route_resource("reads", "shop.example", "/reads/", "browse")
BOOKINGS = route_resource("bookings", "shop.example", "/bookings/", "booking", kind="unsafe")


class PathCase(FleetCase):
    """Two VMs that serve reads and one that serves bookings, which may run only once."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        self.first = await self.add_vm("browse", "i-1")
        self.second = await self.add_vm("browse", "i-2")
        self.booking = await self.add_vm("booking", "i-3")
        await self.store.put("op/config", configuration(4, READS, BOOKINGS))
        await self.wait_until_version(4)

    def all_runs(self) -> list[ReceivedRequest]:
        """Return the requests that all targets have run."""
        return [run for vm in self.vms for run in vm.target.runs]


class TestForwarding(PathCase):
    """Requests that reach a target, and the responses that callers get."""

    async def test_response_is_forwarded_with_its_headers(self) -> None:
        """A node must not change the status or body of a target's response, or drop its headers."""
        response = await self.call(self.booking, "/reads/1?q=a%20b")
        self.assertEqual(response.status, 200)
        self.assertRegex(response.body, rb"i-[12]:/reads/1\?q=a%20b")
        self.assertIn("x-server-seal", response.headers)

    async def test_callers_cannot_forge_node_headers(self) -> None:
        """A caller must not set its service or the expected upstream by sending their headers."""
        await self.call(
            self.booking,
            "/reads/1",
            "x-caller-service: forged",
            "X-EXPECTED-INSTANCE: i-9",
            "X-Other: kept",
        )
        (run,) = self.all_runs()
        self.assertEqual(run.header("x-caller-service"), "booking")
        self.assertIn(run.header("x-expected-instance"), ("i-1", "i-2"))
        self.assertEqual(run.header("x-other"), "kept")
        self.assertEqual(run.header("x-attempt-id"), "a1")
        self.assertEqual(run.header("host"), "shop.example")

    async def test_target_deadline_is_the_smaller_of_caller_and_route(self) -> None:
        """A target must not work past the caller's deadline or the time-out of the route."""
        await self.call(self.booking, "/reads/1", remaining_ms=700)
        await self.call(self.booking, "/reads/2", remaining_ms=9_000)
        runs = sorted(self.all_runs(), key=lambda run: run.target)
        first, second = (int(run.header("x-request-deadline-ms")) for run in runs)
        self.assertLessEqual(first, 700)
        self.assertLessEqual(second, 2_000)

    async def test_unknown_route_is_404_and_missing_configuration_503(self) -> None:
        """A node that has no configuration yet must not answer as if the route didn't exist.

        Its 503 carries a Retry-After, which tells the caller that the request was not run.
        """
        self.assertEqual((await self.call(self.first, "/none/1")).status, 404)
        self.first.node.state.configuration = None
        response = await self.call(self.first, "/reads/1")
        self.assertEqual(response.status, 503)
        self.assertIn("retry-after", response.headers)

    async def test_pipelined_responses_keep_the_request_order(self) -> None:
        """Responses that become ready out of order must not be matched to the wrong request."""
        caller = await self.connect(self.booking)
        sent = b"".join(request_bytes(f"/reads/{n}", attempt=f"a{n}") for n in range(6))
        caller.writer.write(sent)
        bodies = [(await caller.response()).body for _ in range(6)]
        self.assertEqual([body.split(b"/")[-1] for body in bodies], [b"%d" % n for n in range(6)])

    async def test_booking_waits_for_earlier_pipelined_responses(self) -> None:
        """A request that may run only once must not start while an earlier one has no response.

        If that response closed the connection, the caller would send the request again.
        """
        self.first.target.answer_gate.clear()
        self.second.target.answer_gate.clear()
        caller = await self.connect(self.booking)
        caller.writer.write(
            request_bytes("/reads/1", attempt="a1")
            + request_bytes("/bookings/1", method="POST", body=b"x", attempt="a2")
        )
        await self.wait_until(lambda: len(self.all_runs()) == 1)
        self.assertEqual(self.booking.target.runs, [])
        self.first.target.answer_gate.set()
        self.second.target.answer_gate.set()
        self.assertEqual((await caller.response()).status, 200)
        self.assertEqual((await caller.response()).status, 200)
        self.assertEqual(len(self.booking.target.runs), 1)

    async def test_chunked_body_is_forwarded_with_a_length(self) -> None:
        """A body in chunks must reach the target complete; it is sent on with a Content-Length."""
        caller = await self.connect(self.first)
        head = request_bytes("/bookings/1", "Transfer-Encoding: chunked", method="POST")
        caller.writer.write(head + b"3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
        self.assertEqual((await caller.response()).status, 200)
        self.assertEqual(self.booking.target.runs[0].body, b"abcde")

    async def test_length_together_with_chunked_encoding_is_400(self) -> None:
        """A request with both framings could be smuggled past a node and must not be run."""
        caller = await self.connect(self.first)
        caller.writer.write(
            request_bytes("/bookings/1", "Transfer-Encoding: chunked", method="POST", body=b"0\r\n")
        )
        self.assertEqual((await caller.response()).status, 400)
        self.assertEqual(self.all_runs(), [])

    async def test_oversized_head_is_431_and_oversized_body_413(self) -> None:
        """A caller must not make a node read a head or body beyond the operator's limits."""
        response = await self.call(self.first, "/reads/1", "X-Long: " + "a" * 20_000)
        self.assertEqual(response.status, 431)
        response = await self.call(
            self.first, "/bookings/1", "Content-Length: 1000001", method="POST"
        )
        self.assertEqual(response.status, 413)


class TestFailures(PathCase):
    """Failures of targets, nodes and callers."""

    async def test_read_is_retried_after_a_lost_response(self) -> None:
        """A target that closes the connection without a response must not fail a read."""
        dropped: list[str] = []

        async def drop_first_response(
            target: PlatformTarget, request: ReceivedRequest, _writer: asyncio.StreamWriter
        ) -> bytes | None:
            if dropped:
                return target.success_response(request)
            dropped.append(target.upstream_id)
            return None

        self.first.target.behaviour = self.second.target.behaviour = drop_first_response
        response = await self.call(self.booking, "/reads/1")
        self.assertEqual(response.status, 200)
        self.assertEqual(len(self.all_runs()), 2)

    async def test_booking_is_not_retried_after_a_lost_response(self) -> None:
        """A booking whose response is lost may have run: a retry could run it twice."""

        async def drop_response(*_args: object) -> None:
            return None

        self.booking.target.behaviour = drop_response
        response = await self.call(self.first, "/bookings/1", method="POST", body=b"x")
        self.assertEqual(response.status, 502)
        self.assertEqual(len(self.booking.target.runs), 1)

    async def test_refusal_by_the_target_becomes_503_with_retry_after(self) -> None:
        """A booking that the target didn't run must not end as an error with an unknown outcome."""

        async def refuse(_target: object, request: ReceivedRequest, _writer: object) -> bytes:
            return not_executed_response(request)

        self.booking.target.behaviour = refuse
        response = await self.call(self.first, "/bookings/1", method="POST", body=b"x")
        self.assertEqual(response.status, 503)
        self.assertIn("retry-after", response.headers)

    async def test_duplicate_response_never_reaches_another_request(self) -> None:
        """The second of two responses at once must not be taken for the next request's."""

        async def respond_twice(
            target: PlatformTarget, request: ReceivedRequest, _writer: asyncio.StreamWriter
        ) -> bytes:
            return target.success_response(request) + target.success_response(request, b"late")

        self.booking.target.behaviour = respond_twice
        for number in range(4):
            path = f"/bookings/{number}"
            response = await self.call(
                self.first, path, method="POST", body=b"x", attempt=f"a{number}"
            )
            self.assertEqual(response.body, f"i-3:{path}".encode())

    async def test_late_duplicate_response_is_skipped_by_its_id(self) -> None:
        """A duplicate that arrives during the next request must not be taken for its response."""
        earlier: list[bytes] = []

        async def respond_late(
            target: PlatformTarget, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bytes:
            writer.write(b"".join(earlier))
            earlier[:] = [target.success_response(request, b"late")]
            return target.success_response(request)

        self.booking.target.behaviour = respond_late
        for number in range(4):
            path = f"/bookings/{number}"
            response = await self.call(
                self.first, path, method="POST", body=b"x", attempt=f"a{number}"
            )
            self.assertEqual(response.body, f"i-3:{path}".encode())

    async def test_late_copy_of_a_refusal_is_not_the_answer_to_the_next_try(self) -> None:
        """A booking that ran was reported as not run, and its caller would have sent it again.

        Its only target refused it, and the copy of the refusal came on the connection on which the
        same booking was sent once more.
        """
        refusals: list[bytes] = []

        async def refuse_first(
            target: PlatformTarget, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> bytes:
            if not refusals:
                refusals.append(not_executed_response(request))
                writers.append(writer)
                return refusals[0]
            if writer in writers:
                writer.write(refusals[0])
            return target.success_response(request)

        writers: list[asyncio.StreamWriter] = []
        self.booking.target.behaviour = refuse_first
        # Enough first sends for a retry to be allowed.
        for _ in range(200):
            state = self.first.node.state
            state.retry_budget.record_first_send("booking", state.now_ms())
        response = await self.call(self.first, "/bookings/1", method="POST", body=b"x")
        self.assertEqual(len(self.booking.target.runs), 2)
        self.assertEqual((response.status, response.body), (200, b"i-3:/bookings/1"))

    async def test_truncated_response_becomes_502(self) -> None:
        """A response that ends before its Content-Length must not be forwarded as a success."""

        async def truncate(
            target: PlatformTarget, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            writer.write(target.success_response(request)[:-3])
            await writer.drain()

        self.booking.target.behaviour = truncate
        response = await self.call(self.first, "/bookings/1", method="POST", body=b"x")
        self.assertEqual(response.status, 502)

    async def test_response_without_length_ends_with_the_connection(self) -> None:
        """A response without framing is complete when the connection closes normally.

        A node must not take it for a lost response.
        """

        async def unframed(
            _target: PlatformTarget, request: ReceivedRequest, writer: asyncio.StreamWriter
        ) -> None:
            attempt = request.header("x-attempt-id")
            head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Seal: s\r\n\r\n"
            writer.write(head.encode() + b"whole")
            await writer.drain()

        self.booking.target.behaviour = unframed
        response = await self.call(self.first, "/bookings/1", method="POST", body=b"x")
        self.assertEqual((response.status, response.body), (200, b"whole"))

    async def test_response_that_is_cut_short_never_looks_complete(self) -> None:
        """Half an answer must not reach a caller as a success, however its end is marked.

        A reset in the middle ends a response without framing like any other.
        """
        framings = ("", "Transfer-Encoding: chunked\r\n", "Content-Length: 900\r\n")
        bodies = (b"half", b"4\r\nhalf\r\n", b"half")

        for framing, body in zip(framings, bodies, strict=True):

            async def cut_short(
                _target: PlatformTarget,
                request: ReceivedRequest,
                writer: asyncio.StreamWriter,
                framing: str = framing,
                body: bytes = body,
            ) -> None:
                attempt = request.header("x-attempt-id")
                lines = ("HTTP/1.1 200 OK", f"X-Attempt-Id: {attempt}", "X-Server-Seal: s")
                head = "\r\n".join(lines) + f"\r\n{framing}\r\n"
                writer.write(head.encode() + body)
                await writer.drain()
                await asyncio.sleep(0.05)
                reset_on_close = struct.pack("ii", 1, 0)
                sock = writer.get_extra_info("socket")
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, reset_on_close)

            with self.subTest(framing=framing):
                self.booking.target.behaviour = cut_short
                response = await self.call(self.first, "/bookings/1", method="POST", body=b"x")
                self.assertEqual((response.status, response.body), (502, b""))

    async def test_caller_disconnect_aborts_its_read(self) -> None:
        """A target must not keep working on a read after its caller has disconnected."""
        ended: list[bool] = []

        async def watch(_target: object, request: ReceivedRequest, _writer: object) -> None:
            while not request.is_sender_gone():
                await asyncio.sleep(0.01)
            ended.append(True)

        self.first.target.behaviour = self.second.target.behaviour = watch
        caller = await self.connect(self.booking)
        caller.writer.write(request_bytes("/reads/1"))
        await self.wait_until(lambda: len(self.all_runs()) == 1)
        caller.close()
        await self.wait_until(lambda: bool(ended))

    async def test_unreachable_node_is_avoided(self) -> None:
        """A node that can't be reached must not fail reads that another upstream can run."""
        self.first.node.close()
        for number in range(4):
            response = await self.call(self.booking, f"/reads/{number}", attempt=f"a{number}")
            self.assertEqual(response.status, 200)
        self.assertEqual(len(self.second.target.runs), 4)

    async def test_request_for_a_replaced_target_is_not_run(self) -> None:
        """A target at the address of an earlier one must not run requests meant for that one."""
        self.booking.target.upstream_id = "i-8"
        response = await self.call(self.first, "/bookings/1", method="POST", body=b"x")
        self.assertEqual(response.status, 503)
        self.assertEqual(self.booking.target.runs, [])

    async def test_request_ends_at_the_route_timeout_with_504(self) -> None:
        """A target that never responds must not hold a request past the time-out of its route."""
        timed = route_resource("timed", "shop.example", "/timed/", "booking", timeout_s=0.3)
        await self.store.put("op/config", configuration(5, READS, timed))
        await self.wait_until_version(5)
        self.booking.target.answer_gate.clear()
        response = await self.call(self.first, "/timed/1")
        self.assertEqual(response.status, 504)


class TestStore(PathCase):
    """Changes of the store's contents, and faults of the store."""

    async def test_older_configuration_is_ignored(self) -> None:
        """An older version that is written after a newer one must not take effect.

        Newer versions do, also with an invalid entry beside them.
        """
        moved = route_resource("reads", "shop.example", "/reads/", "booking")
        await self.store.put("op/config", configuration(7, moved))
        await self.wait_until_version(7)
        await self.store.put("op/config", configuration(6, READS))
        await self.store.put("servers/i-9", b"unreadable")
        response = await self.call(self.first, "/reads/1")
        self.assertTrue(response.body.startswith(b"i-3:"))
        await self.store.put("op/config", configuration(8, READS))
        await self.wait_until_version(8)

    async def test_draining_upstream_gets_no_new_calls(self) -> None:
        """A target whose entry says that it is draining must not be sent new calls."""
        await self.store.put("servers/i-1", self.first.target.entry(state="draining"))
        await self.wait_until(lambda: all(_is_draining(vm, "i-1") for vm in self.vms))
        for number in range(4):
            await self.call(self.first, f"/reads/{number}", attempt=f"a{number}")
        self.assertEqual(self.first.target.runs, [])

    async def test_invalid_entries_are_ignored(self) -> None:
        """An invalid entry must not become an upstream or block changes of valid ones."""
        bad = [b"\xff", b"{}", b"[]", self.first.target.entry(slots="16")]
        bad.append(self.first.target.entry(state="resting"))
        for number, entry in enumerate(bad):
            await self.store.put(f"servers/bad-{number}", entry)
        await self.store.put("servers/i-2", self.second.target.entry(state="draining"))
        await self.wait_until(lambda: all(_is_draining(vm, "i-2") for vm in self.vms))
        names = {u.upstream_id for u in self.first.node.state.load_balancer.upstreams()}
        self.assertEqual(names, {"i-1", "i-2", "i-3"})

    async def test_configuration_change_after_a_silent_store_is_applied(self) -> None:
        """A watch that the store never answers must not hide a change that is made later."""
        self.store.fault = "silent"
        await asyncio.sleep(3.0)
        self.store.fault = None
        await self.store.put("op/config", configuration(9, READS))
        await self.wait_until_version(9)

    async def test_discarded_history_is_recovered_by_a_full_read(self) -> None:
        """A change that the store compacted away during an outage must not be missed."""
        self.store.fault = "reset"
        await self.store.put("op/config", configuration(9, READS))
        await self.store.compact()
        self.store.fault = None
        await self.wait_until_version(9)


class TestStoreChanges(PathCase):
    """Changes of the store on their way to nodes that don't watch it."""

    async def asyncSetUp(self) -> None:
        await super().asyncSetUp()
        for number in range(4, 7):
            await self.add_vm("browse", f"i-{number}")
        await self.wait_until_version(4)
        await self.wait_until(lambda: len(self.watchers()) == 2)

    def watchers(self) -> list:
        """Return the VMs whose nodes watch the store."""
        return [vm for vm in self.vms if vm.follower._watcher_election.is_watcher]

    async def test_changes_reach_nodes_that_do_not_watch(self) -> None:
        """Nodes that don't watch must get changes from peers, without calls to the store."""
        listeners = [vm for vm in self.vms if vm not in self.watchers()]
        await self.wait_until(
            lambda: not any(
                vm.follower._watcher_election.must_watch(vm.node.now_ms()) for vm in listeners
            )
        )
        calls = [vm.follower.call_count for vm in listeners]
        await self.store.put("op/config", configuration(5, READS))
        await self.wait_until_version(5)
        # A watch that began before the first heartbeat may still have ended in between.
        self.assertLessEqual(sum(vm.follower.call_count for vm in listeners), sum(calls) + 4)

    async def test_change_arrives_after_all_watching_nodes_stop(self) -> None:
        """Nodes that no longer receive heartbeats must watch the store, or they miss changes."""
        gone = self.watchers()
        for vm in gone:
            vm.node.close()
            for task in vm.tasks:
                task.cancel()
        rest = [vm for vm in self.vms if vm not in gone]
        await self.store.put("op/config", configuration(5, READS))
        await self.wait_until(lambda: all(vm.node.state.configuration_version == 5 for vm in rest))

    async def test_missed_change_triggers_a_full_read(self) -> None:
        """Changes that begin after a node's revision leave a gap; it must read everything."""
        listener = next(vm for vm in self.vms if vm not in self.watchers())
        await self.store.put("op/config", configuration(5, READS))
        await self.wait_until_version(5)
        listener.follower._position = StorePosition(1, 1)
        await self.store.put("op/config", configuration(6, READS))
        await self.wait_until_version(6)

    async def test_older_change_does_not_overwrite_a_newer_entry(self) -> None:
        """Delayed changes from a peer must not set an entry back to an older revision."""
        await self.store.put("servers/i-1", self.first.target.entry(state="draining"))
        await self.wait_until(lambda: all(_is_draining(vm, "i-1") for vm in self.vms))
        old = json.dumps(self.first.target.entry()).encode()
        follower = self.second.follower
        revision = follower._position.revision
        follower._position = StorePosition(1, 2)
        follower.apply_changes(StoreChangesFrame(1, revision, (("servers/i-1", 2, old),), era=1))
        self.assertTrue(_is_draining(self.second, "i-1"))


class TestShutdown(PathCase):
    """A node that shuts down, is restarted, or is killed, while its target keeps running."""

    async def test_request_in_progress_completes_during_shutdown(self) -> None:
        """A shutdown must not lose a request in progress; its response closes the connection."""
        self.booking.target.answer_gate.clear()
        caller = await self.connect(self.first)
        caller.writer.write(request_bytes("/bookings/1", method="POST", body=b"x"))
        await self.wait_until(lambda: len(self.booking.target.runs) == 1)
        stopped: list[bool] = []
        for vm in (self.first, self.booking):
            vm.node.begin_shutdown(lambda: stopped.append(True))
        self._advance_shutdown(3_000)
        self.booking.target.answer_gate.set()
        response = await caller.response()
        self.assertEqual((response.status, response.headers["connection"]), (200, "close"))
        await self.wait_until(lambda: len(stopped) == 2)

    async def test_request_late_in_shutdown_is_refused_with_retry_after(self) -> None:
        """A request that might not end before SIGKILL must be refused, not cut off."""
        caller = await self.connect(self.first)
        self.first.node.begin_shutdown(lambda: None)
        self._advance_shutdown(2_900)
        caller.writer.write(request_bytes("/reads/1"))
        response = await caller.response()
        self.assertEqual((response.status, response.headers["connection"]), (503, "close"))
        self.assertIn("retry-after", response.headers)
        self.assertEqual(self.all_runs(), [])

    async def test_peers_stop_using_a_node_that_shuts_down(self) -> None:
        """Peers must not send calls to a node that shuts down if another can run them."""
        # Peers are told over the connections that they have opened.
        address = parse_address(self.first.settings.peer_address)
        self.booking.node.state.peer_links.link(address).send_or_open(PingFrame(0))
        await self.wait_until(lambda: self.first.node._peer_connections)
        self.first.node.begin_shutdown(lambda: None)
        view = self.booking.node.state.load_balancer._states["i-1"]
        await self.wait_until(lambda: view.leaving_until_ms > 0)
        for number in range(6):
            response = await self.call(self.booking, f"/reads/{number}", attempt=f"a{number}")
            self.assertEqual(response.status, 200)
        self.assertEqual(self.first.target.runs, [])

    async def test_last_node_of_a_service_runs_calls_early_in_shutdown(self) -> None:
        """A service with a single node must not be unavailable as soon as that node shuts down.

        It still runs calls for some time, so that rolling restarts leave no gap.
        """
        await self.call(self.first, "/bookings/0", method="POST", body=b"x")
        self.booking.node.begin_shutdown(lambda: None)
        response = await self.call(self.first, "/bookings/1", method="POST", body=b"x")
        self.assertEqual(response.status, 200)
        self._advance_shutdown(2_400)
        await self.wait_until(lambda: not self._can_place(self.first, "booking"))
        response = await self.call(self.first, "/bookings/2", method="POST", body=b"x")
        self.assertEqual(response.status, 503)
        self.assertEqual(len(self.booking.target.runs), 2)

    async def test_restarted_node_takes_a_peers_snapshot_while_the_store_is_silent(self) -> None:
        """A node that restarts during a store outage must not refuse requests until it ends."""
        await self.call(self.first, "/bookings/0", method="POST", body=b"x")
        self.store.fault = "silent"
        restarted = await self.restart_node(self.booking)
        await self.wait_until(lambda: restarted.node.state.configuration_version == 4)
        response = await self.call(restarted, "/reads/1")
        self.assertEqual(response.status, 200)
        self.store.fault = None
        await self.store.put("op/config", configuration(5, READS, BOOKINGS))
        await self.wait_until_version(5)

    def _can_place(self, vm: Vm, service: str) -> bool:
        load_balancer = vm.node.state.load_balancer
        return load_balancer.choose(service, "", 1_000.0, (), False, vm.node.now_ms()) is not None

    def _advance_shutdown(self, by_ms: float) -> None:
        for vm in self.vms:
            if vm.node._shutdown is not None:
                vm.node._shutdown.started_ms -= by_ms


def _is_draining(vm, upstream_id: str) -> bool:
    upstream = vm.node.state.load_balancer.upstream(upstream_id)
    return upstream is not None and upstream.is_draining


del PathCase, FleetCase
