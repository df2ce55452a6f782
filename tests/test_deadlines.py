"""Deadlines of many calls with one timer: each comes due once and in time, ended ones never."""

from __future__ import annotations

import unittest
from collections.abc import Callable

from cottonlink.path.callers._deadlines import KEPT_ENTRIES, Deadlines


class _Timer:
    def __init__(self, at_s: float, callback: Callable[[], None]) -> None:
        self.at_s = at_s
        self.callback = callback
        self.is_cancelled = False

    def cancel(self) -> None:
        self.is_cancelled = True


class _Loop:
    """An event loop whose time a test advances."""

    def __init__(self) -> None:
        self.now_s = 0.0
        self.timers: list[_Timer] = []
        self.run_count = 0

    def time(self) -> float:
        return self.now_s

    def call_at(self, at_s: float, callback: Callable[[], None]) -> _Timer:
        timer = _Timer(at_s, callback)
        self.timers.append(timer)
        return timer

    def call_soon(self, callback: Callable[[object], None], argument: object) -> None:
        callback(argument)

    def pending(self) -> list[_Timer]:
        return [timer for timer in self.timers if not timer.is_cancelled]

    def advance(self, now_s: float) -> None:
        """Run the timers that come due until ``now_s``, each at its time."""
        while due := [timer for timer in self.pending() if timer.at_s <= now_s]:
            timer = min(due, key=lambda t: t.at_s)
            self.timers.remove(timer)
            self.now_s = max(self.now_s, timer.at_s)
            self.run_count += 1
            timer.callback()
        self.now_s = now_s


class DeadlinesTest(unittest.TestCase):
    def setUp(self) -> None:
        self.loop = _Loop()
        self.due: list[tuple[float, str]] = []
        self.deadlines = Deadlines(self.loop, lambda call: self.due.append((self.loop.now_s, call)))

    def test_calls_come_due_at_their_deadlines(self) -> None:
        """Guards against a later timer that hides an earlier deadline added behind it."""
        self.deadlines.add(2.0, "second")
        self.deadlines.add(1.0, "first")
        self.deadlines.add(3.0, "third")
        self.loop.advance(10.0)
        self.assertEqual(self.due, [(1.0, "first"), (2.0, "second"), (3.0, "third")])
        self.assertEqual(self.loop.pending(), [])

    def test_deadline_that_is_over_comes_due_at_once(self) -> None:
        """Guards against a call whose deadline was over when it came and that never ends."""
        self.loop.advance(5.0)
        self.deadlines.add(5.0, "late")
        self.loop.advance(5.0)
        self.assertEqual(self.due, [(5.0, "late")])

    def test_ended_calls_dont_come_due(self) -> None:
        """Guards against a time-out of a call that has been answered."""
        numbers = [self.deadlines.add(1.0, "ended"), self.deadlines.add(2.0, "ended")]
        self.deadlines.add(3.0, "open")
        for number in numbers:
            self.deadlines.remove(number)
        self.deadlines.remove(0)
        self.loop.advance(10.0)
        self.assertEqual(self.due, [(3.0, "open")])

    def test_timer_doesnt_run_for_each_ended_call(self) -> None:
        """Guards against a wake-up of the process for each call that ended long before."""
        for index in range(200):
            self.deadlines.remove(self.deadlines.add(2.0 + index / 100.0, "ended"))
        self.loop.advance(10.0)
        self.assertEqual(self.loop.run_count, 1)
        self.assertEqual(self.loop.pending(), [])

    def test_ended_calls_are_not_kept(self) -> None:
        """Guards against memory that grows with the calls in the time of a long deadline."""
        self.deadlines.add(60.0, "open")
        for _ in range(10_000):
            self.deadlines.remove(self.deadlines.add(60.0, "ended"))
        self.assertEqual(len(self.deadlines._calls), 1)
        self.assertLess(len(self.deadlines._heap), 2 * KEPT_ENTRIES)
        self.loop.advance(60.0)
        self.assertEqual(self.due, [(60.0, "open")])

    def test_exception_leaves_the_other_calls_alone(self) -> None:
        """Guards against calls that never end as the time-out of another one failed."""
        errors = []

        def call_soon(callback: Callable[[object], None], argument: object) -> None:
            try:
                callback(argument)
            except RuntimeError as error:
                errors.append(error)

        self.loop.call_soon = call_soon

        def on_due(call: str) -> None:
            if call == "faulty":
                raise RuntimeError(call)
            self.due.append((self.loop.now_s, call))

        deadlines = Deadlines(self.loop, on_due)
        deadlines.add(1.0, "faulty")
        deadlines.add(1.0, "other")
        deadlines.add(2.0, "later")
        self.loop.advance(3.0)
        self.assertEqual(self.due, [(1.0, "other"), (2.0, "later")])
        self.assertEqual(len(errors), 1)


if __name__ == "__main__":
    unittest.main()
