"""Node's side of quotas: tokens leased from a steward, by organisation.

Requests take tokens that were leased in advance, for about half a second of the organisation's
recent rate at this node. Where that is less than a token, a request waits for one, or runs as an
overdraft that the steward has allowed and is told of later.
"""

from __future__ import annotations

import math
from collections.abc import Mapping, Sequence

from attrs import define, field, frozen

from cottonlink.organisations._quota_ledger import (
    OVERDRAFT_MS,
    QuotaAnswer,
    QuotaGrant,
    QuotaUsage,
)

# An exchange without an answer for this time has failed; the next steward is asked.
EXCHANGE_TIMEOUT_MS = 300.0
# The floor applies once so many exchanges in a row had no answer.
FLOOR_SILENT_COUNT = 3
# A steward of a higher rank is used again after this time of answered probes.
RETURN_MS = 5_000.0
# A node that has lost contact alone gets hardly anything from the next steward, as that one hears
# few nodes. It returns after the first answered probe, unless others have followed it by then. It
# does so once in RETURN_MS, since two stewards count it for a while.
STRAY_SHARE = 0.25
STRAY_RETURN_MS = 300.0
PROBE_INTERVAL_MS = 300.0
# Leased tokens are valid for this time from the request for them. The hard bound allows a quarter
# of a window, 1,250 ms.
LEASE_MS = 1_000.0
# Tokens leased in advance, as time at the recent rate; more are asked for below half of them.
BATCH_MS = 500.0
LOW_SHARE = 0.5
# Exchanges in advance are this far apart. In larger fleets the second figure, for each node, holds:
# a steward then gets at most 2,000 of them in a second.
EXCHANGE_INTERVAL_MS = 100.0
EXCHANGE_INTERVAL_PER_NODE_MS = 0.5
# A node without requests reports at this interval. Twice this is below the time for which a node
# counts as heard, so that one lost message doesn't lower the rate.
HEARTBEAT_MS = 450.0
# Time over which a falling rate of requests is averaged, and shortest time over which it is taken.
RATE_DECAY_MS = 500.0
MIN_RATE_PERIOD_MS = 50.0
FEW_REQUESTS = 3
# Part of its even share of the rate that a node without a steward uses.
FLOOR_SHARE = 0.5


@frozen
class QuotaExchange:
    """A request to ``steward``. A probe has no usages; its receiver doesn't call its ledger."""

    number: int
    steward: str
    usages: tuple[QuotaUsage, ...] = ()
    is_probe: bool = False


@define(eq=False)
class _Lease:
    """Tokens of one organisation at this node, and its rate of requests."""

    organisation: str
    counted_ms: float
    tokens: int = 0
    expires_ms: float = 0.0
    # Tokens that expire later than ``tokens``, and are used after them.
    next_tokens: int = 0
    next_expires_ms: float = 0.0
    # More tokens are asked for below this number.
    low_tokens: float = 0.0
    overdraft_until_ms: float = 0.0
    # Used as overdraft less expired; the second is the part that the pending exchange reports.
    unleased: int = 0
    reported: int = 0
    arrivals: int = 0
    rate_per_s: float = 0.0
    waiting: int = 0
    # Until then requests without a token are refused at once; the steward had none to grant.
    refused_until_ms: float = 0.0
    retry_at_ms: float = 0.0
    floor_tokens: float = 0.0
    floor_ms: float = field(default=-math.inf)


@define
class _Contact:
    """Probes of a steward of a higher rank than the one in use, and since when it answers them."""

    since_ms: float = math.inf
    probed_ms: float = -math.inf
    probe_number: int = 0


