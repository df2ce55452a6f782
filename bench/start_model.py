"""Model of targets that start again, in the fleet of the placement model.

A cold target either takes longer for each call, whatever its load (``is_per_call``), or can do less
work at a time, so that run times rise once it has more of it. Run with
``python -m bench.start_model``. Times are in milliseconds.
"""

from __future__ import annotations

import random
import sys
from collections import defaultdict

from attrs import Factory, define, evolve

from bench.placement_model import Call, FleetShape, PlacementModel
from cottonlink.overload import StartPace, make_start_pace, usable_slots

# The targets are empty when they start again.
DRAIN_MS = 2_000.0
COLD_FACTOR = 2.0
WINDOW_MS = 250.0
SIBLINGS_INTERVAL_MS = 500.0


@define
class Window:
    """What one target has answered in a window of time."""

    count: int = 0
    run_ms: float = 0.0
    work_ms: float = 0.0


@define(eq=False)
class Pacing:
    """The node next to one target."""

    pace: StartPace = Factory(make_start_pace)
    cold_until_ms: float = 0.0
    siblings_at_ms: float = 0.0
    windows: dict[int, Window] = Factory(lambda: defaultdict(Window))


class StartModel(PlacementModel):
    """A fleet in which targets start again; without ``is_paced`` nothing limits their calls."""

    def __init__(
        self, shape: FleetShape, rng: random.Random, *, is_paced: bool, is_per_call: bool
    ) -> None:
        super().__init__(shape, rng)
        self._is_paced = is_paced
        self._is_per_call = is_per_call
        self._started_ms: dict[Call, float] = {}
        self.nodes = [Pacing() for _ in self.targets]
        for node in self.nodes:
            node.pace.resize(usable_slots(shape.slots))

    def restart(self, numbers: list[int], at_ms: float, cold_ms: float) -> None:
        """Let targets drain, and start again at ``at_ms``."""
        self.schedule(at_ms - DRAIN_MS, lambda ms: self._register(numbers, ms, is_draining=True))
        self.schedule(at_ms, lambda ms: self._start_again(numbers, cold_ms, ms))

    def set_cold(self, number: int, until_ms: float) -> None:
        """Make a target cold until ``until_ms``, which no node is told."""
        self.nodes[number].cold_until_ms = until_ms

    def ratio(self, number: int, from_ms: float, to_ms: float) -> float:
        """Return run times as a multiple of those of a warm target of speed 1 with free slots."""
        windows = self._between(number, from_ms, to_ms)
        return sum(w.run_ms for w in windows) / max(1.0, sum(w.work_ms for w in windows))

    def share(self, number: int, from_ms: float, to_ms: float) -> float:
        """Return the work done as a multiple of the mean of the siblings of the same speed."""
        speed = self.targets[number].speed
        peers = [n for n, t in enumerate(self.targets) if t.speed == speed and n != number]
        works_ms = [
            sum(w.work_ms for w in self._between(n, from_ms, to_ms)) for n in [number, *peers]
        ]
        return works_ms[0] * len(peers) / max(1.0, sum(works_ms[1:]))

    def counts(self) -> tuple[int, int, int]:
        """Return the numbers of calls, of those refused and of placements until now."""
        result = self.result
        return sum(result.asked.values()), sum(result.refused.values()), result.placements

    def _between(self, number: int, from_ms: float, to_ms: float) -> list[Window]:
        windows = self.nodes[number].windows
        return [
            windows[n] for n in range(int(from_ms // WINDOW_MS), int(to_ms // WINDOW_MS)) if n >= 0
        ]

    def _register(self, numbers: list[int], now_ms: float, *, is_draining: bool) -> None:
        for number in numbers:
            target = self.targets[number]
            start = target.upstream.started_at_ms + (0 if is_draining else 1_000)
            target.upstream = evolve(target.upstream, is_draining=is_draining, started_at_ms=start)
        for balancer in self.balancers:
            balancer.update([t.upstream for t in self.targets], now_ms)

    def _start_again(self, numbers: list[int], cold_ms: float, now_ms: float) -> None:
        self._register(numbers, now_ms, is_draining=False)
        for number in numbers:
            self.nodes[number].cold_until_ms = now_ms + cold_ms
            if self._is_paced:
                self._read_siblings(number, now_ms)
                self.nodes[number].pace.begin(now_ms)
                self._apply(number)

    def _apply(self, number: int) -> None:
        self.targets[number].queue.pace(self.nodes[number].pace.limit())

    def _start(self, call: Call, now_ms: float) -> None:
        target = call.target
        number = self.targets.index(target)
        node = self.nodes[number]
        target.arrivals += 1
        self._started_ms[call] = now_ms
        node.pace.record_start(call, call.kind.route, target.queue.running_count, now_ms)
        factor = 1.0
        slots = self._shape.slots
        if target.queue.running_count >= 0.95 * slots:
            factor = 1.3
        if now_ms < node.cold_until_ms:
            used = target.queue.running_count / slots
            factor *= COLD_FACTOR if self._is_per_call else max(1.0, COLD_FACTOR * used)
        run_ms = call.work / target.speed * factor
        self.schedule(now_ms + run_ms, lambda ms: self._finish(call, ms))

    def _finish(self, call: Call, now_ms: float) -> None:
        number = self.targets.index(call.target)
        node, started_ms = self.nodes[number], self._started_ms.pop(call)
        window = node.windows[int(now_ms // WINDOW_MS)]
        window.count += 1
        window.run_ms += now_ms - started_ms
        window.work_ms += call.work
        if self._is_paced:
            self._record(number, call, started_ms, now_ms)
        super()._finish(call, now_ms)

    def _read_siblings(self, number: int, now_ms: float) -> None:
        node, balancer = self.nodes[number], self.balancers[number % len(self.balancers)]
        upstream_id = self.targets[number].upstream.upstream_id
        node.siblings_at_ms = now_ms
        node.pace.update_siblings(balancer.sibling_levels(upstream_id, now_ms))

    def _record(self, number: int, call: Call, started_ms: float, now_ms: float) -> None:
        node = self.nodes[number]
        if node.pace.is_active and now_ms >= node.siblings_at_ms + SIBLINGS_INTERVAL_MS:
            self._read_siblings(number, now_ms)
        node.pace.record_answer(call, call.kind.route, started_ms, now_ms)
        self._apply(number)


def report(is_paced: bool, is_per_call: bool, cold_ms: float, restarted: int, nodes: int) -> str:
    """Return a line with what became of a restart at 6 s."""
    shape = FleetShape(nodes, 12, nodes, 3, 32, 0.6)
    model = StartModel(shape, random.Random(7), is_paced=is_paced, is_per_call=is_per_call)
    number = next(n for n, t in enumerate(model.targets) if t.speed == 1.0)
    numbers = [number] if restarted == 1 else list(range(restarted))
    at_ms = 6_000.0
    before: list[int] = []
    model.schedule(at_ms, lambda _: before.extend(model.counts()))
    model.restart(numbers, at_ms, cold_ms)
    end_ms = at_ms + cold_ms + 8_000.0
    model.run(end_ms)
    asked, refused, placements = (a - b for a, b in zip(model.counts(), before, strict=True))
    steps = [at_ms + 500.0 * n for n in range(int((end_ms - at_ms) / 500.0))]
    ratios = [model.ratio(number, ms, ms + 500.0) for ms in steps]
    shares = [model.share(number, ms, ms + 500.0) for ms in steps]
    ready = [n for n, ms in enumerate(steps) if ms >= at_ms + cold_ms and shares[n] >= 0.9]
    ready_ms = steps[ready[0]] - at_ms - cold_ms if ready else float("inf")
    return (
        f"paced={is_paced} per_call={is_per_call} cold={cold_ms:.0f} targets={restarted} "
        f"nodes={nodes}: worst ratio {max(ratios):.2f}, share 0.9 after {ready_ms:.0f} ms, "
        f"refused {refused / asked:.4f}, placements {placements / asked:.2f}\n"
        f"  ratio {' '.join(f'{r:.1f}' for r in ratios)}\n"
        f"  share {' '.join(f'{s:.1f}' for s in shares)}"
    )


if __name__ == "__main__":
    node_count = int(sys.argv[1]) if len(sys.argv) > 1 else 62
    is_brief = "--paced" in sys.argv
    for per_call in (False, True):
        for cold in (0.0, 1_000.0, 10_000.0):
            for restarted in (1, 12):
                for paced in (True,) if is_brief else (False, True):
                    print(report(paced, per_call, cold, restarted, node_count), flush=True)
