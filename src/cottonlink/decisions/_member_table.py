"""Known members of the fleet, combined from all sources, and which of them are leaving."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import attrs
from attrs import define, field, frozen

from cottonlink._hashing import rendezvous_order
from cottonlink.decisions._gossip import Member, MemberState
from cottonlink.decisions._membership_changes import MemberLeft, MemberReturned

# A leaving node has stopped after this time; a process of its name seen later may be a new one.
LEAVING_MARK_MS = 60_000
GOSSIP_MEMBER_LIFETIME_MS = 120_000
MAX_GOSSIP_MEMBERS = 4_096


@frozen
class _GossipMember:
    member: Member
    received_ms: int


@frozen
class _LeavingMark:
    incarnation: str
    until_ms: int


@define(eq=False)
class MemberTable:
    """Members by name; the policy record overrides the VM list, and both override gossip."""

    own: Member
    _from_policy: dict[str, Member] = field(factory=dict)
    _from_vm_list: dict[str, Member] = field(factory=dict)
    _from_gossip: dict[str, _GossipMember] = field(factory=dict)
    _leaving_marks: dict[str, _LeavingMark] = field(factory=dict)
    _reported_leaving: set[str] = field(factory=set)
    _members: dict[str, Member] | None = None
    _orders: dict[str, list[str]] = field(factory=dict)
    _has_changed: bool = False

    def members(self) -> dict[str, Member]:
        """Return all known members by name, this node included. Don't change the result."""
        if self._members is None:
            from_gossip = {name: entry.member for name, entry in self._from_gossip.items()}
            combined = (
                from_gossip | self._from_vm_list | self._from_policy | {self.own.name: self.own}
            )
            self._members = {name: self._with_state(member) for name, member in combined.items()}
        return self._members

    def others(self) -> list[Member]:
        """Return all members but this node."""
        return [member for name, member in self.members().items() if name != self.own.name]

    def watch_order(self, data_centre: str) -> list[str]:
        """Return the names of the live nodes of ``data_centre`` in the order to become watchers."""
        if data_centre not in self._orders:
            names = [
                name
                for name, member in self.members().items()
                if member.data_centre == data_centre and member.state is MemberState.LIVE
            ]
            self._orders[data_centre] = rendezvous_order(f"watchers/{data_centre}", names)
        return self._orders[data_centre]

    def set_own_leaving(self) -> None:
        """Mark this node as leaving; ``collect_changes`` doesn't report it, as the node knows."""
        self.own = attrs.evolve(self.own, state=MemberState.LEAVING)
        self._reported_leaving.add(self.own.name)
        self._invalidate_caches()

    def set_policy_members(self, members: Iterable[Member]) -> None:
        """Replace the members that come from the policy record."""
        self._from_policy = {member.name: member for member in members}
        self._invalidate_caches()

    def set_vm_list_members(self, members: Iterable[Member]) -> None:
        """Replace the members that come from the VM list."""
        self._from_vm_list = {member.name: member for member in members}
        self._invalidate_caches()

    def update_from_sender(self, sender: Member, now_ms: int) -> None:
        """Record what a node reports about itself."""
        mark = self._leaving_marks.get(sender.name)
        self._store_gossip_member(sender, now_ms)
        if sender.state is MemberState.LEAVING:
            self.mark_leaving(sender.name, sender.incarnation, 0, now_ms)
        elif mark and mark.incarnation != sender.incarnation:
            # A new process of that name is running; the mark was for an earlier one.
            del self._leaving_marks[sender.name]
            self._invalidate_caches()

    def add_reported_member(self, member: Member, now_ms: int) -> None:
        """Record what one node reports about another, unless that one is already known."""
        if member.name not in self.members():
            self._store_gossip_member(member, now_ms)

    def mark_leaving(self, name: str, incarnation: str, age_ms: int, now_ms: int) -> None:
        """Mark a process of a known node as leaving, unless the node now runs another process."""
        if name == self.own.name or name not in self.members() or age_ms >= LEAVING_MARK_MS:
            return
        known = self._from_gossip.get(name)
        if known and incarnation and known.member.incarnation not in ("", incarnation):
            return
        if name not in self._leaving_marks:
            self._invalidate_caches()
        self._leaving_marks[name] = _LeavingMark(incarnation, now_ms + LEAVING_MARK_MS - age_ms)

    def expire(self, now_ms: int) -> None:
        """Remove expired marks, and members from gossip that sent no message lately."""
        oldest_ms = now_ms - GOSSIP_MEMBER_LIFETIME_MS
        from_gossip = _kept(self._from_gossip, lambda entry: entry.received_ms > oldest_ms)
        marks = _kept(self._leaving_marks, lambda mark: mark.until_ms > now_ms)
        if len(from_gossip) < len(self._from_gossip) or len(marks) < len(self._leaving_marks):
            self._invalidate_caches()
        self._from_gossip = from_gossip
        self._leaving_marks = marks

    def collect_changes(self) -> tuple[MemberLeft | MemberReturned, ...]:
        """Return which nodes began or ceased to count as leaving since the previous call."""
        if not self._has_changed:
            return ()
        self._has_changed = False
        members = self.members()
        leaving = {name for name, member in members.items() if member.state is MemberState.LEAVING}
        left = sorted(leaving - self._reported_leaving)
        returned = sorted(self._reported_leaving - leaving)
        self._reported_leaving = leaving
        return (*map(MemberLeft, left), *map(MemberReturned, returned))

    def sample(self, rng: random.Random, count: int) -> tuple[Member, ...]:
        """Return up to ``count`` random live members other than this node."""
        live = [member for member in self.others() if member.state is MemberState.LIVE]
        return tuple(rng.sample(live, min(count, len(live))))

    def _store_gossip_member(self, member: Member, now_ms: int) -> None:
        known = self._from_gossip.get(member.name)
        if member.name == self.own.name or (
            not known and len(self._from_gossip) >= MAX_GOSSIP_MEMBERS
        ):
            return
        # Only the marks record that a node is leaving, because they expire; the state that a node
        # reported about itself would not.
        member = attrs.evolve(member, state=MemberState.LIVE)
        is_listed = member.name in self._from_policy or member.name in self._from_vm_list
        if not is_listed and (known is None or known.member != member):
            self._invalidate_caches()
        self._from_gossip[member.name] = _GossipMember(member, now_ms)

    def _with_state(self, member: Member) -> Member:
        listed = self._from_vm_list.get(member.name)
        is_leaving = (
            member.name in self._leaving_marks
            or member.state is MemberState.LEAVING
            or (listed is not None and listed.state is MemberState.LEAVING)
        )
        state = MemberState.LEAVING if is_leaving else MemberState.LIVE
        return member if member.state is state else attrs.evolve(member, state=state)

    def _invalidate_caches(self) -> None:
        self._members = None
        self._orders = {}
        self._has_changed = True


def _kept(entries: dict, keep: Callable) -> dict:
    return {name: entry for name, entry in entries.items() if keep(entry)}