class QuotaLeases:
    """Tokens that one node has leased from the stewards of quotas.

    Call ``set_quotas``, ``set_node_count`` and ``set_stewards`` (the first names in rendezvous
    order, about 16, so that a minority of the fleet has one of them) when the configuration or the
    list of nodes changes.

    For each request call ``try_take``. If it returns False and ``should_wait`` is true, the request
    waits; call ``try_take`` again for waiting requests, with ``waited=True``, after each ``apply``
    and ``record_silence``, and refuse those that ``should_wait`` no longer holds for, or that have
    waited long enough. Call ``give_back`` for a request that took a token and was rejected before
    it ran.

    When ``wants_exchange`` is true, at ``next_exchange_ms`` at the latest or once a request waits,
    send what ``begin_exchange`` returns. Call ``apply`` with the answer, or ``record_silence`` if
    there is none within ``EXCHANGE_TIMEOUT_MS`` or the link is lost. Only one exchange is pending
    at a time. Send what ``begin_probe`` returns likewise, and call ``record_probe`` when it is
    answered; nothing is called for lost probes.

    - The steward dies or freezes: the next one is asked after the time-out, and leased tokens last
      for that long. Answers that come later are ignored; the tokens in them stay unused.
    - It is replaced, since a node starts that ranks before it: this node returns to the first
      rank after ``RETURN_MS`` of answered probes.
    - Only this node loses contact: it returns after the first answered probe.
    - No steward answers: each organisation has the floor after ``FLOOR_SILENT_COUNT`` exchanges,
      while the candidates are asked in turn, until one answers.
    - This node freezes: its tokens expire meanwhile, since times are monotonic.
    - This node restarts: what it had leased is lost; an overdraft that it hadn't reported is within
      the slack of the hard bound.
    """

    def __init__(self) -> None:
        self._quotas: dict[str, tuple[float, float]] = {}
        self._leases: dict[str, _Lease] = {}
        self._node_count = 1
        self._interval_ms = EXCHANGE_INTERVAL_MS
        self._stewards: tuple[str, ...] = ()
        self._contacts: dict[str, _Contact] = {}
        self.steward: str | None = None
        self._number = 0
        self._pending: QuotaExchange | None = None
        self._begun_ms = -math.inf
        self._due_ms = -math.inf
        self._silent_count = 0
        self._probed_ms = -math.inf
        self._moved_ms = -math.inf
        self._returned_ms = -math.inf
        self._heard_share = 0.0
        # Time since which no steward is in reach.
        self._floor_since_ms: float | None = None

    @property
    def steward_index(self) -> int | None:
        """Rank of the steward in use, 0 being the first; None without stewards."""
        return None if self.steward is None else self._stewards.index(self.steward)

    @property
    def has_steward(self) -> bool:
        """Whether any steward is in reach, as far as is known."""
        return self._floor_since_ms is None

    @property
    def next_exchange_ms(self) -> float:
        """Time of the next exchange; infinite without quotas or while one is pending."""
        if not self._quotas or self.steward is None or self._pending is not None:
            return math.inf
        return self._due_ms

    def set_quotas(self, quotas: Mapping[str, tuple[float, float]], now_ms: float) -> None:
        """Replace rate per second and burst of all organisations that have a quota."""
        if not self._quotas:
            self._due_ms = now_ms
        self._quotas = {name: quota for name, quota in quotas.items() if quota[0] > 0.0}
        leases = self._leases.items()
        self._leases = {name: lease for name, lease in leases if name in self._quotas}

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes, which determines the floor and the interval of exchanges."""
        self._node_count = max(1, count)
        per_node_ms = EXCHANGE_INTERVAL_PER_NODE_MS * self._node_count
        self._interval_ms = min(max(EXCHANGE_INTERVAL_MS, per_node_ms), HEARTBEAT_MS)

    def set_stewards(self, names: Sequence[str], now_ms: float) -> None:
        """Set the candidates; the steward in use is kept if it still is one."""
        self._stewards = tuple(names)
        if self.steward not in self._stewards:
            self._drop_pending()
            self._use(self._stewards[0] if self._stewards else None)
            self._silent_count = 0
            self._due_ms = now_ms
        self._contacts = {n: c for n, c in self._contacts.items() if n in self._stewards}

    def try_take(
        self, organisation: str, now_ms: float, *, waited: bool = False, may_wait: bool = True
    ) -> bool:
        """Take a token for a request; return whether there was one, or there is no quota.

        ``waited`` is whether this request was refused a token before, ``may_wait`` whether a token
        is asked for that it would get later.
        """
        lease = self._leases.get(organisation)
        if lease is None:
            if organisation not in self._quotas:
                return True
            # The time before the first request counts, or it would seem to be one of many.
            lease = self._leases[organisation] = _Lease(organisation, now_ms - RATE_DECAY_MS)
        if not waited:
            lease.arrivals += 1
        if lease.tokens and now_ms < lease.expires_ms:
            lease.tokens -= 1
            if lease.tokens + lease.next_tokens < lease.low_tokens:
                self._schedule(self._begun_ms + self._interval_ms)
            return True
        return self._take_next(lease, now_ms, may_wait=may_wait)

    def _take_next(self, lease: _Lease, now_ms: float, *, may_wait: bool) -> bool:
        _expire(lease, now_ms)
        if lease.tokens:
            lease.tokens -= 1
        elif now_ms < lease.overdraft_until_ms:
            # It is reported with the next exchange: one of its own would cost a message a request.
            lease.overdraft_until_ms = 0.0
            lease.unleased += 1
            return True
        elif self._floor_since_ms is not None:
            return self._take_floor(lease, now_ms)
        else:
            if may_wait and now_ms >= lease.refused_until_ms:
                lease.waiting += 1
                self._schedule(now_ms)
            else:
                self._schedule(self._begun_ms + self._interval_ms)
            return False
        self._schedule(self._begun_ms + self._interval_ms)
        return True

    def _take_floor(self, lease: _Lease, now_ms: float) -> bool:
        rate_per_s = self._quotas[lease.organisation][0] * FLOOR_SHARE / self._node_count
        if lease.floor_ms < self._floor_since_ms:
            lease.floor_tokens, lease.floor_ms = 0.0, self._floor_since_ms
        gained = rate_per_s * (now_ms - lease.floor_ms) / 1000.0
        lease.floor_tokens, lease.floor_ms = min(1.0, lease.floor_tokens + gained), now_ms
        if lease.floor_tokens < 1.0:
            lease.retry_at_ms = now_ms + (1.0 - lease.floor_tokens) * 1000.0 / rate_per_s
            return False
        lease.floor_tokens -= 1.0
        return True

    def give_back(self, organisation: str, taken_ms: float, now_ms: float) -> None:
        """Return the token of a request that was rejected before it ran.

        One that was held for longer than tokens are valid stays unused: the hard bound would be
        exceeded in a later window, in which it would be used in addition.
        """
        lease = self._leases.get(organisation)
        if lease is None or not self.has_steward or now_ms - taken_ms >= LEASE_MS:
            return
        if lease.tokens and now_ms < lease.expires_ms:
            lease.tokens += 1
        else:
            lease.unleased -= 1

    def should_wait(self, organisation: str, now_ms: float) -> bool:
        """Return whether a request without a token may get one from the next answer."""
        lease = self._leases.get(organisation)
        return lease is not None and self.has_steward and now_ms >= lease.refused_until_ms

    def retry_after_ms(self, organisation: str, now_ms: float) -> float:
        """Return the time after which a refused request may be sent again."""
        lease = self._leases.get(organisation)
        retry_at_ms = now_ms if lease is None else lease.retry_at_ms
        return max(self._interval_ms, retry_at_ms - now_ms)

    def wants_exchange(self, now_ms: float) -> bool:
        """Return whether ``begin_exchange`` should be called now."""
        return now_ms >= self.next_exchange_ms

    def begin_exchange(self, now_ms: float) -> QuotaExchange:
        """Return the next request to the steward, which is pending from now on."""
        usages = []
        for lease in list(self._leases.values()):
            usage = self._report(lease, now_ms)
            if usage is not None:
                usages.append(usage)
        self._number += 1
        assert self.steward is not None, "no stewards are set"
        self._pending = QuotaExchange(self._number, self.steward, tuple(usages))
        self._begun_ms = now_ms
        self._due_ms = now_ms + HEARTBEAT_MS
        return self._pending

    def _report(self, lease: _Lease, now_ms: float) -> QuotaUsage | None:
        """Return what to ask for, or None; drop a lease that holds nothing."""
        _expire(lease, now_ms)
        _update_rate(lease, now_ms)
        target = lease.rate_per_s * BATCH_MS / 1000.0
        held = lease.tokens + lease.next_tokens
        lease.low_tokens = target * LOW_SHARE if target >= 1.0 else 0.0
        ahead = int(target) - held if held < lease.low_tokens else 0
        waiting, lease.waiting = lease.waiting, 0
        lease.reported = lease.unleased
        if lease.unleased or waiting or ahead:
            return QuotaUsage(lease.organisation, lease.unleased, waiting, ahead)
        has_overdraft = now_ms < lease.overdraft_until_ms
        if target < 0.1 and not held and not has_overdraft and self.has_steward:
            del self._leases[lease.organisation]
        return None

    def apply(self, number: int, answer: QuotaAnswer, now_ms: float) -> None:
        """Apply the answer to the exchange with this number, unless it is no longer pending."""
        if self._pending is None or number != self._pending.number:
            return
        self._silent_count = 0
        self._floor_since_ms = None
        asked = {usage.organisation: usage for usage in self._pending.usages}
        self._pending = None
        self._forget_waiting()
        self._heard_share = answer.heard_share
        for grant in answer.grants:
            lease = self._leases.get(grant.organisation)
            usage = asked.get(grant.organisation)
            if lease is not None and usage is not None:
                self._apply_grant(lease, usage, grant, now_ms)

    def _apply_grant(
        self, lease: _Lease, usage: QuotaUsage, grant: QuotaGrant, now_ms: float
    ) -> None:
        lease.unleased -= lease.reported
        lease.reported = 0
        # The steward may have granted at any time since the request was sent.
        expires_ms = self._begun_ms + LEASE_MS
        _expire(lease, now_ms)
        if not lease.tokens:
            lease.tokens, lease.expires_ms = grant.tokens, expires_ms
        elif not lease.next_tokens:
            lease.next_tokens, lease.next_expires_ms = grant.tokens, expires_ms
        else:
            # The older time holds for both.
            lease.next_tokens += grant.tokens
        until_ms = self._begun_ms + OVERDRAFT_MS
        lease.overdraft_until_ms = until_ms if grant.overdraft else 0.0
        lease.retry_at_ms = now_ms + grant.retry_after_ms
        is_short = grant.tokens < usage.waiting or (usage.ahead and not grant.tokens)
        if is_short:
            wait_ms = min(grant.retry_after_ms, self._interval_ms)
            lease.refused_until_ms = now_ms + wait_ms

    def record_silence(self, number: int, now_ms: float) -> None:
        """Record that an exchange wasn't answered; the next steward will be asked at once."""
        if self._pending is None or number != self._pending.number:
            return
        steward = self._pending.steward
        self._drop_pending()
        self._forget_waiting()
        self._silent_count += 1
        tried = min(FLOOR_SILENT_COUNT, len(self._stewards))
        if self._silent_count >= tried and self._floor_since_ms is None:
            self._floor_since_ms = now_ms
        index = self._stewards.index(steward)
        self._use(self._stewards[(index + 1) % len(self._stewards)])
        self._moved_ms = self._due_ms = now_ms

    def _forget_waiting(self) -> None:
        """Forget who waits: each request that still does asks again after an answer."""
        for lease in self._leases.values():
            lease.waiting = 0

    def _drop_pending(self) -> None:
        self._pending = None
        for lease in self._leases.values():
            # The steward may have counted what was reported. Overdrafts are reported again, since
            # they must be paid; returned tokens aren't, since they must not be counted twice.
            lease.unleased -= min(0, lease.reported)
            lease.reported = 0

    def _use(self, steward: str | None) -> None:
        self.steward = steward
        self._contacts.clear()
        for lease in self._leases.values():
            # The next steward doesn't know of overdrafts that another one allowed.
            lease.overdraft_until_ms = lease.refused_until_ms = 0.0

    def begin_probe(self, now_ms: float) -> QuotaExchange | None:
        """Return a probe of a steward that ranks before the one in use, if one is due."""
        index = self.steward_index
        if not index or now_ms - self._probed_ms < PROBE_INTERVAL_MS:
            return None
        contacts = [self._contacts.setdefault(n, _Contact()) for n in self._stewards[:index]]
        oldest = min(range(index), key=lambda rank: contacts[rank].probed_ms)
        contact = contacts[oldest]
        if contact.probe_number:
            # The last probe wasn't answered.
            contact.since_ms = math.inf
        self._number += 1
        self._probed_ms = contact.probed_ms = now_ms
        contact.probe_number = self._number
        return QuotaExchange(self._number, self._stewards[oldest], is_probe=True)

    def record_probe(self, number: int, now_ms: float) -> None:
        """Record an answer to the probe with this number; return to a steward if it is time."""
        for contact in self._contacts.values():
            if contact.probe_number == number:
                contact.probe_number = 0
                contact.since_ms = min(contact.since_ms, contact.probed_ms)
        if self._pending is not None:
            return
        is_stray = (
            self._heard_share < STRAY_SHARE
            and now_ms - self._moved_ms >= STRAY_RETURN_MS
            and now_ms - self._returned_ms >= RETURN_MS
        )
        # All nodes must return to the same steward: the first of those in contact.
        for name in self._stewards[: self.steward_index or 0]:
            contact = self._contacts.get(name)
            if contact is None or contact.since_ms == math.inf:
                continue
            if is_stray or now_ms - contact.since_ms >= RETURN_MS:
                self._returned_ms = now_ms
                self._use(name)
            return

    def _schedule(self, due_ms: float) -> None:
        if due_ms < self._due_ms:
            self._due_ms = due_ms


