"""One service in virtual time: a target with slots, callers that resend, and a surge.

The model drives the pure decision modules only. It has no network and no other service: a request
that makes k calls makes them one after the other into the same service.
"""

from __future__ import annotations

import heapq
import itertools
import random
from collections import deque
from collections.abc import Callable

from attrs import define, field, frozen

from cottonlink._hashing import POSITION_COUNT
from cottonlink.decisions import (
    Arrival,
    Cancel,
    LimitAlgorithm,
    Outcome,
    QueueOrder,
    Refuse,
    Start,
    Threshold,
    make_admission,
)

SERVICE_MS = 50.0
TIMEOUT_MS = 1_000
EXPIRE_INTERVAL_MS = 50
WARM_UP_MS = 5_000
SURGE_MS = 10_000
AFTER_MS = 20_000
BASE_LOAD = 0.7

PROBE_SHARE = 0.02
THRESHOLD_TTL_MS = 1_000


@frozen
class User:
    """One user's service: importance, share and repeatability of its kinds."""

    name: str
    slots: int
    kinds: tuple[tuple[str, int, float, bool], ...]


def make_user(name: str, slots: int, booking_share: float) -> User:
    """Return a user with bookings, lookups made for them and others, and reads."""
    lookup_share = 0.2
    kinds = (
        ("booking", 8, booking_share, False),
        ("lookup", 6, lookup_share, True),
        ("read", 2, 1 - booking_share - lookup_share, True),
    )
    return User(name, slots, kinds)


USERS = (make_user("Norrsken", 40, 0.1), make_user("Kesh Sewa", 140, 0.2))


@frozen
class Scenario:
    """What is compared. ``limit`` None means no admission at all."""

    name: str
    limit: LimitAlgorithm | None = LimitAlgorithm.GRADIENT
    order: QueueOrder = QueueOrder.HASH
    calls: int = 1
    shared_position: bool = True
    ingress: bool = True
    surge: float = 3.0
    slow_factor: float = 2.0
    lost_slots: float = 0.0
    obey_retry_after: bool = False
    queue_per_slot: int = 2
    # Callers ask up to this many times in all, whatever they are told.
    attempts: int = 5


@define(eq=False)
class Request:
    """A whole request: ``calls`` calls that must all be answered before the caller times out."""

    kind: str
    importance: int
    repeatable: bool
    born_ms: float
    position: int
    attempt: int = 1
    done_calls: int = 0
    deadline_ms: float = 0.0
    is_over: bool = False
    call_id: str = ""


@define(eq=False)
class Target:
    """Slots with a FIFO queue in front, as a target has on its own.

    Cancelled work stops within 1 ms.
    """

    slots: int
    busy: dict[str, float] = field(factory=dict)
    backlog: deque[str] = field(factory=deque)


