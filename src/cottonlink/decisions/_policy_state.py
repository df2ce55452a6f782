"""The policy record that is in force at a node."""

from __future__ import annotations

import enum

from attrs import define, frozen

from cottonlink.policy import Policy, encode_policy


class IgnoredReason(enum.StrEnum):
    """Why an offered record did not come into force."""

    SAME = "same"
    LOWER = "lower"
    CONFLICT = "conflict"


@frozen
class Accepted:
    """The offered record is in force now."""

    policy: Policy


@frozen
class Ignored:
    """The record in force stays. ``source`` tells where the ignored one came from.

    ``IgnoredReason.CONFLICT`` means that two different records have the same version.
    """

    reason: IgnoredReason
    version: int
    source: str


@define
class PolicyState:
    """The record in force and the one before it. The version in force never decreases."""

    current: Policy | None = None
    previous: Policy | None = None

    @property
    def version(self) -> int:
        """Version in force, or 0 before the first record."""
        return self.current.version if self.current else 0

    def offer(self, policy: Policy, source: str) -> Accepted | Ignored:
        """Put ``policy`` in force if its version is higher than the current one."""
        if policy.version > self.version:
            self.previous = self.current
            self.current = policy
            return Accepted(policy)
        return Ignored(self._reason(policy), policy.version, source)

    def _reason(self, policy: Policy) -> IgnoredReason:
        if policy.version < self.version:
            return IgnoredReason.LOWER
        if encode_policy(policy)[1] == encode_policy(self.current)[1]:
            return IgnoredReason.SAME
        return IgnoredReason.CONFLICT


def make_policy_state() -> PolicyState:
    """Return the state of a node that has no record yet."""
    return PolicyState()