def _expire(lease: _Lease, now_ms: float) -> None:
    """Count tokens that have expired as not used, and move the next ones to their place."""
    if lease.tokens and now_ms < lease.expires_ms:
        return
    lease.unleased -= lease.tokens
    lease.tokens, lease.expires_ms = lease.next_tokens, lease.next_expires_ms
    lease.next_tokens = 0
    if lease.tokens and now_ms >= lease.expires_ms:
        lease.unleased -= lease.tokens
        lease.tokens = 0


def _update_rate(lease: _Lease, now_ms: float) -> None:
    """Follow a rising rate within one or two exchanges, and a falling one by degrees."""
    elapsed_ms = now_ms - lease.counted_ms
    if elapsed_ms < MIN_RATE_PERIOD_MS:
        return
    recent_per_s = lease.arrivals * 1000.0 / elapsed_ms
    weight = 1.0 - math.exp(-elapsed_ms / RATE_DECAY_MS)
    average_per_s = lease.rate_per_s + weight * (recent_per_s - lease.rate_per_s)
    # A few requests close together aren't a rising rate, and their number limits the next batch.
    risen_per_s = (lease.arrivals - FEW_REQUESTS) * 2.0 * 1000.0 / BATCH_MS
    lease.rate_per_s = max(average_per_s, min(recent_per_s, risen_per_s))
    lease.arrivals, lease.counted_ms = 0, now_ms


def make_quota_leases() -> QuotaLeases:
    """Return the leases of a node that knows no quotas and no stewards."""
    return QuotaLeases()
