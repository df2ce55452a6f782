"""Policy state and membership of a node, shared by its control actors and control listener."""

from __future__ import annotations

import threading
from collections.abc import Iterable

import structlog

from cottonlink._clock import Clock
from cottonlink.decisions import (
    Accepted,
    CrashReported,
    Gossip,
    Ignored,
    IgnoredReason,
    Member,
    MemberLeft,
    MemberReturned,
    Membership,
    MembershipChange,
    NewerPolicyFound,
    NewerVmListFound,
    PolicyConflict,
    ServiceAccess,
    SuspicionReport,
    VmList,
    make_policy_state,
)
from cottonlink.errors import CottonlinkError, PolicyError
from cottonlink.node._actors._interfaces import NodeControl
from cottonlink.observe import EventKind, EventLog
from cottonlink.policy import Policy

GOSSIP_FANOUT = 2
URGENT_GOSSIP_FANOUT = 4
VM_LIST_REASON = "vm_list"

# Number of sources whose last error is remembered, so that it is reported only once.
MAX_REPORTED_SOURCES = 256

_log = structlog.get_logger()


class ControlState:
    """Makes the decisions of the control plane under one lock and reports them to the node.

    The lock is separate from that of the request path, because sampling 740 members takes longer
    than a call may wait. It is never held while the node is called.
    """

    def __init__(
        self, node: NodeControl, membership: Membership, events: EventLog, clock: Clock
    ) -> None:
        self._node = node
        self._membership = membership
        self._events = events
        self._clock = clock
        self._policy_state = make_policy_state()
        self._lock = threading.Lock()
        self._was_watcher = False
        self._reported_errors: dict[str, str] = {}

    @property
    def policy(self) -> Policy | None:
        """The policy in force, or None."""
        return self._policy_state.current

    @property
    def policy_version(self) -> int:
        """The version in force, or 0."""
        return self._policy_state.version

    @property
    def vm_list(self) -> VmList | None:
        """The VM list in use, or None."""
        return self._membership.vm_list

    def members(self) -> tuple[Member, ...]:
        """Return all known members, this node included."""
        with self._lock:
            return tuple(self._membership.members().values())

    def watchers(self, data_centre: str) -> tuple[str, ...]:
        """Return the nodes of ``data_centre`` that watch the configuration service."""
        with self._lock:
            return self._membership.watchers(data_centre, self._clock.monotonic_ms())

    def offer_policy(self, policy: Policy, source: str) -> Accepted | Ignored:
        """Put ``policy`` in force at this node if its version is higher than the current one."""
        with self._lock:
            result = self._policy_state.offer(policy, source)
            changes: tuple[MembershipChange, ...] = ()
            if isinstance(result, Accepted):
                changes = self._membership.apply_policy(policy)
        if isinstance(result, Accepted):
            self._events.record(
                EventKind.POLICY_ACCEPTED, peer=source, version=policy.version, digest=policy.digest
            )
            self._node.apply_policy(policy)
        elif result.reason is not IgnoredReason.SAME:
            self._report_once(source, f"policy_{result.reason}", policy.version)
        self._apply_to_node(changes)
        return result

    def report_error(self, error: CottonlinkError) -> None:
        """Record an event for a rejected policy, or log any other error, once while it lasts."""
        if isinstance(error, PolicyError):
            self._report_once(error.peer, error.code, 0, error.problems[0])
        elif self._is_unreported(error.peer, str(error)):
            _log.warning("control message failed", peer=error.peer, error=str(error)[:200])

    def receive_gossip(self, gossip: Gossip) -> tuple[NewerPolicyFound | NewerVmListFound, ...]:
        """Apply a message from a peer; return what should be fetched from it.

        Raises GossipError, without any change, if the message can't come from another node.
        """
        with self._lock:
            changes = self._membership.receive(gossip, self._clock.monotonic_ms())
        self._apply_to_node(changes)
        return tuple(c for c in changes if isinstance(c, NewerPolicyFound | NewerVmListFound))

    def make_gossip(self, reply_to: Gossip | None = None) -> Gossip:
        """Return the next message to a peer, or the reply to one."""
        with self._lock:
            return self._membership.make_gossip(self._clock.monotonic_ms(), reply_to)

    def gossip_peers(self) -> tuple[Member, ...]:
        """Return the peers for one periodic gossip round.

        Those of a watcher include a node that would take over from it, if one is ready.
        """
        with self._lock:
            now_ms = self._clock.monotonic_ms()
            standby = self._membership.standby_peer(now_ms)
            peers = self._membership.gossip_peers(GOSSIP_FANOUT, now_ms)
        return peers if standby is None or standby in peers else (*peers, standby)

    def urgent_gossip_peers(self) -> tuple[Member, ...]:
        """Return the peers that are notified at once of a change."""
        with self._lock:
            return self._membership.gossip_peers(URGENT_GOSSIP_FANOUT, self._clock.monotonic_ms())

    def peer_answered(self, member: Member) -> None:
        """Record that ``member`` answered."""
        with self._lock:
            self._membership.peer_answered(member, self._clock.monotonic_ms())

    def peer_failed(self, member: Member) -> None:
        """Record that ``member`` did not answer."""
        with self._lock:
            self._membership.peer_failed(member, self._clock.monotonic_ms())

    def expire(self) -> None:
        """Remove expired members, gossip events and peer backoffs."""
        with self._lock:
            changes = self._membership.expire(self._clock.monotonic_ms())
        self._apply_to_node(changes)

    def apply_vm_list(self, vm_list: VmList) -> bool:
        """Use ``vm_list`` if it is later than the one in use; return whether it is."""
        with self._lock:
            is_later = vm_list.version > self._membership.vm_list_version
            changes = self._membership.apply_vm_list(vm_list, self._clock.monotonic_ms())
        self._apply_to_node(changes)
        return is_later

    def vm_list_version(self) -> int:
        """Return the version of the VM list in use, or 0."""
        return self._membership.vm_list_version

    def service_access(self) -> ServiceAccess:
        """Return how this node may use the configuration service and the VM list now."""
        with self._lock:
            now_ms = self._clock.monotonic_ms()
            access = self._membership.service_access(now_ms)
            is_watcher = access is ServiceAccess.WATCH
            has_changed = is_watcher is not self._was_watcher
            self._was_watcher = is_watcher
        if has_changed:
            self._events.record(EventKind.WATCHER_CHANGED, code="began" if is_watcher else "ceased")
        return access

    def watch_succeeded(self) -> None:
        """Record that this node reached the configuration service."""
        with self._lock:
            self._membership.watch_succeeded(self._clock.monotonic_ms())

    def forget_reported_error(self, peer: str) -> None:
        """Forget the last error of ``peer``, which is over, so that the next one is reported."""
        self._reported_errors.pop(peer, None)

    def announce_leaving(self) -> None:
        """Announce with the next gossip messages that this node leaves."""
        with self._lock:
            self._membership.announce_leaving(self._clock.monotonic_ms())

    def announce_crash(self, fingerprint: str, crashes: int) -> None:
        """Announce with the next gossip messages how many targets a request has crashed."""
        with self._lock:
            self._membership.announce_crash(fingerprint, crashes, self._clock.monotonic_ms())

    def _apply_to_node(self, changes: Iterable[MembershipChange]) -> None:
        own_name = self._membership.own.name
        for change in changes:
            match change:
                case MemberLeft(name) if name == own_name:
                    self._node.suspend(VM_LIST_REASON)
                case MemberLeft(name):
                    self._node.member_left(name)
                case MemberReturned(name) if name == own_name:
                    self._node.resume(VM_LIST_REASON)
                case MemberReturned(name):
                    self._node.member_returned(name)
                case CrashReported(fingerprint, crashes, age_ms):
                    self._node.learn_suspicion(fingerprint, SuspicionReport(crashes, age_ms))
                case PolicyConflict(member, version):
                    self._report_once(member.name, "policy_conflict", version)

    def _report_once(self, source: str, code: str, version: int, detail: str = "") -> None:
        if self._is_unreported(source, f"{code} {version} {detail}"):
            self._events.record(
                EventKind.POLICY_REJECTED,
                peer=source,
                code=code,
                version=version,
                detail=detail[:200],
            )

    def _is_unreported(self, source: str, text: str) -> bool:
        """Return whether ``text`` differs from the last error of ``source``, and remember it.

        An error recurs with every watch and gossip exchange; reported each time, it would push all
        other events out of the ring buffer.
        """
        if self._reported_errors.get(source) == text:
            return False
        if len(self._reported_errors) >= MAX_REPORTED_SOURCES:
            self._reported_errors.clear()
        self._reported_errors[source] = text
        return True
