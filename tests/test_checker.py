"""The invariant checker finds each kind of violation, and none in a valid history."""

from __future__ import annotations

import unittest

from emulator.checker import History, LeaveRequest, Shutdown, check_invariants
from emulator.journal import Run, RunOutcome
from emulator.load import BROKEN_ANSWER, Call, CallPlan, Send

NODE = "127.0.0.1:1"


def make_run(key: str = "k", send_id: str = "s", start_ms: int = 10, **changes: object) -> Run:
    """Return a finished run on target ``t``."""
    content = {
        "run_id": 0,
        "target": "t",
        "method": "POST",
        "path": "/bookings",
        "key": key,
        "root_id": "r",
        "call": "c",
        "send_id": send_id,
        "start_ms": start_ms,
        "end_ms": start_ms + 1,
        "outcome": RunOutcome.FINISHED,
    }
    return Run(**{**content, **changes})


def make_call(key: str = "k", **changes: object) -> Call:
    """Return a call with one send, which got a complete answer unless ``changes`` say otherwise."""
    whole = {"status": 200, "executed": "yes", "whole": True, "answered_key": key}
    content = {**whole, "answered_ms": 20, "answered_send_id": "s", **changes}
    return Call(CallPlan(0, "POST", "/x", key, "r", (NODE,)), [Send("s", NODE, 5, **content)])


def make_event(sequence: int, kind: str, code: str = "", **details: object) -> dict:
    """Return an event of node ``n``."""
    return {
        "node": "n",
        "sequence": sequence,
        "time": {"wall_ms": sequence * 2_000, "counter": 0},
        "kind": kind,
        "code": code,
        "request_id": details.pop("request_id", "r"),
        "call_id": details.pop("call_id", "c"),
        "details": details,
    }


def find_violated(history: History) -> set[str]:
    """Return the numbers of the invariants that the checker finds violated."""
    return {violation.invariant for violation in check_invariants(history)}


class CheckerTest(unittest.TestCase):
    def test_valid_history(self) -> None:
        """Guards against false alarms: violations in a history that satisfies all invariants.

        The history includes the events that a check could misjudge: a retry within the budget, a
        read that is shed before a booking, and a run that starts just after its target was told to
        leave.
        """
        events = [
            make_event(1, "policy_accepted", version=1),
            make_event(2, "retried"),
            make_event(3, "queued", call_id="q", request_id="read"),
            make_event(4, "evicted", "overloaded", call_id="q", request_id="read"),
            make_event(5, "evicted", "overloaded", call_id="w"),
            make_event(6, "state_changed", "leaving"),
        ]
        history = History([make_call()], [make_run()], events)
        history.final_versions = {"n": 1}
        history.published_version = 1
        history.shutdowns = [Shutdown("t", NODE, 15, 0)]
        history.leave_requests = [LeaveRequest("t", 9)]
        self.assertEqual(find_violated(history), set())

    def test_retry_budget(self) -> None:
        """Guards against missing a root request that nodes retried more often than its budget."""
        history = History(events=[make_event(number, "retried") for number in range(4)])
        self.assertEqual(find_violated(history), {"I1"})

    def test_shed_order(self) -> None:
        """Guards against missing a booking that was shed while its owner held a read."""
        events = [
            make_event(1, "admitted", call_id="q", request_id="read"),
            make_event(2, "evicted", "overloaded", call_id="w"),
            make_event(3, "completed", call_id="q", request_id="read"),
        ]
        self.assertEqual(find_violated(History([make_call()], events=events)), {"I2"})

    def test_complete_answers(self) -> None:
        """Guards against missing an answer that is truncated or belongs to another request."""
        calls = [
            make_call(answered_key="other"),
            make_call("", answered_send_id="other"),
            make_call(whole=False, code=BROKEN_ANSWER),
            make_call(whole=False, code=BROKEN_ANSWER, status=0, executed="unknown"),
        ]
        for call in calls:
            self.assertEqual(find_violated(History([call])), {"I3"})

    def test_not_executed(self) -> None:
        """Guards against missing a run of a request that was answered with ``executed: no``.

        The run may come from that send, or from an earlier one with the same key.
        """
        refused = {"status": 503, "executed": "no", "whole": False}
        history = History([make_call(**refused)], [make_run()])
        self.assertEqual(find_violated(history), {"I4"})
        earlier = make_run(send_id="other", start_ms=1)
        history = History([make_call(permit="p", **refused)], [earlier])
        self.assertEqual(find_violated(history), {"I4"})

    def test_at_most_once(self) -> None:
        """Guards against missing that two targets ran a request with the same key."""
        runs = [make_run(), make_run(target="u", send_id="other")]
        self.assertEqual(find_violated(History(runs=runs)), {"I5"})

    def test_leaving(self) -> None:
        """Guards against missing new work on a leaving target.

        It shows either in the target's journal, as a late run, or in the events of its node. Runs
        after a restart of the node aren't late.
        """
        history = History(runs=[make_run(start_ms=9_000)], leave_requests=[LeaveRequest("t", 10)])
        self.assertEqual(find_violated(history), {"I6"})
        history.leave_requests = [LeaveRequest("t", 10, restarted_ms=9_001)]
        self.assertEqual(find_violated(history), {"I6"})
        history.leave_requests = [LeaveRequest("t", 10, restarted_ms=9_000)]
        self.assertEqual(find_violated(history), set())
        events = [make_event(1, "state_changed", "leaving"), make_event(2, "admitted")]
        self.assertEqual(find_violated(History(events=events)), {"I6"})

    def test_shutdown(self) -> None:
        """Guards against missing an ungraceful shutdown.

        The node was killed, broke the connection of a caller, or cancelled a run of its target.
        """
        truncated = make_call(whole=False, status=502, executed="unknown", code="connection_lost")
        histories = [
            History(shutdowns=[Shutdown("t", NODE, 15, None)]),
            History([truncated], shutdowns=[Shutdown("t", NODE, 15, 0)]),
            History(
                runs=[make_run(outcome=RunOutcome.CANCELLED)],
                shutdowns=[Shutdown("t", NODE, 15, 0)],
            ),
        ]
        for history in histories:
            self.assertEqual(find_violated(history), {"I7"})

    def test_policy(self) -> None:
        """Guards against missing a node that returns to an older policy, or ends with one."""
        events = [make_event(n, "policy_accepted", version=v) for n, v in enumerate((2, 1))]
        self.assertEqual(find_violated(History(events=events)), {"I8"})
        lagging = History(final_versions={"n": 1}, published_version=2)
        self.assertEqual(find_violated(lagging), {"I8"})
