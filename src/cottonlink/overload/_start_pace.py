"""Paces a target that has just started or recovered, by a concurrency limit from how it answers.

The node next to a target sees all of its calls. It compares each run time with the usual one of its
route: that of the target's siblings, or of the target before it started again. The limit begins
low, grows while answers take as long as usual, and shrinks when they take longer or the target
refuses or fails. It is compared at two sizes of the limit whether the limit is the cause: if a
smaller one doesn't help, it grows again by time, so that a slower target isn't left idle. The pace
ends once the target runs as usual without being held back.
"""

from __future__ import annotations

import math
from collections.abc import Mapping
from typing import Any

from attrs import Factory, define, frozen

# Share of the target's limit at which a pace begins, and below which it doesn't go.
START_SHARE = 0.1
# Share at which it begins without warm siblings, as no others can do the work.
ALONE_START_SHARE = 0.5
# Calls at one limit from which it is judged: about as many as run at a time, at least a handful,
# since run times of a route differ by half of their mean, and no more than a mean needs.
MIN_CALLS = 5
MAX_CALLS = 12
# Part of them that must have ended.
ENDED_SHARE = 0.8
# The others count with the time that they have run and this multiple of the usual one, but at least
# with the usual one. Without it the mean lacks its longest run times.
RESIDUAL_RATIO = 0.4
# Multiples of the usual run time up to which the limit grows, and above which it shrinks. The
# latter is below the 1.5 that are allowed, as a mean of few calls errs by more than a tenth.
GOOD_RATIO = 1.2
BAD_RATIO = 1.4
# Above this, one result of fewer than MAX_CALLS is enough to shrink the limit; else two in a row
# are, since one may be chance.
CLEARLY_BAD_RATIO = 1.8
# A call that the target refused or failed counts as a run of this multiple of the usual time.
FAILURE_RATIO = 4.0
# Growth of the limit with each good result. A target that is full at the former limit answers in up
# to that multiple of the usual time, which must not exceed 1.5.
FAST_GROWTH = 1.5
# Growth in each CAREFUL_MS after a limit was too large, from below it on. Its power rises with each
# step, so that a target that has become warmer isn't held back for long.
CAREFUL_GROWTH = 1.15
CAREFUL_MS = 1_000.0
# Largest shrinkage at once, so that one high mean of few answers doesn't cost most of the limit.
SHRINKAGE = 0.5
# Run times within this share of those at another limit are no effect of the limit.
SAME_RATIO_SHARE = 0.15
# Time at one limit with run times between good and bad, after which a slightly larger one is tried.
HOLD_MS = 2_000.0
# Time after which the limit doubles where a smaller one doesn't help. A target that is slow by
# nature reaches its full limit in about five of these times.
STALL_MS = 4_000.0
# Time of good results after which the pace ends though the limit wasn't reached. Until then such a
# limit costs nothing, and it is there if senders return late.
UNBOUND_MS = 10_000.0
# Share of the limit in use above which it may have held calls back.
BOUND_SHARE = 0.8
# Good results in a row with all of the full limit in use, after which the pace ends.
FULL_RESULTS = 3
# Weight of a new run time in the usual one of its route. It spans about a hundred calls, so that a
# slow second hardly changes what is usual.
USUAL_WEIGHT = 0.01
# A target's own usual time counts up to this multiple of its siblings': the slowest machines are
# two to three times slower than the fastest, and it may have been overloaded before it went down.
MAX_OWN_RATIO = 2.5
# First run times of a route that define its usual one where nothing else is known.
LEARNING_ANSWERS = 8
# Without warm siblings, the weight of a new ratio in the average with which others are compared.
BASE_WEIGHT = 0.3
# Routes whose usual run time is kept.
MAX_ROUTES = 256
# Failures without an answer between them after which a target counts as down.
DOWN_FAILURES = 3


@frozen
class SiblingLevels:
    """Usual times of the siblings of a target that are warm.

    ``is_any_warm`` is false if all of them have just started too, as far as is known.
    ``service_ms`` is the median of their average run times, None if none is known, and ``route_ms``
    holds their latency by route.
    """

    is_any_warm: bool = False
    service_ms: float | None = None
    route_ms: Mapping[str, float] = Factory(dict)


@define
class _Usual:
    run_ms: float
    count: int = 1


@define
class _Sample:
    """The first calls that started since the limit was changed or judged, at most ``size``.

    ``running`` holds those that haven't ended, with their start and usual time, and ``used_sum``
    the sum of the calls that ran when each of them started.
    """

    size: int
    running: dict[Any, tuple[float, float | None]] = Factory(dict)
    started_count: int = 0
    ended_count: int = 0
    failure_count: int = 0
    used_sum: int = 0
    ratio_sum: float = 0.0

    @property
    def used(self) -> float:
        """Calls that ran at a time."""
        return self.used_sum / self.started_count

    @property
    def is_due(self) -> bool:
        """Whether enough calls have ended."""
        return self.started_count >= self.size and self.ended_count >= ENDED_SHARE * self.size

    def ratio(self, now_ms: float) -> float:
        """Return the mean run time in multiples of the usual one."""
        known = [(now_ms - ms, usual) for ms, usual in self.running.values() if usual is not None]
        unended = sum(max(1.0, run_ms / usual_ms + RESIDUAL_RATIO) for run_ms, usual_ms in known)
        return (self.ratio_sum + unended) / (self.ended_count + len(known))


