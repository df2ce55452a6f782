"""Server side of the control messages that spread policy and members."""

from __future__ import annotations

import json
import zlib
from typing import Any

import pykka
from attrs import frozen

from cottonlink.decisions import NewerPolicyFound, dump_gossip, dump_vm_list, parse_gossip
from cottonlink.node._actors._control_state import ControlState
from cottonlink.node._actors._interfaces import FetchPolicy, FetchVmList
from cottonlink.policy import encode_policy


@frozen
class CompressedJson:
    """Body of an answer: zlib-compressed JSON, sent with ``Content-Encoding: deflate``."""

    body: bytes


class ControlHandlers:
    """Answers ``POST /v1/gossip``, ``GET /v1/policy`` and ``GET /v1/vms``."""

    def __init__(self, state: ControlState, gossip: pykka.ActorRef) -> None:
        self._state = state
        self._gossip = gossip

    def post_gossip(self, data: Any, source: str = "") -> dict[str, Any]:
        """Take a gossip message (parsed JSON) and return the JSON-ready reply.

        Raises GossipError (code ``gossip_malformed`` or ``gossip_refused``, status 400), without
        any change. ``source`` is the address of the peer.
        """
        gossip = parse_gossip(data, source=source)
        for change in self._state.receive_gossip(gossip):
            if isinstance(change, NewerPolicyFound):
                self._gossip.tell(FetchPolicy(change.member, change.version, change.digest))
            else:
                self._gossip.tell(FetchVmList(change.member, change.version))
        return dump_gossip(self._state.make_gossip(reply_to=gossip))

    def get_policy(self, min_version: int) -> CompressedJson | None:
        """Return the record in force, or None (status 404) if its version is lower."""
        policy = self._state.policy
        if policy is None or policy.version < min_version:
            return None
        return CompressedJson(encode_policy(policy)[0])

    def get_vms(self, min_version: int) -> CompressedJson | None:
        """Return the VM list in use, or None (status 404) if its version is lower."""
        vm_list = self._state.vm_list
        if vm_list is None or vm_list.version < min_version:
            return None
        return CompressedJson(zlib.compress(json.dumps(dump_vm_list(vm_list)).encode()))
