"""What nodes tell each other about the fleet, and its JSON form."""

from __future__ import annotations

import enum
import re
from collections.abc import Mapping
from typing import Any

from attrs import frozen
from cattrs.errors import BaseValidationError

from cottonlink._structuring import (
    Check,
    check_address,
    check_data_centre,
    check_integer,
    check_list,
    check_name,
    check_string,
    describe,
    list_problems,
    make_converter,
)
from cottonlink.errors import CottonlinkError, Step

# Of each kind. A watcher has about 12 messages a second in and out; with full messages it stays
# below 24 KB a second.
MAX_EVENTS_PER_MESSAGE = 5
MAX_MEMBERS_PER_MESSAGE = 8
MAX_DATA_CENTRES = 32
MAX_VMS = 10_000

# An event is dropped at this age. Its age travels with it, so that nodes can't keep an event
# alive by passing it to each other, and no two clocks are compared.
EVENT_LIFETIME_MS = 120_000

_HIGHEST_VERSION = 2**53 - 1
_MAX_AGE_MS = 24 * 3_600_000
_TOKEN = re.compile(r"[0-9A-Za-z]{0,64}", re.ASCII)


class MemberState(enum.StrEnum):
    """Whether a node takes new work, as far as another node knows."""

    LIVE = "live"
    LEAVING = "leaving"


@frozen
class Member:
    """A node of the fleet. ``incarnation`` tells two processes of one name apart.

    A seed from the settings is a member of which only ``control_address`` is known.
    """

    name: str
    data_centre: str
    peer_address: str
    control_address: str
    state: MemberState = MemberState.LIVE
    incarnation: str = ""


@frozen
class WatchEvidence:
    """How long ago a watcher of a data centre last reached the configuration service."""

    data_centre: str
    age_ms: int


@frozen
class LeavingNode:
    """A process of a node began to leave ``age_ms`` ago."""

    node: str
    incarnation: str
    age_ms: int


@frozen
class CrashedFingerprint:
    """A request with this fingerprint has crashed ``crashes`` targets."""

    fingerprint: str
    crashes: int
    age_ms: int


@frozen
class Gossip:
    """One message of a gossip exchange, in either direction."""

    sender: Member
    policy_version: int = 0
    policy_digest: str = ""
    vm_list_version: int = 0
    evidence: tuple[WatchEvidence, ...] = ()
    leaving: tuple[LeavingNode, ...] = ()
    crashes: tuple[CrashedFingerprint, ...] = ()
    members: tuple[Member, ...] = ()


@frozen
class VmList:
    """The platform's list of VMs. ``version`` rises with each change of the list."""

    version: int
    vms: tuple[Member, ...]


class GossipError(CottonlinkError):
    """A gossip message or VM list was refused as a whole. ``problems`` lists every fault."""

    def __init__(self, code: str, problems: tuple[str, ...], *, peer: str = "") -> None:
        super().__init__(code, "; ".join(problems[:10]), step=Step.POLICY_SPREAD, peer=peer)
        self.problems = problems


def _check_token(value: Any) -> str:
    if not _TOKEN.fullmatch(check_string(value)):
        raise ValueError(f"expected letters and digits, got {describe(value)}")
    return value


def _check_fingerprint(value: Any) -> str:
    if not _check_token(value):
        raise ValueError("expected a fingerprint, got an empty string")
    return value


def _check_state(value: Any) -> MemberState:
    if not isinstance(value, str) or value not in list(MemberState):
        raise ValueError(f"expected live or leaving, got {describe(value)}")
    return MemberState(value)


def _structured(cls: type, max_count: int) -> Check:
    """Return a check for a bounded list of ``cls``; the bound is tested before any entry."""

    def check(value: Any) -> tuple:
        check_list(lambda entry: entry, max_count)(value)
        return _CONVERTER.structure(value, tuple[cls, ...])

    return check


_check_age_ms = check_integer(0, _MAX_AGE_MS)
_check_version = check_integer(0, _HIGHEST_VERSION)

_CONVERTER = make_converter(
    {
        Member: {
            "name": check_name,
            "data_centre": check_data_centre,
            "peer_address": check_address,
            "control_address": check_address,
            "state": _check_state,
            "incarnation": _check_token,
        },
        WatchEvidence: {"data_centre": check_data_centre, "age_ms": _check_age_ms},
        LeavingNode: {"node": check_name, "incarnation": _check_token, "age_ms": _check_age_ms},
        CrashedFingerprint: {
            "fingerprint": _check_fingerprint,
            "crashes": check_integer(1, 1_000_000),
            "age_ms": _check_age_ms,
        },
        Gossip: {
            "policy_version": _check_version,
            "policy_digest": _check_token,
            "vm_list_version": _check_version,
            "evidence": _structured(WatchEvidence, MAX_DATA_CENTRES),
            "leaving": _structured(LeavingNode, MAX_EVENTS_PER_MESSAGE),
            "crashes": _structured(CrashedFingerprint, MAX_EVENTS_PER_MESSAGE),
            "members": _structured(Member, MAX_MEMBERS_PER_MESSAGE),
        },
        VmList: {"version": _check_version, "vms": _structured(Member, MAX_VMS)},
    }
)


def parse_gossip(data: Any, *, source: str = "") -> Gossip:
    """Return the message in parsed JSON; raises GossipError ``gossip_malformed``."""
    return _parse(data, Gossip, "gossip_malformed", source)


def dump_gossip(gossip: Gossip) -> dict[str, Any]:
    """Return ``gossip`` as a JSON-ready mapping without its empty fields."""
    data = _CONVERTER.unstructure(gossip)
    return {name: value for name, value in data.items() if value}


def parse_vm_list(data: Any, *, source: str = "") -> VmList:
    """Return the VM list in parsed JSON; raises GossipError ``vm_list_malformed``."""
    return _parse(data, VmList, "vm_list_malformed", source)


def dump_vm_list(vm_list: VmList) -> dict[str, Any]:
    """Return ``vm_list`` as the JSON-ready mapping that the platform serves."""
    names = ("name", "data_centre", "peer_address", "control_address", "state")
    vms = [{name: str(getattr(vm, name)) for name in names} for vm in vm_list.vms]
    return {"version": vm_list.version, "vms": vms}


def _parse(data: Any, cls: type, code: str, source: str) -> Any:
    if not isinstance(data, Mapping):
        raise GossipError(code, (f"expected a mapping, got {describe(data)}",), peer=source)
    try:
        return _CONVERTER.structure(data, cls)
    except (BaseValidationError, ValueError) as error:
        raise GossipError(code, list_problems(error), peer=source) from error
