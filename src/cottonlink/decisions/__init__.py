"""Pure decision modules, usable without a network.

Each takes typed events with a monotonic ``now_ms`` and returns typed decisions.
"""

from cottonlink.decisions._gossip import (
    CrashedFingerprint,
    Gossip,
    GossipError,
    LeavingNode,
    Member,
    MemberState,
    VmList,
    WatchEvidence,
    dump_gossip,
    dump_vm_list,
    parse_gossip,
    parse_vm_list,
)
from cottonlink.decisions._membership import Membership, ServiceAccess, make_membership
from cottonlink.decisions._membership_changes import (
    CrashLearned,
    MemberLeft,
    MemberReturned,
    MembershipChange,
    PolicyBehind,
    PolicyConflict,
    VmListBehind,
)
from cottonlink.decisions._policy_state import (
    Accepted,
    Ignored,
    IgnoredReason,
    PolicyState,
    make_policy_state,
)

__all__ = [
    "Accepted",
    "CrashLearned",
    "CrashedFingerprint",
    "Gossip",
    "GossipError",
    "Ignored",
    "IgnoredReason",
    "LeavingNode",
    "Member",
    "MemberLeft",
    "MemberReturned",
    "MemberState",
    "Membership",
    "MembershipChange",
    "PolicyBehind",
    "PolicyConflict",
    "PolicyState",
    "ServiceAccess",
    "VmList",
    "VmListBehind",
    "WatchEvidence",
    "dump_gossip",
    "dump_vm_list",
    "make_membership",
    "make_policy_state",
    "parse_gossip",
    "parse_vm_list",
]