class Model:
    """Runs one scenario; all times are virtual milliseconds."""

    def __init__(self, user: User, scenario: Scenario, seed: int) -> None:
        self.user = user
        self.scenario = scenario
        self.rng = random.Random(seed)
        self.now_ms = 0.0
        self.end_ms = WARM_UP_MS + SURGE_MS + AFTER_MS
        self.events: list[tuple[float, int, Callable[..., None], tuple]] = []
        self.serials = itertools.count()
        self.target = Target(user.slots)
        self.requests: dict[str, Request] = {}
        self.threshold = Threshold(0, 0)
        self.threshold_ms = -1e9
        self.born: list[tuple[float, str]] = []
        self.completed: list[tuple[float, float, str]] = []
        self.wasted_calls = 0
        self.admission = scenario.limit and make_admission(
            user.slots,
            rng=random.Random(seed + 1),
            limit=scenario.limit,
            queue_order=scenario.order,
            queue_capacity=scenario.queue_per_slot * user.slots,
        )

    def run(self) -> None:
        """Run to the end of the observation."""
        self.at(0, self.be_born)
        if self.admission:
            self.at(EXPIRE_INTERVAL_MS, self.expire)
        while self.events and self.events[0][0] <= self.end_ms:
            self.now_ms, _, action, arguments = heapq.heappop(self.events)
            action(*arguments)

    def at(self, when_ms: float, action: Callable[..., None], *arguments: object) -> None:
        heapq.heappush(self.events, (when_ms, next(self.serials), action, arguments))

    def in_surge(self) -> bool:
        return WARM_UP_MS <= self.now_ms < WARM_UP_MS + SURGE_MS

    def rate_per_ms(self) -> float:
        """Return new requests a millisecond, relative to the healthy capacity."""
        capacity = self.user.slots / SERVICE_MS / self.scenario.calls
        return capacity * (self.scenario.surge if self.in_surge() else BASE_LOAD)

    def be_born(self) -> None:
        names = self.user.kinds
        kind, importance, _, repeatable = self.rng.choices(names, [k[2] for k in names])[0]
        request = Request(kind, importance, repeatable, self.now_ms, self.new_position())
        self.born.append((self.now_ms, kind))
        self.attempt(request)
        self.at(self.now_ms + self.rng.expovariate(self.rate_per_ms()), self.be_born)

    def new_position(self) -> int:
        return self.rng.randrange(POSITION_COUNT)

    def attempt(self, request: Request) -> None:
        """Send the whole request once; the caller waits TIMEOUT_MS for it."""
        request.done_calls = 0
        request.is_over = False
        request.deadline_ms = self.now_ms + TIMEOUT_MS
        self.at(request.deadline_ms, self.time_out, request, request.attempt)
        self.send_call(request)

    def send_call(self, request: Request) -> None:
        request.call_id = f"c{next(self.serials)}"
        position = request.position if self.scenario.shared_position else self.new_position()
        if self.admission is None:
            self.requests[request.call_id] = request
            self.hand_over(request.call_id)
            return
        if self.scenario.ingress and self.held_back(request, position):
            self.refused(request, 1_000)
            return
        self.requests[request.call_id] = request
        arrival = Arrival(
            request.call_id,
            request.importance,
            position,
            int(request.deadline_ms),
            int(self.now_ms),
            request.repeatable,
            request.kind,
        )
        self.apply(self.admission.arrive(arrival, int(self.now_ms)))

    def held_back(self, request: Request, position: int) -> bool:
        """Return whether the ingress refuses the call by the threshold it last saw."""
        if self.now_ms - self.threshold_ms > THRESHOLD_TTL_MS:
            return False
        admits = self.threshold.admits(request.importance, position)
        return not admits and self.rng.random() >= PROBE_SHARE

    def see_threshold(self) -> None:
        self.threshold = self.admission.threshold(int(self.now_ms))
        self.threshold_ms = self.now_ms

    def expire(self) -> None:
        self.apply(self.admission.expire(int(self.now_ms)))
        self.at(self.now_ms + EXPIRE_INTERVAL_MS, self.expire)

    def apply(self, decisions: tuple[Start | Refuse | Cancel, ...]) -> None:
        for decision in decisions:
            if isinstance(decision, Start):
                self.hand_over(decision.call_id)
            elif isinstance(decision, Refuse):
                request = self.requests.pop(decision.call_id)
                self.see_threshold()
                if not request.is_over and request.call_id == decision.call_id:
                    self.refused(request, decision.retry_after_ms or 1_000)
            else:
                self.stop(decision.call_id)

    def stop(self, call_id: str) -> None:
        """Carry out a cancellation: the target drops the run and the caller is told."""
        request = self.requests.pop(call_id)
        self.wasted_calls += 1
        if not request.is_over and request.call_id == call_id:
            self.refused(request, 1_000)
        self.at(self.now_ms + 1, self.release, call_id, Outcome.CANCELLED)

    def hand_over(self, call_id: str) -> None:
        self.target.backlog.append(call_id)
        self.fill_slots()

    def fill_slots(self) -> None:
        """Start work in free slots. During the surge the service is slower or has fewer slots."""
        target = self.target
        slots = target.slots
        if self.in_surge():
            slots = max(1, round(slots * (1 - self.scenario.lost_slots)))
        while target.backlog and len(target.busy) < slots:
            call_id = target.backlog.popleft()
            factor = self.scenario.slow_factor if self.in_surge() else 1.0
            work_ms = self.rng.uniform(0.5, 1.5) * SERVICE_MS * factor
            target.busy[call_id] = self.now_ms + work_ms
            self.at(self.now_ms + work_ms, self.release, call_id, Outcome.OK)

    def release(self, call_id: str, outcome: Outcome) -> None:
        """End the work on a call, which may have been cancelled before."""
        was_busy = self.target.busy.pop(call_id, None) is not None
        if not was_busy:
            if call_id not in self.target.backlog:
                return
            self.target.backlog.remove(call_id)
        request = self.requests.pop(call_id, None)
        if self.admission:
            self.apply(self.admission.finish(call_id, outcome, int(self.now_ms)))
            self.see_threshold()
        self.fill_slots()
        if outcome is Outcome.OK and request is not None:
            self.answered(request, call_id)

    def answered(self, request: Request, call_id: str) -> None:
        if request.is_over or request.call_id != call_id:
            self.wasted_calls += 1
            return
        request.done_calls += 1
        if request.done_calls < self.scenario.calls:
            self.send_call(request)
            return
        request.is_over = True
        self.completed.append((self.now_ms, request.born_ms, request.kind))

    def refused(self, request: Request, retry_after_ms: float) -> None:
        """End an attempt; the caller resends soon, or after the advised time if it obeys."""
        request.is_over = True
        self.wasted_calls += request.done_calls
        obeys = self.scenario.obey_retry_after
        self.resend(request, retry_after_ms if obeys else self.rng.uniform(50, 150))

    def time_out(self, request: Request, attempt: int) -> None:
        if request.is_over or request.attempt != attempt:
            return
        request.is_over = True
        if self.admission and request.call_id in self.requests:
            self.give_up(request)
        self.resend(request, 0)

    def give_up(self, request: Request) -> None:
        """Pass the caller's departure on to admission."""
        self.apply(self.admission.cancel(request.call_id, int(self.now_ms)))

    def resend(self, request: Request, delay_ms: float) -> None:
        if request.attempt >= self.scenario.attempts:
            return
        request.attempt += 1
        self.at(self.now_ms + delay_ms, self.attempt, request)
