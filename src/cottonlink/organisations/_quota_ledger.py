"""Steward's side of quotas: one token bucket for each organisation, for the whole fleet.

Several stewards may be active at once, as in a partition. None can tell whether there is another,
so each grants only the share of the rate and of the burst that matches the nodes it hears. A node
leases from one steward at a time, so the shares of all stewards add up to about one.
"""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping

from attrs import define, field, frozen

# A node counts as heard for this time. After a partition the former steward grants the whole rate
# for as long, beside what its successor grants: with 2 s the hard bound would be exceeded.
HEARD_MS = 1_000.0
# The share of nodes heard is multiplied by this, for nodes that have just died or started. As a
# factor it bounds the sum over any number of stewards, by less than the hard bound allows.
SHARE_FACTOR = 1.1
# A steward counts a node as settled, and starts buckets with its share of the burst, after this
# time: one window of the hard bound, in which another steward may have granted the burst.
SETTLED_MS = 5_000.0
# What a bucket starts with at a steward without settled nodes, as time at the granted rate.
START_MS = 500.0
# Least size of a bucket as time at the rate: nodes ask about that often, and what is gained between
# two requests would be lost with a smaller one.
MIN_BURST_MS = 100.0
# Nodes of one organisation that may overdraw at a time: half of the slack of the hard bound.
MAX_OVERDRAFTS = 10
# Added to each burst, from the other half of that slack: tokens that lie at nodes are missing
# elsewhere, and small organisations would be refused requests within their quota.
STRANDED_TOKENS = 8.0
# Time for which a node may use an overdraft; the ledger adds what an answer may take.
OVERDRAFT_MS = 5_000.0
OVERDRAFT_GRACE_MS = 1_000.0
# Part of a bucket that one node may take in advance; the rest is for requests that wait elsewhere.
AHEAD_SHARE = 0.25
# The share of heard nodes is computed, and full idle buckets are dropped, at these intervals.
SHARE_INTERVAL_MS = 50.0
SWEEP_INTERVAL_MS = 5_000.0


@frozen
class QuotaUsage:
    """What a node reports and asks for, for one organisation.

    ``unleased`` is the number of tokens used as overdraft less that of leased ones that weren't
    used; ``waiting`` that of requests that wait for a token, ``ahead`` that of tokens asked for in
    advance.
    """

    organisation: str
    unleased: int = 0
    waiting: int = 0
    ahead: int = 0


@frozen
class QuotaGrant:
    """Answer to a ``QuotaUsage``. ``overdraft`` is 1 if one request may run without a token.

    ``retry_after_ms`` is the time until the bucket holds a token, if fewer were granted than
    requests wait.
    """

    organisation: str
    tokens: int = 0
    overdraft: int = 0
    retry_after_ms: float = 0.0


@define
class _Bucket:
    tokens: float
    # Scaled time of the ledger at which ``tokens`` was computed.
    refilled_ms: float
    # Nodes that may overdraw, and until when.
    overdrafts: dict[str, float] = field(factory=dict)


@define
class _HeardNode:
    since_ms: float
    last_ms: float


@frozen
class QuotaAnswer:
    """Grants in the order of the usages, and the share of the nodes that this steward hears."""

    grants: tuple[QuotaGrant, ...]
    heard_share: float


