"""What the control actors need from the node, and the messages that they take."""

from __future__ import annotations

from typing import Protocol

from attrs import frozen

from cottonlink.decisions import Member, SuspicionReport, TargetState
from cottonlink.policy import Policy


class NodeControl(Protocol):
    """The side of the node that control actors act on. All methods are thread-safe and short.

    None of them may be called with a lock held that a caller of ``ControlState`` holds as well.
    """

    def apply_policy(self, policy: Policy) -> None:
        """Put an accepted policy in force; an older version changes nothing."""

    def member_left(self, name: str) -> None:
        """Stop sending new work to ``name``; it said so, or the VM list did."""

    def member_returned(self, name: str) -> None:
        """Offer work to ``name`` again; nothing says any longer that it is leaving."""

    def suspend(self, reason: str) -> None:
        """Take no new work, because the VM list says that this VM is leaving."""

    def resume(self, reason: str) -> None:
        """Take work again; the VM list no longer says so."""

    def learn_suspicion(self, fingerprint: str, news: SuspicionReport) -> None:
        """Take in how many targets a request has crashed, as another node saw."""

    def target_state(self, state: TargetState) -> None:
        """Take in the health that the local target reports."""

    def refreshed(self) -> None:
        """Take note that policy and members are up to date again after a pause."""


@frozen
class Tick:
    """Time to do the periodic work of the actor."""


@frozen
class Refresh:
    """Ask peers at once for policy and members, because the process was paused."""


@frozen
class Spread:
    """Tell random peers at once that there is something new."""


@frozen
class Exchanged:
    """A gossip exchange with ``member`` that began at ``started_ms`` has ended."""

    member: Member
    answered: bool
    started_ms: int


@frozen
class Fetched:
    """The fetch called ``name`` has ended."""

    name: str


@frozen
class FetchPolicy:
    """``member`` has a policy of this version."""

    member: Member
    version: int
    digest: str


@frozen
class FetchVmList:
    """``member`` has a VM list of this version."""

    member: Member
    version: int
