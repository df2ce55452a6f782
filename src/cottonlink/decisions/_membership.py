"""Members of the fleet, choice of the watchers and exchange of gossip.

A watcher is one of the few nodes of a data centre that watch the configuration service; the other
nodes learn of changes by gossip. Evidence, also spread by gossip, tells when a watcher of a
data centre last reached that service. Members come from the policy record, the VM list and
gossip; the addresses in the settings (seeds) are used as long as no member is ready. No list has to
be complete or recent.
"""

from __future__ import annotations

import enum
import random
from collections.abc import Iterable

from attrs import define, field, frozen

from cottonlink.decisions._gossip import (
    MAX_DATA_CENTRES,
    MAX_MEMBERS_PER_MESSAGE,
    Gossip,
    GossipError,
    Member,
    MemberState,
    VmList,
    WatchEvidence,
)
from cottonlink.decisions._gossip_events import GossipEvents
from cottonlink.decisions._member_table import MemberTable
from cottonlink.decisions._membership_changes import (
    CrashReported,
    MembershipChange,
    NewerPolicyFound,
    NewerVmListFound,
    PolicyConflict,
)
from cottonlink.policy import Policy, encode_policy

WATCHERS_PER_DATA_CENTRE = 3

# A watcher reaches the service at least every 2 s (the time-out of a watch request) and gossips
# each second, so 5 s without evidence mean that no chosen watcher reaches the service.
WATCHER_SILENCE_MS = 5_000

# A node that took over keeps watching for this time. Otherwise its first success would count as
# evidence, it would stop, and the next change would wait for another WATCHER_SILENCE_MS.
TAKEOVER_MS = 30_000

# A node without a policy waits this time for its peers' answers before it reads the service, so
# that a service that was rolled back can't put an old record in force at a replaced node.
INITIAL_PEER_WAIT_MS = 2_000
INITIAL_PEER_WAIT_JITTER_MS = 1_000

# A node without contact to any peer for this time reads the service itself, since no watcher can
# inform it. With a read every 3 to 6 s a change still reaches it within 17 s.
ISOLATED_AFTER_MS = 8_000

FIRST_BACKOFF_MS = 1_000
# Bounds the time until the two sides of a healed partition gossip again; it is well below the 17 s
# in which a change must reach all nodes.
MAX_BACKOFF_MS = 8_000
BACKOFF_LIFETIME_MS = 60_000

EVIDENCE_LIFETIME_MS = 120_000


class ServiceAccess(enum.Enum):
    """How a node may use the configuration service now."""

    NONE = "none"
    WATCH = "watch"
    READ = "read"


@frozen
class _Backoff:
    until_ms: int
    delay_ms: int


