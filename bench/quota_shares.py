"""Simulation of quotas: messages, accuracy, time and memory by number of nodes and organisations.

Run with ``python -m bench.quota_shares``. Each node gets 20 requests a second. Three organisations
make half of them, through all nodes; the clients of each other one stick to three nodes. All use
80% of their quota, whose burst is one second of the rate. Then one of the large ones rises to 8
times its rate for 5 s. *Ideal* is a single token bucket that sees all requests.

The time of the ledger is that of all exchanges at the steward, without reading or writing frames.
"""

from __future__ import annotations

import random
import time
import timeit
import tracemalloc
from collections.abc import Callable

import click
from attrs import frozen

from cottonlink.organisations import (
    QuotaAnswer,
    QuotaGrant,
    QuotaLedger,
    QuotaUsage,
    make_quota_leases,
    make_quota_ledger,
)
from tests.quota_fleet import SimulatedFleet

NODE_COUNTS = (62, 196, 740)
ORGANISATION_COUNTS = (75, 1_000, 10_000)
REQUESTS_PER_NODE_PER_S = 20.0
LARGE_COUNT, LARGE_SHARE = 3, 0.5
CLIENT_NODES = 3
LOAD = 0.8
WARM_UP_MS, STEADY_MS, RISE_MS = 7_000, 4_000, 5_000
RISE = 8
TIMED_TAKES = 200_000


@frozen
class Row:
    """Figures of one fleet; the errors are shares of what the ideal bucket admits."""

    messages_per_node_per_s: float
    steward_messages_per_s: float
    ledger_core_share: float
    steady_error: float
    rise_error: float


class TimedLedger(QuotaLedger):
    """Measures the time spent in exchanges."""

    spent_s = 0.0

    def exchange(self, *args: object) -> QuotaAnswer:
        began_s = time.process_time()
        answer = super().exchange(*args)
        self.spent_s += time.process_time() - began_s
        return answer


def ideal_count(
    fleet: SimulatedFleet, organisation: str, since_ms: float, quota: tuple[float, float]
) -> tuple[int, int]:
    """Return how many requests were admitted since then, and how many a single bucket admits."""
    admitted_ms = fleet.admitted_ms[organisation]
    tokens, refilled_ms, count = quota[1], 0.0, 0
    for at_ms in sorted(admitted_ms + fleet.refused_ms[organisation]):
        tokens = min(quota[1], tokens + quota[0] * (at_ms - refilled_ms) / 1000.0)
        refilled_ms = at_ms
        if tokens >= 1.0:
            tokens -= 1.0
            count += at_ms >= since_ms
    return sum(at_ms >= since_ms for at_ms in admitted_ms), count


def measure_fleet(node_count: int, organisation_count: int, seed: int) -> Row:
    """Return the figures of a fleet in steady state and after a rise."""
    rng = random.Random(seed)
    total_per_s = REQUESTS_PER_NODE_PER_S * node_count
    large_per_s = total_per_s * LARGE_SHARE / LARGE_COUNT
    small_per_s = total_per_s * (1 - LARGE_SHARE) / (organisation_count - LARGE_COUNT)
    used = [large_per_s if n < LARGE_COUNT else small_per_s for n in range(organisation_count)]
    quotas = {f"o{n}": (r / LOAD, max(1.0, r / LOAD)) for n, r in enumerate(used)}
    fleet = SimulatedFleet(node_count, quotas, seed)
    steward = fleet.nodes[0]
    steward.ledger = TimedLedger()
    fleet.set_members(fleet.nodes)
    users = [
        fleet.nodes if n < LARGE_COUNT else rng.sample(fleet.nodes, CLIENT_NODES)
        for n in range(organisation_count)
    ]
    demand = list(zip(quotas, users, used, strict=True))
    fleet.run(WARM_UP_MS, demand)
    since_ms, messages, steward.ledger.spent_s = fleet.now_ms, fleet.message_count, 0.0
    fleet.run(STEADY_MS, demand)
    messages, spent_s = fleet.message_count - messages, steward.ledger.spent_s
    counts = [ideal_count(fleet, name, since_ms, quota) for name, quota in quotas.items()]
    steady_error = sum(abs(a - ideal) for a, ideal in counts) / sum(ideal for _, ideal in counts)
    since_ms = fleet.now_ms
    fleet.run(RISE_MS, [("o0", users[0], RISE * used[0]), *demand[1:]])
    admitted, ideal = ideal_count(fleet, "o0", since_ms, quotas["o0"])
    per_s = messages * 1000.0 / STEADY_MS
    core_share = spent_s * 1000.0 / STEADY_MS
    return Row(per_s / node_count, per_s, core_share, steady_error, admitted / ideal - 1.0)