class StartPace:
    """The pace of one target; without a start it only learns what run times are usual."""

    def __init__(self) -> None:
        self._usual: dict[str, _Usual] = {}
        self._siblings = SiblingLevels()
        # Whether no warm sibling was known at some moment of the pace.
        self._is_alone = False
        self._full_limit = 1
        # None while the target isn't paced.
        self._limit: int | None = None
        self._changed_at_ms = 0.0
        self._sample = _Sample(0)
        # The latest limit that was good or too large, and the ratio there, to compare others with.
        self._other: tuple[int, float] | None = None
        # The limit from which it grows carefully, until as many calls as were too many run well.
        self._knee = math.inf
        self._too_many = math.inf
        self._careful_steps = 0
        self._was_bad = False
        self._unbound_since_ms: float | None = None
        self._full_count = 0
        self._base_ratio: float | None = None
        self._failures_in_row = 0

    @property
    def is_active(self) -> bool:
        """Whether the target is paced."""
        return self._limit is not None

    def limit(self) -> int | None:
        """Return the number of calls that may run, or None if the target isn't paced."""
        return self._limit

    def resize(self, full_limit: int) -> None:
        """Set the number of calls that may run without a pace."""
        self._full_limit = max(1, full_limit)

    def update_siblings(self, levels: SiblingLevels) -> None:
        """Set what is known of the target's siblings."""
        self._siblings = levels
        self._is_alone = self._is_alone or not levels.is_any_warm

    def begin(self, now_ms: float) -> None:
        """Pace the target, which has started or recovered, from the lowest limit on."""
        self._is_alone = not self._siblings.is_any_warm
        share = ALONE_START_SHARE if self._is_alone else 0.0
        self._change_limit(max(self._lowest_limit, int(share * self._full_limit)))
        self._changed_at_ms = now_ms
        self._other = None
        self._knee = self._too_many = math.inf
        self._unbound_since_ms = None
        self._full_count = 0
        self._base_ratio = None
        self._failures_in_row = 0

    def record_start(self, key: Any, route: str, running_count: int, now_ms: float) -> None:
        """Record that a call started, and how many run now."""
        sample = self._sample
        if self._limit is not None and sample.started_count < sample.size:
            sample.started_count += 1
            sample.used_sum += running_count
            sample.running[key] = (now_ms, self._usual_ms(route))

    def record_answer(self, key: Any, route: str, started_ms: float, now_ms: float) -> None:
        """Record a response to a call that started at ``started_ms``."""
        self._failures_in_row = 0
        run_ms = now_ms - started_ms
        if self._limit is None:
            self._learn(route, run_ms)
            return
        if key not in self._sample.running:
            return
        usual_ms = self._sample.running[key][1]
        if usual_ms is None:
            usual_ms = self._learn(route, run_ms)
        self._end_call(key, run_ms / max(1.0, usual_ms), now_ms)

    def record_refusal(self, key: Any, now_ms: float) -> None:
        """Record that the target refused a call or answered it with an error."""
        if self._limit is not None and key in self._sample.running:
            self._sample.failure_count += 1
            self._end_call(key, FAILURE_RATIO, now_ms)

    def record_lost(self, key: Any, now_ms: float) -> None:
        """Record that the target couldn't be reached or lost a call.

        After ``DOWN_FAILURES`` without an answer it is down, and paced from when it answers again.
        """
        self._failures_in_row += 1
        if self._failures_in_row == DOWN_FAILURES:
            self.begin(now_ms)
        else:
            self.record_refusal(key, now_ms)

    def record_dropped(self, key: Any) -> None:
        """Record the end of a call that says nothing about the target."""
        sample = self._sample
        if sample.running.pop(key, None) is not None:
            # Another call takes its place.
            sample.used_sum -= round(sample.used)
            sample.started_count -= 1

    @property
    def _lowest_limit(self) -> int:
        return max(min(2, self._full_limit), int(START_SHARE * self._full_limit))

    def _learn(self, route: str, run_ms: float) -> float:
        usual = self._usual.get(route)
        if usual is not None:
            usual.count += 1
            usual.run_ms += max(USUAL_WEIGHT, 1.0 / usual.count) * (run_ms - usual.run_ms)
            return usual.run_ms
        if len(self._usual) < MAX_ROUTES:
            self._usual[route] = _Usual(run_ms)
        return run_ms

    def _usual_ms(self, route: str) -> float | None:
        usual = self._usual.get(route)
        own_ms = usual.run_ms if usual is not None and usual.count >= LEARNING_ANSWERS else None
        siblings = self._siblings
        sibling_ms = siblings.route_ms.get(route)
        if own_ms is not None and sibling_ms is not None:
            return max(1.0, sibling_ms, min(own_ms, MAX_OWN_RATIO * sibling_ms))
        known = (ms for ms in (own_ms, sibling_ms, siblings.service_ms) if ms is not None)
        usual_ms = next(known, None)
        return None if usual_ms is None else max(1.0, usual_ms)

    def _end_call(self, key: Any, ratio: float, now_ms: float) -> None:
        sample = self._sample
        del sample.running[key]
        sample.ended_count += 1
        sample.ratio_sum += ratio
        if sample.is_due:
            ratio = sample.ratio(now_ms)
            if self._is_alone:
                ratio = self._relative(ratio, sample.failure_count)
            self._judge(self._limit, sample.used, ratio, now_ms)

    def _judge(self, limit: int, used: float, ratio: float, now_ms: float) -> None:
        self._change_limit(limit)
        was_bad, self._was_bad = self._was_bad, ratio > BAD_RATIO
        if ratio <= GOOD_RATIO:
            self._judge_good(limit, used, ratio, now_ms)
            return
        self._unbound_since_ms = None
        self._full_count = 0
        waited_ms = now_ms - self._changed_at_ms
        is_limit_the_cause = self._is_limit_the_cause(limit, ratio)
        if ratio <= BAD_RATIO:
            if used >= BOUND_SHARE * limit and (not is_limit_the_cause or waited_ms >= HOLD_MS):
                self._move(_grown(limit, CAREFUL_GROWTH), now_ms)
            return
        if is_limit_the_cause and limit > self._lowest_limit:
            is_certain = limit >= MAX_CALLS or ratio > CLEARLY_BAD_RATIO
            if not (was_bad or is_certain):
                return
            self._other = (limit, ratio)
            self._too_many = used
            self._careful_steps = 0
            shrunk = int(used * max(SHRINKAGE, GOOD_RATIO / ratio))
            self._knee = max(self._lowest_limit, shrunk)
            self._move(self._knee, now_ms)
            return
        if waited_ms >= STALL_MS:
            self._knee = math.inf
            if limit >= self._full_limit:
                self._end()
                return
            self._other = self._other or (limit, ratio)
            self._move(2 * limit, now_ms)

    def _judge_good(self, limit: int, used: float, ratio: float, now_ms: float) -> None:
        self._other = (limit, ratio)
        if used >= BOUND_SHARE * limit:
            self._unbound_since_ms = None
            self._full_count = self._full_count + 1 if limit >= self._full_limit else 0
            if self._full_count >= FULL_RESULTS:
                self._end()
                return
        elif self._unbound_since_ms is None:
            self._unbound_since_ms = now_ms
        elif now_ms - self._unbound_since_ms >= UNBOUND_MS:
            self._end()
            return
        if used >= self._too_many:
            # It was a chance result of few calls, or the target has become warmer.
            self._knee = self._too_many = math.inf
        if limit >= self._knee:
            if now_ms - self._changed_at_ms >= CAREFUL_MS:
                self._careful_steps += 1
                self._move(_grown(limit, CAREFUL_GROWTH**self._careful_steps), now_ms)
            return
        # Results tell nothing of many more calls than have been running.
        most = _grown(math.ceil(used), FAST_GROWTH)
        self._move(max(limit, min(_grown(limit, FAST_GROWTH), most)), now_ms)

    def _relative(self, ratio: float, failure_count: int) -> float:
        """Compare the target with itself, to the end of the pace.

        The first siblings whose pace ends may still be cold. Without failures the limit doesn't
        shrink: calls that are slow at all targets are better run than refused.
        """
        base_ratio = ratio if self._base_ratio is None else self._base_ratio
        self._base_ratio = base_ratio + BASE_WEIGHT * (ratio - base_ratio)
        most = math.inf if failure_count else BAD_RATIO
        return min(ratio / base_ratio, most)

    def _is_limit_the_cause(self, limit: int, ratio: float) -> bool:
        if self._other is None:
            return True
        other_limit, other_ratio = self._other
        if limit < other_limit:
            return ratio < other_ratio * (1.0 - SAME_RATIO_SHARE)
        return ratio > other_ratio * (1.0 + SAME_RATIO_SHARE)

    def _move(self, limit: int, now_ms: float) -> None:
        limit = min(limit, self._full_limit)
        if limit != self._limit:
            self._change_limit(limit)
            self._changed_at_ms = now_ms

    def _change_limit(self, limit: int) -> None:
        self._limit = limit
        self._sample = _Sample(min(MAX_CALLS, max(MIN_CALLS, limit)))

    def _end(self) -> None:
        self._limit = None
        self._sample = _Sample(0)


def _grown(limit: int, growth: float) -> int:
    return max(limit + 1, int(limit * growth))


def make_start_pace() -> StartPace:
    """Return the pace of a target that hasn't started again."""
    return StartPace()
