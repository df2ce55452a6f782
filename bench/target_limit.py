"""Ways to keep the rate that targets name: at the node next to each, or as shares of all senders.

Run with ``python -m bench.target_limit``. Pure decisions on a simulated clock. Nodes send unevenly
to three targets that all name a limit, in three ranks. Shares give each sender an equal part of
each limit and refuse what is above. The other way is that of the call path, with a queue and a
token bucket next to each target, and senders that remember from refusals when there is room.

The table shows the share of the limits that is used, the share of requests of each rank that is
served, the most requests that a target got in 4 s, and how often targets turn a request away. The
result depends only on the seed.
"""

from __future__ import annotations

import json
import random
from collections import Counter, deque
from collections.abc import Iterable
from pathlib import Path
from typing import Protocol

import click
from attrs import define, field

from cottonlink.overload import (
    NEW_REQUEST_TIER,
    Job,
    LoadBalancer,
    Patience,
    TargetLimit,
    TargetQueue,
    make_load_balancer,
    make_target_limit,
    make_target_queue,
)
from cottonlink.path import Upstream

LIMIT_PER_S = 24.0
TARGETS = ("one", "two", "three")
SLOTS = 100
RUN_MS = 90.0
# Requests per second of each sender: a few nodes have most of the callers.
DEMAND_PER_S = (60, 45, 30, 20, 12, 8, 6, 5, 4, 4, 3, 3)
RANKS = (0, 1, 2)
MAX_WAIT_MS = {0: 450.0, 1: 225.0, 2: 225.0}
DURATION_MS = 20_000
TICK_MS = 1.0
WINDOW_MS = 4_000.0


class Way(Protocol):
    """A way to keep limits; ``send`` returns how many targets turned a request away."""

    started: dict[str, list[float]]
    served: Counter[int]

    def send(self, sender: int, rank: int, now_ms: float) -> int:
        """Handle a request of a sender."""

    def advance(self, now_ms: float) -> None:
        """Let time pass."""


@define
class EqualShares:
    """Each sender has an equal part of each target's limit, and sends nothing above it."""

    started: dict[str, list[float]] = field(factory=lambda: {name: [] for name in TARGETS})
    served: Counter[int] = field(factory=Counter)
    _shares: list[dict[str, TargetLimit]] = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._shares = [{name: make_target_limit() for name in TARGETS} for _ in DEMAND_PER_S]
        for share in (share for shares in self._shares for share in shares.values()):
            share.observe(LIMIT_PER_S / len(DEMAND_PER_S), 0.0)

    def send(self, sender: int, rank: int, now_ms: float) -> int:
        for name, share in self._shares[sender].items():
            if share.take(now_ms):
                self.started[name].append(now_ms)
                self.served[rank] += 1
                return 0
        return 0

    def advance(self, now_ms: float) -> None:
        pass


@define
class BucketAtTheTarget:
    """The node next to each target keeps its limit; senders learn from refusals."""

    started: dict[str, list[float]] = field(factory=lambda: {name: [] for name in TARGETS})
    served: Counter[int] = field(factory=Counter)
    _queues: dict[str, TargetQueue] = field(init=False)
    _senders: list[LoadBalancer] = field(init=False)
    _running: deque[tuple[float, str, Job]] = field(factory=deque)

    def __attrs_post_init__(self) -> None:
        limits = {name: make_target_limit() for name in TARGETS}
        for limit in limits.values():
            limit.observe(LIMIT_PER_S, 0.0)
        self._queues = {name: make_target_queue(SLOTS, limits[name]) for name in TARGETS}
        upstreams = [
            Upstream(name, "s", ("127.0.0.1", port), "a", SLOTS, False, 0.0, 1)
            for port, name in enumerate(TARGETS)
        ]
        self._senders = [
            make_load_balancer("a", random.Random(n)) for n in range(len(DEMAND_PER_S))
        ]
        for sender in self._senders:
            sender.update(upstreams, 0.0)

    def send(self, sender: int, rank: int, now_ms: float) -> int:
        balancer = self._senders[sender]
        patience = Patience(NEW_REQUEST_TIER, rank, MAX_WAIT_MS[rank])
        tried: set[str] = set()
        while True:
            upstream = balancer.choose("s", "r", 1_500.0, tried, False, now_ms, patience)
            if upstream is None:
                return len(tried)
            name = upstream.upstream_id
            job = Job(object(), NEW_REQUEST_TIER, rank, patience.max_wait_ms)
            is_started, refused = self._queues[name].offer(job, now_ms)
            if is_started:
                self._start(name, (job,), now_ms)
            if not any(refusal.job is job for refusal in refused):
                return len(tried)
            balancer.mark_full(name, patience, refused[0].retry_after_ms, now_ms)
            tried.add(name)

    def advance(self, now_ms: float) -> None:
        while self._running and self._running[0][0] <= now_ms:
            _, name, job = self._running.popleft()
            self._start(name, self._queues[name].finish(job.key, now_ms), now_ms)
        for name, queue in self._queues.items():
            queue.expire(now_ms)
            self._start(name, queue.start_due(now_ms), now_ms)

    def _start(self, name: str, jobs: Iterable[Job], now_ms: float) -> None:
        for job in jobs:
            self.started[name].append(now_ms)
            self.served[job.rank] += 1
            self._running.append((now_ms + RUN_MS, name, job))


@define
class Result:
    """Requests sent and served by rank, the most in a window, and turns away for each request."""

    sent: Counter[int]
    served: Counter[int]
    most_in_window: int
    turned_away_share: float


def play(way: Way, seed: int) -> Result:
    """Send requests at random times at the rates of ``DEMAND_PER_S``."""
    rng = random.Random(seed)
    sent: Counter[int] = Counter()
    turned_away = 0
    now_ms = 0.0
    while now_ms < DURATION_MS:
        now_ms += TICK_MS
        way.advance(now_ms)
        for sender, rate_per_s in enumerate(DEMAND_PER_S):
            if rng.random() < rate_per_s * TICK_MS / 1000.0:
                rank = rng.choice(RANKS)
                sent[rank] += 1
                turned_away += way.send(sender, rank, now_ms)
    return Result(sent, way.served, _most_in_window(way.started), turned_away / sent.total())


def _most_in_window(started: dict[str, list[float]]) -> int:
    most = 0
    for times_ms in started.values():
        window: deque[float] = deque()
        for time_ms in times_ms:
            window.append(time_ms)
            while window[0] <= time_ms - WINDOW_MS:
                window.popleft()
            most = max(most, len(window))
    return most


@click.command()
@click.option("--output", type=click.Path(path_type=Path), help="Write the table as JSON.")
def main(output: Path | None) -> None:
    """Compare both ways under the same requests."""
    rows = [
        _describe(name, play(make(), seed=1))
        for name, make in (("equal shares", EqualShares), ("bucket at target", BucketAtTheTarget))
    ]
    for row in rows:
        click.echo("  ".join(f"{name} {value}" for name, value in row.items()))
    if output is not None:
        output.write_text(json.dumps(rows, indent=2))


def _describe(name: str, result: Result) -> dict[str, object]:
    per_s = result.served.total() * 1000.0 / DURATION_MS
    return {
        "way": name,
        "used_share": round(per_s / (LIMIT_PER_S * len(TARGETS)), 3),
        **{f"served_rank_{r}": round(result.served[r] / result.sent[r], 3) for r in RANKS},
        "most_in_4_s": result.most_in_window,
        "turned_away_per_request": round(result.turned_away_share, 3),
    }


if __name__ == "__main__":
    main()