class QuotaLedger:
    """Token buckets of the steward. Every node has a ledger; it is in use while nodes ask it.

    Call ``set_quotas`` and ``set_node_count`` when the configuration or the list of nodes changes,
    and ``exchange`` for each lease request, also those of the steward's own node. Probes, which
    nodes send to a steward that they don't lease from, are answered without calling the ledger:
    they must not raise its share while another steward grants to the same nodes.

    - A node dies: what it had leased is lost. Its share of the rate is withheld ``HEARD_MS`` later,
      less ``SHARE_FACTOR``, until ``set_node_count`` is called without it.
    - A node freezes: its leases expire by its own clock. An answer that it didn't read in time is
      lost, like a lost message.
    - This steward dies, freezes or is cut off: nodes ask the next one, whose buckets start almost
      empty. After a pause of ``HEARD_MS`` without any request this ledger starts anew as well.
    """

    def __init__(self) -> None:
        self._quotas: dict[str, tuple[float, float]] = {}
        self._buckets: dict[str, _Bucket] = {}
        self._heard: dict[str, _HeardNode] = {}
        self._node_count = 1
        self._now_ms = float("-inf")
        # Sum of time times share: a bucket that isn't used for a while gains what each share gave.
        self._scaled_ms = 0.0
        self._share = 0.0
        self._settled_share = 0.0
        self._share_at_ms = float("-inf")
        self._swept_at_ms = float("-inf")

    def set_quotas(self, quotas: Mapping[str, tuple[float, float]], now_ms: float) -> None:
        """Replace rate per second and burst of all organisations that have a quota.

        Buckets above a lowered burst are clipped; a changed rate counts from now on.
        """
        self._advance(now_ms)
        for organisation, bucket in self._buckets.items():
            self._refill(organisation, bucket)
        self._quotas = {name: quota for name, quota in quotas.items() if quota[0] > 0.0}
        buckets = self._buckets.items()
        self._buckets = {name: bucket for name, bucket in buckets if name in self._quotas}

    def set_node_count(self, count: int) -> None:
        """Set the number of nodes of which the heard ones are a share."""
        self._node_count = max(1, count)
        self._share_at_ms = float("-inf")

    def exchange(self, node: str, usages: Iterable[QuotaUsage], now_ms: float) -> QuotaAnswer:
        """Account for what ``node`` reports, and return what it is granted."""
        self._advance(now_ms)
        heard = self._heard.get(node)
        if heard is None:
            self._heard[node] = _HeardNode(now_ms, now_ms)
            self._update_share(now_ms)
        else:
            heard.last_ms = now_ms
        if now_ms - self._swept_at_ms >= SWEEP_INTERVAL_MS:
            self._sweep(now_ms)
        grants = tuple([self._grant(node, usage, now_ms) for usage in usages])
        return QuotaAnswer(grants, min(1.0, len(self._heard) / self._node_count))

    def _advance(self, now_ms: float) -> None:
        """Add the time since the last call to the scaled time; update the share if it is due."""
        if now_ms - self._now_ms <= HEARD_MS:
            self._scaled_ms += self._share * max(0.0, now_ms - self._now_ms)
        self._now_ms = now_ms
        if now_ms - self._share_at_ms >= SHARE_INTERVAL_MS:
            self._update_share(now_ms)

    def _update_share(self, now_ms: float) -> None:
        self._share_at_ms = now_ms
        kept = {name: n for name, n in self._heard.items() if now_ms - n.last_ms <= HEARD_MS}
        self._heard = kept
        if not kept:
            # All nodes may lease from another steward meanwhile.
            self._buckets.clear()
        settled = sum(now_ms - node.since_ms >= SETTLED_MS for node in kept.values())
        self._share = self._share_of(len(kept))
        self._settled_share = self._share_of(settled)

    def _share_of(self, count: int) -> float:
        return min(1.0, SHARE_FACTOR * count / self._node_count)

    def _grant(self, node: str, usage: QuotaUsage, now_ms: float) -> QuotaGrant:
        organisation = usage.organisation
        quota = self._quotas.get(organisation)
        if quota is None:
            # The node has a newer configuration, or an older one: no quota is in force here.
            return QuotaGrant(organisation, usage.waiting + usage.ahead)
        bucket = self._buckets.get(organisation)
        if bucket is None:
            burst = quota[1] + STRANDED_TOKENS
            start = burst * self._settled_share + quota[0] * START_MS / 1000.0
            bucket = self._buckets[organisation] = _Bucket(start, self._scaled_ms)
        bucket.tokens -= usage.unleased
        self._refill(organisation, bucket)
        available = max(0, math.floor(bucket.tokens))
        tokens = min(usage.waiting, available)
        if usage.ahead and available > tokens:
            tokens += min(usage.ahead, max(1, int(AHEAD_SHARE * (available - tokens))))
        bucket.tokens -= tokens
        retry_after_ms = 0.0
        if tokens < usage.waiting or (usage.ahead and not tokens):
            # Debts of overdrafts are included.
            rate_per_s = quota[0] * self._share
            retry_after_ms = max(0.0, 1.0 - bucket.tokens) * 1000.0 / rate_per_s
        # A node that leases in advance has no need of an overdraft.
        overdraft = not usage.ahead and self._allow_overdraft(node, bucket, now_ms)
        if not overdraft:
            bucket.overdrafts.pop(node, None)
        return QuotaGrant(organisation, tokens, int(overdraft), retry_after_ms)

    def _allow_overdraft(self, node: str, bucket: _Bucket, now_ms: float) -> bool:
        """Return whether ``node`` may overdraw by one token, of which the bucket keeps a record."""
        overdrafts = bucket.overdrafts
        if node not in overdrafts and len(overdrafts) >= int(MAX_OVERDRAFTS * self._settled_share):
            for name in [name for name, until_ms in overdrafts.items() if until_ms <= now_ms]:
                del overdrafts[name]
            if len(overdrafts) >= int(MAX_OVERDRAFTS * self._settled_share):
                return False
        if bucket.tokens < 1.0:
            return False
        overdrafts[node] = now_ms + OVERDRAFT_MS + OVERDRAFT_GRACE_MS
        return True

    def _refill(self, organisation: str, bucket: _Bucket) -> None:
        rate_per_s, burst = self._quotas[organisation]
        gained = rate_per_s * (self._scaled_ms - bucket.refilled_ms) / 1000.0
        burst = max(burst, rate_per_s * MIN_BURST_MS / 1000.0) + STRANDED_TOKENS
        size = max(1.0, self._share * burst)
        bucket.tokens = min(size, bucket.tokens + gained)
        bucket.refilled_ms = self._scaled_ms

    def _sweep(self, now_ms: float) -> None:
        """Drop full buckets without overdrafts once a new one would start full as well."""
        self._swept_at_ms = now_ms
        if self._settled_share < 1.0:
            return
        for organisation, bucket in list(self._buckets.items()):
            self._refill(organisation, bucket)
            is_idle = all(until_ms <= now_ms for until_ms in bucket.overdrafts.values())
            if is_idle and bucket.tokens >= self._quotas[organisation][1] + STRANDED_TOKENS:
                del self._buckets[organisation]


def make_quota_ledger() -> QuotaLedger:
    """Return a ledger without quotas that no node has asked yet."""
    return QuotaLedger()