@define(eq=False)
class Membership:
    """What one node knows about the fleet."""

    _table: MemberTable
    _seeds: tuple[Member, ...]
    _rng: random.Random
    _start_ms: int
    _initial_peer_wait_ms: int
    _events: GossipEvents
    _policy_version: int = 0
    _policy_digest: str = ""
    _vm_list: VmList | None = None
    _evidence_ms: dict[str, int] = field(factory=dict)
    _backoffs: dict[str, _Backoff] = field(factory=dict)
    _takeover_until_ms: int = 0
    _last_contact_ms: int | None = None

    @property
    def own(self) -> Member:
        """This node."""
        return self._table.own

    @property
    def vm_list(self) -> VmList | None:
        """The VM list in use."""
        return self._vm_list

    @property
    def vm_list_version(self) -> int:
        """Version of the VM list in use, or 0."""
        return self._vm_list.version if self._vm_list else 0

    def members(self) -> dict[str, Member]:
        """Return all known members by name, this node included. Don't change the result."""
        return self._table.members()

    def watchers(self, data_centre: str, now_ms: int) -> tuple[str, ...]:
        """Return the names of the nodes of ``data_centre`` that should watch the service.

        The first ``WATCHERS_PER_DATA_CENTRE`` in the rendezvous order always watch. After each
        ``WATCHER_SILENCE_MS`` without evidence, the next ones in the order join in place of those
        that joined before, so that a long outage doesn't turn the whole data centre into watchers.
        """
        order = self._table.watch_order(data_centre)
        chosen = order[:WATCHERS_PER_DATA_CENTRE]
        others = order[WATCHERS_PER_DATA_CENTRE:]
        silence_ms = now_ms - self._evidence_ms.get(data_centre, self._start_ms)
        period_count = silence_ms // WATCHER_SILENCE_MS
        if period_count < 1 or not others:
            return tuple(chosen)
        first = (period_count - 1) * WATCHERS_PER_DATA_CENTRE % len(others)
        return tuple(chosen + others[first : first + WATCHERS_PER_DATA_CENTRE])

    def is_watcher(self, now_ms: int) -> bool:
        """Return whether this node should watch the service."""
        if self.own.state is MemberState.LEAVING:
            return False
        is_listed = self.own.name in self.watchers(self.own.data_centre, now_ms)
        return is_listed or now_ms < self._takeover_until_ms

    def service_access(self, now_ms: int) -> ServiceAccess:
        """Return how this node may use the configuration service now.

        Only watchers watch it. A node without a policy asks its peers first. A node that is not a
        watcher and reaches no peer may read it.
        """
        is_new = not self._policy_version
        if is_new and now_ms - self._start_ms < self._initial_peer_wait_ms:
            return ServiceAccess.NONE
        if self.is_watcher(now_ms):
            return ServiceAccess.WATCH
        return ServiceAccess.READ if self._is_isolated(now_ms) else ServiceAccess.NONE

    def watch_succeeded(self, now_ms: int) -> None:
        """Record that this node reached the configuration service."""
        order = self._table.watch_order(self.own.data_centre)
        if self.own.name not in order[:WATCHERS_PER_DATA_CENTRE] and self.is_watcher(now_ms):
            self._start_takeover(now_ms)
        self._evidence_ms[self.own.data_centre] = now_ms

    def apply_policy(self, policy: Policy) -> tuple[MembershipChange, ...]:
        """Record the members and the version of the policy in force."""
        self._policy_version = policy.version
        self._policy_digest = encode_policy(policy)[1]
        self._table.set_policy_members(
            Member(up.name, up.data_centre, up.peer_address, up.control_address)
            for up in policy.upstreams_by_name.values()
        )
        return self._table.collect_changes()

    def apply_vm_list(self, vm_list: VmList, now_ms: int) -> tuple[MembershipChange, ...]:
        """Use a VM list, unless its version is not higher than that of the list in use."""
        if vm_list.version <= self.vm_list_version:
            return ()
        self._vm_list = vm_list
        self._table.set_vm_list_members(vm_list.vms)
        return self._table.collect_changes()

    def announce_leaving(self, now_ms: int) -> None:
        """Add to the gossip that this node is leaving."""
        self._table.set_own_leaving()
        self._events.add_leaving(self.own.name, self.own.incarnation, 0, now_ms)

    def announce_crash(self, fingerprint: str, crashes: int, now_ms: int) -> None:
        """Add to the gossip how many targets a request has crashed."""
        self._events.add_crash(fingerprint, crashes, 0, now_ms)

    def gossip_peers(self, count: int, now_ms: int) -> tuple[Member, ...]:
        """Return up to ``count`` random members to gossip with, or seeds if no member is ready.

        Members that did not answer are left out until their backoff ends.
        """
        for pool in (self._table.others(), self._seeds):
            ready = [member for member in pool if self._is_ready(member, now_ms)]
            if ready:
                return tuple(self._rng.sample(ready, min(count, len(ready))))
        return ()

    def standby_peer(self, now_ms: int) -> Member | None:
        """Return a random one of the nodes that would take over first from the chosen watchers.

        Returns None if this node is not a chosen watcher. Watchers gossip with these nodes
        directly; evidence spread by random gossip could arrive so late that they take over.
        """
        order = self._table.watch_order(self.own.data_centre)
        names = order[WATCHERS_PER_DATA_CENTRE : 2 * WATCHERS_PER_DATA_CENTRE]
        if self.own.name not in order[:WATCHERS_PER_DATA_CENTRE] or not names:
            return None
        member = self.members()[self._rng.choice(names)]
        return member if self._is_ready(member, now_ms) else None

    def peer_answered(self, member: Member, now_ms: int) -> None:
        """Record that ``member`` answered, and end its backoff."""
        self._backoffs.pop(member.control_address, None)
        self._last_contact_ms = now_ms

    def peer_failed(self, member: Member, now_ms: int) -> None:
        """Leave ``member`` out of gossip for a jittered time that doubles with each failure."""
        known = self._backoffs.get(member.control_address)
        delay_ms = min(2 * known.delay_ms, MAX_BACKOFF_MS) if known else FIRST_BACKOFF_MS
        until_ms = now_ms + round(delay_ms * self._rng.uniform(0.5, 1.0))
        self._backoffs[member.control_address] = _Backoff(until_ms, delay_ms)

    def make_gossip(self, now_ms: int, reply_to: Gossip | None = None) -> Gossip:
        """Return the next message to a peer, or the reply to one.

        It lists other members only while one of the two nodes has no policy, since the policy lists
        them all.
        """
        has_policy = self._policy_version and (reply_to is None or reply_to.policy_version)
        leaving, crashes = self._events.next_events(len(self.members()), now_ms)
        return Gossip(
            sender=self.own,
            policy_version=self._policy_version,
            policy_digest=self._policy_digest,
            vm_list_version=self.vm_list_version,
            evidence=self._evidence(now_ms),
            leaving=leaving,
            crashes=crashes,
            members=() if has_policy else self._table.sample(self._rng, MAX_MEMBERS_PER_MESSAGE),
        )

    def receive(self, gossip: Gossip, now_ms: int) -> tuple[MembershipChange, ...]:
        """Apply a message of a peer and return what is new.

        Raises GossipError ``gossip_refused``, without any change, if the message uses the name of
        this node or says that this process is leaving although it is not.
        """
        self._reject_impersonation(gossip)
        self._last_contact_ms = now_ms
        self._table.update_from_sender(gossip.sender, now_ms)
        for member in gossip.members:
            self._table.add_reported_member(member, now_ms)
        self._merge_evidence(gossip.evidence, now_ms)
        for event in gossip.leaving:
            if self._events.add_leaving(event.node, event.incarnation, event.age_ms, now_ms):
                self._table.mark_leaving(event.node, event.incarnation, event.age_ms, now_ms)
        learned = [
            CrashReported(event.fingerprint, event.crashes, event.age_ms)
            for event in gossip.crashes
            if self._events.add_crash(event.fingerprint, event.crashes, event.age_ms, now_ms)
        ]
        return (*self._compare_versions(gossip), *learned, *self._table.collect_changes())

    def expire(self, now_ms: int) -> tuple[MembershipChange, ...]:
        """Remove what is too old: unlisted members, marks of leaving nodes, events, backoffs."""
        self._events.expire(now_ms)
        self._table.expire(now_ms)
        oldest_ms = now_ms - BACKOFF_LIFETIME_MS
        for address in [a for a, known in self._backoffs.items() if known.until_ms < oldest_ms]:
            del self._backoffs[address]
        return self._table.collect_changes()

    def _start_takeover(self, now_ms: int) -> None:
        if now_ms >= self._takeover_until_ms:
            self._takeover_until_ms = now_ms + TAKEOVER_MS

    def _is_isolated(self, now_ms: int) -> bool:
        last_ms = self._start_ms if self._last_contact_ms is None else self._last_contact_ms
        return now_ms - last_ms >= ISOLATED_AFTER_MS

    def _is_ready(self, member: Member, now_ms: int) -> bool:
        known = self._backoffs.get(member.control_address)
        return known is None or known.until_ms <= now_ms

    def _evidence(self, now_ms: int) -> tuple[WatchEvidence, ...]:
        return tuple(
            WatchEvidence(data_centre, now_ms - seen_ms)
            for data_centre, seen_ms in sorted(self._evidence_ms.items())
            if now_ms - seen_ms < EVIDENCE_LIFETIME_MS
        )

    def _reject_impersonation(self, gossip: Gossip) -> None:
        problems = []
        if gossip.sender.name == self.own.name:
            problems.append(f"sender.name: {self.own.name!r} is the name of this node")
        for index, event in enumerate(gossip.leaving):
            is_own = (event.node, event.incarnation) == (self.own.name, self.own.incarnation)
            if is_own and self.own.state is MemberState.LIVE:
                problems.append(f"leaving[{index}]: this process is not leaving")
        if problems:
            raise GossipError("gossip_refused", tuple(problems), peer=gossip.sender.name)

    def _merge_evidence(self, evidence: Iterable[WatchEvidence], now_ms: int) -> None:
        for entry in evidence:
            seen_ms = now_ms - entry.age_ms
            known_ms = self._evidence_ms.get(entry.data_centre)
            # The last place is reserved for the data centre of this node.
            if known_ms is None and len(self._evidence_ms) >= MAX_DATA_CENTRES - 1:
                continue
            if known_ms is None or seen_ms > known_ms:
                self._evidence_ms[entry.data_centre] = seen_ms

    def _compare_versions(self, gossip: Gossip) -> list[MembershipChange]:
        # The address of a known member takes precedence over the one in the message, so that a
        # message can't direct the fleet's fetches to an arbitrary address.
        sender = self.members().get(gossip.sender.name, gossip.sender)
        changes: list[MembershipChange] = []
        is_same = gossip.policy_version == self._policy_version
        if gossip.policy_version > self._policy_version:
            changes.append(NewerPolicyFound(sender, gossip.policy_version, gossip.policy_digest))
        elif is_same and gossip.policy_digest != self._policy_digest:
            changes.append(PolicyConflict(sender, gossip.policy_version))
        if gossip.vm_list_version > self.vm_list_version:
            changes.append(NewerVmListFound(sender, gossip.vm_list_version))
        return changes


def make_membership(
    own: Member, seeds: Iterable[str], rng: random.Random, now_ms: int
) -> Membership:
    """Return the membership of a node that knows only itself and the ``seeds`` (``ip:port``)."""
    return Membership(
        table=MemberTable(own),
        seeds=tuple(Member("", "", "", seed) for seed in seeds if seed != own.control_address),
        rng=rng,
        start_ms=now_ms,
        initial_peer_wait_ms=INITIAL_PEER_WAIT_MS + rng.randrange(INITIAL_PEER_WAIT_JITTER_MS),
        events=GossipEvents(rng),
    )