def measure_take_us(organisation_count: int) -> tuple[float, float]:
    """Return the microseconds of ``try_take`` with a token, and without a quota."""
    leases = make_quota_leases()
    leases.set_quotas({f"o{n}": (1e6, 1e6) for n in range(organisation_count)}, 0.0)
    leases.set_stewards(("s",), 0.0)
    leases.try_take("o1", 0.0)
    number = leases.begin_exchange(0.0).number
    grants = (QuotaGrant("o1", tokens=2 * TIMED_TAKES),)
    leases.apply(number, QuotaAnswer(grants, 1.0), 1.0)

    def time_us(organisation: str) -> float:
        seconds = timeit.timeit(lambda: leases.try_take(organisation, 2.0), number=TIMED_TAKES)
        return seconds * 1e6 / TIMED_TAKES

    return time_us("o1"), time_us("other")


def measure_bytes(fill: Callable[[], object]) -> int:
    """Return the bytes that what ``fill`` returns takes."""
    tracemalloc.start()
    kept = fill()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    del kept
    return size


def measure_state(node_count: int, organisation_count: int) -> tuple[int, int]:
    """Return the bytes of a ledger and of leases while all organisations are active."""
    quotas = {f"o{n}": (10.0, 10.0) for n in range(organisation_count)}

    def fill_ledger() -> object:
        ledger = make_quota_ledger()
        ledger.set_quotas(quotas, 0.0)
        ledger.set_node_count(node_count)
        for at_ms in range(0, 6_000, 500):
            for n in range(node_count):
                ledger.exchange(f"n{n}", (), at_ms)
        for n in range(CLIENT_NODES):
            ledger.exchange(f"n{n}", [QuotaUsage(name, waiting=1) for name in quotas], 5_900.0)
        return ledger

    def fill_leases() -> object:
        leases = make_quota_leases()
        leases.set_quotas(quotas, 0.0)
        for name in quotas:
            leases.try_take(name, 0.0)
        return leases

    return measure_bytes(fill_ledger), measure_bytes(fill_leases)


@click.command()
@click.option("--seed", default=1, show_default=True)
def main(seed: int) -> None:
    """Print one line for each number of nodes and organisations."""
    click.echo(
        "nodes   orgs  msg/s/node  msg/s steward  ledger core  steady err  rise err", nl=False
    )
    click.echo("  take us  no quota us  ledger B  leases B")
    for node_count in NODE_COUNTS:
        for organisation_count in ORGANISATION_COUNTS:
            row = measure_fleet(node_count, organisation_count, seed)
            take_us, free_us = measure_take_us(organisation_count)
            ledger_bytes, leases_bytes = measure_state(node_count, organisation_count)
            click.echo(
                f"{node_count:5} {organisation_count:6} {row.messages_per_node_per_s:11.2f}"
                f" {row.steward_messages_per_s:14.0f} {row.ledger_core_share:12.2%}"
                f" {row.steady_error:11.2%} {row.rise_error:9.2%} {take_us:8.2f} {free_us:12.2f}"
                f" {ledger_bytes:9} {leases_bytes:9}"
            )


if __name__ == "__main__":
    main()
