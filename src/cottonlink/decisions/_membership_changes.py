"""Changes that a node learns of from gossip, a VM list or a policy."""

from __future__ import annotations

from attrs import frozen

from cottonlink.decisions._gossip import Member


@frozen
class NewerPolicyFound:
    """``member`` has a policy of a higher version, which can be fetched from it."""

    member: Member
    version: int
    digest: str


@frozen
class PolicyConflict:
    """``member`` has a different policy record than this node under the same version."""

    member: Member
    version: int


@frozen
class NewerVmListFound:
    """``member`` has a VM list of a higher version."""

    member: Member
    version: int


@frozen
class MemberLeft:
    """The node ``name``, which may be this one, is leaving and takes no new work."""

    name: str


@frozen
class MemberReturned:
    """The node ``name`` no longer counts as leaving."""

    name: str


@frozen
class CrashReported:
    """Another node reported that a fingerprint had crashed ``crashes`` targets ``age_ms`` ago."""

    fingerprint: str
    crashes: int
    age_ms: int = 0


MembershipChange = (
    NewerPolicyFound
    | PolicyConflict
    | NewerVmListFound
    | MemberLeft
    | MemberReturned
    | CrashReported
)
