"""Calls that runs make, and the end of calls that nobody waits for any longer."""

from __future__ import annotations

import http.client
import threading
from collections.abc import Callable
from http.server import BaseHTTPRequestHandler

from cottonlink.decisions._permits import Permit, digest_key, sign_permit
from emulator.addresses import split_address
from tests.node_fixtures import TIMEOUT_S, FaultCase, Seen, answer_echo, wait_until


class ChildCallTest(FaultCase):
    def run_parent(self, act: Callable[[Seen], object]) -> object:
        """Book at ``front``; return what ``act`` returns for the run at its target."""
        results = []

        def behave(handler: BaseHTTPRequestHandler, seen: Seen) -> None:
            results.append(act(seen))
            answer_echo(handler, seen)

        self.fleet.targets["a"].behave = behave
        self.assertEqual(self.fleet.book("b", "/front/book").status, 200)
        return results[0]

    def test_importance(self) -> None:
        """Guards against children that lose root, depth or importance of their parent run."""

        def act(seen: Seen) -> None:
            for name in ("Cottonlink-Call", "traceparent"):
                self.fleet.call("a", "GET", "/desk/x", headers={name: seen.headers[name.lower()]})

        self.run_parent(act)
        (parent,) = self.fleet.targets["a"].seen
        trace_id = parent.headers["traceparent"].split("-")[1]
        for child in self.target.seen:
            self.assertEqual(child.headers["traceparent"].split("-")[1], trace_id)
            self.assertEqual(child.headers["cottonlink-depth"], "1")
            self.assertEqual(child.headers["cottonlink-importance"], "9")
        self.assertEqual(len(self.target.seen), 2)

    def test_incarnation(self) -> None:
        """Guards against a child booking that runs again at a restarted owner."""
        other = sign_permit(Permit("b", "ff", 1, digest_key("k"), 0), b"secret")

        def act(seen: Seen) -> list[str]:
            token = {"Cottonlink-Call": seen.headers["cottonlink-call"]}
            permit = self.fleet.permit("a", "/desk/book", **token)
            headers = [{**token, "Cottonlink-Permit": text} for text in (other, permit)]
            return [self.fleet.book("a", **fields) for fields in headers]

        bound_elsewhere, ran = self.run_parent(act)
        self.assertEqual((bound_elsewhere.code, ran.status), ("execution_unknown", 200))

    def test_cancelled(self) -> None:
        """Guards against child calls that outlive the run which made them."""
        self.target.behave = self.hold

        def act(seen: Seen) -> tuple[threading.Thread, list]:
            token = {"Cottonlink-Call": seen.headers["cottonlink-call"]}
            started = self.start_call("a", "GET", "/desk/x", headers=token)
            wait_until(lambda: self.target.seen)
            return started

        thread, replies = self.run_parent(act)
        thread.join(TIMEOUT_S)
        self.assertEqual(replies[0].code, "cancelled")
        wait_until(lambda: self.target.cancelled)


class CancellationTest(FaultCase):
    settings = {"caller_limit": 2}

    def test_disconnected(self) -> None:
        """Guards against work that goes on after its caller has gone."""
        self.target.behave = self.hold
        address = self.fleet.nodes["a"].caller_listener.address
        connection = http.client.HTTPConnection(*split_address(address), timeout=TIMEOUT_S)
        connection.request("GET", "/desk/x")
        wait_until(lambda: self.target.seen)
        connection.close()
        wait_until(lambda: self.target.cancelled)
        token = self.target.seen[0].headers["cottonlink-call"]
        self.assertEqual(self.target.cancelled, [token])

    def test_preempted(self) -> None:
        """Guards against reads that keep a booking out of a full listener."""
        permit = self.fleet.permit("a")
        self.target.behave = self.hold
        thread, replies = self.start_call("a", "GET", "/desk/x")
        wait_until(lambda: self.target.seen)
        refused = self.fleet.call("a", "GET", "/desk/y")
        self.assertEqual((refused.code, refused.problem["executed"]), ("overloaded", "no"))
        self.assertIn("retry-after", refused.headers)
        booking, booked = self.start_call(
            "a",
            "POST",
            "/desk/book",
            headers={"Idempotency-Key": "k", "Cottonlink-Permit": permit},
        )
        wait_until(lambda: len(self.target.seen) == 2)
        second, second_booked = self.start_call(
            "a", "POST", "/desk/book", headers={"Idempotency-Key": "k2"}
        )
        second.join(TIMEOUT_S)
        thread.join(TIMEOUT_S)
        self.assertEqual((replies[0].code, second_booked[0].status), ("preempted", 428))
        self.gate.set()
        booking.join(TIMEOUT_S)
        self.assertEqual(booked[0].status, 200)
