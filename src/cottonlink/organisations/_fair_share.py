"""Max-min fair shares of a capacity, from decayed counts of what organisations ask for and get.

Used where requests are admitted or refused at once, so that no queue shows who waits: at the route
throttle and in the retry budget. The fair share is the largest amount that every organisation may
have so that the sum of what they use of it is the capacity.

The number of counts is bounded. When there are too many, the organisations that ask for least are
counted together in buckets by hash; one that asks for much is soon counted on its own again, since
it is the next to take a place that becomes free.
"""

from __future__ import annotations

import itertools
import math
from bisect import bisect_left

# Half-life of past requests in the counts.
HALF_LIFE_MS = 2_000.0
# Organisations that are counted on their own, and buckets for all others.
MAX_TRACKED = 256
BUCKET_COUNT = 256
# Time for which the sorted counts are used. Sorting takes longer than all other work of a request.
REFRESH_INTERVAL_MS = 100.0
# Counts below this are dropped: one request 3.3 half-lives ago.
MIN_COUNT = 0.1
# Counts are stored as multiples of a weight that doubles in each half-life, so that they needn't be
# updated as time passes. Weights above this start again from 1, far from the range of a float.
MAX_WEIGHT = 2.0**40


class FairShare:
    """What organisations asked for and got lately, of one capacity."""

    def __init__(self, half_life_ms: float, min_count: float) -> None:
        self._half_life_ms = half_life_ms
        self._min_count = min_count
        # Per organisation, or number of a bucket: amounts asked for and given, times the weight.
        self._counts: dict[str | int, list[float]] = {}
        self._tracked_count = 0
        self._weight_from_ms = 0.0
        self._started_ms: float | None = None
        self._refreshed_at_ms = -math.inf
        # Amounts asked for, smallest first, the sums of those before each, and the capacity of
        # which each is the fair share.
        self._asked: list[float] = []
        self._sums: list[float] = [0.0]
        self._capacities: list[float] = []

    @property
    def size(self) -> int:
        """Number of counts that are kept."""
        return len(self._counts)

    def record_asked(self, organisation: str, now_ms: float) -> None:
        """Count a request that ``organisation`` makes, whether it is granted or not."""
        if self._started_ms is None:
            self._started_ms = self._weight_from_ms = now_ms
        self._count(organisation, now_ms)[0] += self._weight(now_ms)

    def record_given(self, organisation: str, now_ms: float) -> None:
        """Count a request of ``organisation`` that was granted."""
        self._count(organisation, now_ms)[1] += self._weight(now_ms)

    def span_ms(self, now_ms: float) -> float:
        """Return the time that the counts stand for: a constant rate's count, divided by the rate.

        It is short at first, as nothing has been counted before, but never 0.
        """
        started_ms = now_ms if self._started_ms is None else self._started_ms
        age_ms = max(REFRESH_INTERVAL_MS, now_ms - started_ms)
        return self._half_life_ms / math.log(2) * (1.0 - 0.5 ** (age_ms / self._half_life_ms))

    def share(self, capacity: float, now_ms: float) -> float:
        """Return the fair share of ``capacity``, infinite if there is enough for all.

        It is infinite for a single organisation, too.
        """
        if now_ms - self._refreshed_at_ms >= REFRESH_INTERVAL_MS:
            self._refresh(now_ms)
        if len(self._asked) < 2 or capacity >= self._sums[-1]:
            return math.inf
        index = bisect_left(self._capacities, capacity)
        return (capacity - self._sums[index]) / (len(self._asked) - index)

    def given(self, organisation: str, now_ms: float) -> float:
        """Return what ``organisation`` got lately."""
        count = self._counts.get(self._key(organisation))
        return 0.0 if count is None else count[1] / self._weight(now_ms)

    def _key(self, organisation: str) -> str | int:
        if organisation in self._counts or self._tracked_count < MAX_TRACKED:
            return organisation
        return hash(organisation) % BUCKET_COUNT

    def _count(self, organisation: str, now_ms: float) -> list[float]:
        key = self._key(organisation)
        if key is not organisation and now_ms - self._refreshed_at_ms >= REFRESH_INTERVAL_MS:
            self._refresh(now_ms)
            key = self._key(organisation)
        count = self._counts.get(key)
        if count is None:
            count = self._counts[key] = [0.0, 0.0]
            self._tracked_count += key is organisation
        return count

    def _weight(self, now_ms: float) -> float:
        weight = 2.0 ** min(1_000.0, (now_ms - self._weight_from_ms) / self._half_life_ms)
        if weight <= MAX_WEIGHT:
            return weight
        for count in self._counts.values():
            count[0] /= weight
            count[1] /= weight
        self._weight_from_ms = now_ms
        return 1.0

    def _refresh(self, now_ms: float) -> None:
        self._refreshed_at_ms = now_ms
        weight = self._weight(now_ms)
        min_asked = self._min_count * weight
        self._counts = {k: c for k, c in self._counts.items() if c[0] >= min_asked}
        tracked = [key for key in self._counts if isinstance(key, str)]
        self._tracked_count = len(tracked)
        if len(tracked) >= MAX_TRACKED:
            self._move_to_buckets(tracked)
        self._asked = sorted(count[0] / weight for count in self._counts.values())
        self._sums = [0.0, *itertools.accumulate(self._asked)]
        size = len(self._asked)
        self._capacities = [
            self._sums[index] + (size - index) * asked for index, asked in enumerate(self._asked)
        ]

    def _move_to_buckets(self, tracked: list[str]) -> None:
        """Count the half of the organisations that asks for least in buckets."""
        tracked.sort(key=lambda organisation: self._counts[organisation][0])
        for organisation in tracked[: len(tracked) // 2]:
            asked, given = self._counts.pop(organisation)
            bucket = self._counts.setdefault(hash(organisation) % BUCKET_COUNT, [0.0, 0.0])
            bucket[0] += asked
            bucket[1] += given
        self._tracked_count = len(tracked) - len(tracked) // 2


def make_fair_share(half_life_ms: float = HALF_LIFE_MS, min_count: float = MIN_COUNT) -> FairShare:
    """Return the shares of a capacity of which nobody has asked for anything.

    Past requests have half of their weight after ``half_life_ms``; an organisation no longer counts
    when the weight of its requests is below ``min_count``.
    """
    return FairShare(half_life_ms, min_count)
