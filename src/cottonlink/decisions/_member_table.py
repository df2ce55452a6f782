"""Known members of the fleet from all sources, and which of them are leaving."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterable

import attrs
from attrs import define, field, frozen

from cottonlink._hashing import rendezvous_order
from cottonlink.decisions._gossip import Member, MemberState
from cottonlink.decisions._membership_changes import MemberLeft, MemberReturned

# A node that leaves has gone after this time; a later process of its name may be a new one.
LEAVING_MARK_MS = 60_000
HEARD_LIFETIME_MS = 120_000
MAX_HEARD_MEMBERS = 4_096


@frozen
class _Heard:
    member: Member
    heard_ms: int


@frozen
class _LeavingMark:
    incarnation: str
    until_ms: int


@define(eq=False)
class MemberTable:
    """Members by name. The policy record comes before the VM list, and both before gossip."""

    own: Member
    _from_policy: dict[str, Member] = field(factory=dict)
    _from_vm_list: dict[str, Member] = field(factory=dict)
    _heard: dict[str, _Heard] = field(factory=dict)
    _marks: dict[str, _LeavingMark] = field(factory=dict)
    _reported_leaving: set[str] = field(factory=set)
    _members: dict[str, Member] | None = None
    _orders: dict[str, list[str]] = field(factory=dict)
    _has_changed: bool = False

    def members(self) -> dict[str, Member]:
        """Return all known members by name, this node included. Don't change the result."""
        if self._members is None:
            heard = {name: entry.member for name, entry in self._heard.items()}
            found = heard | self._from_vm_list | self._from_policy | {self.own.name: self.own}
            self._members = {name: self._with_state(member) for name, member in found.items()}
        return self._members

    def others(self) -> list[Member]:
        """Return all members but this node."""
        return [member for name, member in self.members().items() if name != self.own.name]

    def watch_order(self, data_centre: str) -> list[str]:
        """Return the live nodes of ``data_centre`` in the order in which they become watchers."""
        if data_centre not in self._orders:
            names = [
                name
                for name, member in self.members().items()
                if member.data_centre == data_centre and member.state is MemberState.LIVE
            ]
            self._orders[data_centre] = rendezvous_order(f"watchers/{data_centre}", names)
        return self._orders[data_centre]

    def set_own_leaving(self) -> None:
        """Mark this node as leaving; it is not reported, since the node knows."""
        self.own = attrs.evolve(self.own, state=MemberState.LEAVING)
        self._reported_leaving.add(self.own.name)
        self._forget()

    def set_policy_members(self, members: Iterable[Member]) -> None:
        """Replace the members that come from the policy record."""
        self._from_policy = {member.name: member for member in members}
        self._forget()

    def set_vm_list_members(self, members: Iterable[Member]) -> None:
        """Replace the members that come from the VM list."""
        self._from_vm_list = {member.name: member for member in members}
        self._forget()

    def hear_sender(self, sender: Member, now_ms: int) -> None:
        """Take what a node says about itself."""
        mark = self._marks.get(sender.name)
        self._remember(sender, now_ms)
        if sender.state is MemberState.LEAVING:
            self.mark_leaving(sender.name, sender.incarnation, 0, now_ms)
        elif mark and mark.incarnation != sender.incarnation:
            # A new process of that name is at work; the mark was for the one before it.
            del self._marks[sender.name]
            self._forget()

    def hear_member(self, member: Member, now_ms: int) -> None:
        """Take what one node says about another, unless that one is known already."""
        if member.name not in self.members():
            self._remember(member, now_ms)

    def mark_leaving(self, name: str, incarnation: str, age_ms: int, now_ms: int) -> None:
        """Mark the process of a known node as leaving, unless a later process took its name."""
        if name == self.own.name or name not in self.members() or age_ms >= LEAVING_MARK_MS:
            return
        known = self._heard.get(name)
        if known and incarnation and known.member.incarnation not in ("", incarnation):
            return
        if name not in self._marks:
            self._forget()
        self._marks[name] = _LeavingMark(incarnation, now_ms + LEAVING_MARK_MS - age_ms)

    def expire(self, now_ms: int) -> None:
        """Forget unlisted members that were not heard lately, and old marks."""
        oldest_ms = now_ms - HEARD_LIFETIME_MS
        heard = _kept(self._heard, lambda entry: entry.heard_ms > oldest_ms)
        marks = _kept(self._marks, lambda mark: mark.until_ms > now_ms)
        if len(heard) < len(self._heard) or len(marks) < len(self._marks):
            self._forget()
        self._heard = heard
        self._marks = marks

    def take_changes(self) -> tuple[MemberLeft | MemberReturned, ...]:
        """Return which nodes began or ceased to count as leaving since the last call."""
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

    def _remember(self, member: Member, now_ms: int) -> None:
        known = self._heard.get(member.name)
        if member.name == self.own.name or (not known and len(self._heard) >= MAX_HEARD_MEMBERS):
            return
        # The state is held by the marks, which end; what a node said about itself doesn't.
        member = attrs.evolve(member, state=MemberState.LIVE)
        is_listed = member.name in self._from_policy or member.name in self._from_vm_list
        if not is_listed and (known is None or known.member != member):
            self._forget()
        self._heard[member.name] = _Heard(member, now_ms)

    def _with_state(self, member: Member) -> Member:
        listed = self._from_vm_list.get(member.name)
        is_leaving = (
            member.name in self._marks
            or member.state is MemberState.LEAVING
            or (listed is not None and listed.state is MemberState.LEAVING)
        )
        state = MemberState.LEAVING if is_leaving else MemberState.LIVE
        return member if member.state is state else attrs.evolve(member, state=state)

    def _forget(self) -> None:
        self._members = None
        self._orders = {}
        self._has_changed = True


def _kept(entries: dict, keep: Callable) -> dict:
    return {name: entry for name, entry in entries.items() if keep(entry)}
