"""Plans of fleets: services with their upstreams, kinds of requests and work; policy records."""

from __future__ import annotations

from pathlib import Path

from attrs import field, frozen

from emulator.processes import ROOT
from emulator.target import Work


@frozen
class RequestKindPlan:
    """A kind of request, as in ``cottonlink.policy``."""

    name: str
    methods: tuple[str, ...]
    path: str
    importance: int
    repeatable: bool
    timeout_ms: int = 2_000


@frozen
class ServicePlan:
    """A service. ``data_centres`` lists the data centre of each upstream.

    ``published_slots`` replaces the true number of slots in the policy record. The other fields
    after ``work`` are as in ``TargetSettings``, but ``connections`` is part of the policy record.
    """

    name: str
    data_centres: tuple[str, ...]
    slots: int
    kinds: tuple[RequestKindPlan, ...]
    work: tuple[Work, ...]
    connections: int = 64
    starting_ms: int = 0
    cold_ms: int = 0
    cold_factor: float = 1.0
    stops_on_cancel: bool = True
    published_slots: int | None = None


@frozen
class FleetPlan:
    """All services of a fleet. ``node_settings`` overrides settings of all nodes.

    ``relayed`` puts a relay in front of each listener of a node, each target, the configuration
    service and the VM list. ``node_module`` is the module that runs as a node. The nodes are
    started from ``node_checkouts`` in turn, so that a fleet can mix two versions of the code.
    """

    services: tuple[ServicePlan, ...]
    relayed: bool = False
    budget_per_request: int = 3
    upstream_ratio: float = 0.1
    node_settings: dict[str, int | str] = field(factory=dict)
    node_module: str = "cottonlink.node"
    node_checkouts: tuple[Path, ...] = (ROOT,)


@frozen
class UpstreamAddresses:
    """The addresses, as ``ip:port``, at which the node and the target of one upstream listen.

    ``advertised_*`` are those that other processes are told: with relays, the relay's addresses.
    """

    name: str
    service: ServicePlan
    data_centre: str
    caller: str
    peer: str
    control: str
    target: str
    advertised_caller: str
    advertised_peer: str
    advertised_control: str
    advertised_target: str


def make_policy_record(
    plan: FleetPlan, upstreams: dict[str, UpstreamAddresses], version: int
) -> dict:
    """Return a policy record of schema 2 for ``plan`` that lists only the given upstreams."""
    return {
        "schema": 2,
        "version": version,
        "services": [
            {
                "name": service.name,
                "upstreams": [
                    _upstream_record(upstream)
                    for upstream in upstreams.values()
                    if upstream.service.name == service.name
                ],
                "kinds": [_kind_record(kind) for kind in service.kinds],
            }
            for service in plan.services
        ],
        "retry": {
            "budget_per_request": plan.budget_per_request,
            "upstream_ratio": plan.upstream_ratio,
        },
    }


def _upstream_record(upstream: UpstreamAddresses) -> dict:
    return {
        "name": upstream.name,
        "data_centre": upstream.data_centre,
        "peer_address": upstream.advertised_peer,
        "control_address": upstream.advertised_control,
        "slots": upstream.service.published_slots or upstream.service.slots,
        "connections": upstream.service.connections,
    }


def _kind_record(kind: RequestKindPlan) -> dict:
    return {
        "name": kind.name,
        "methods": list(kind.methods),
        "path": kind.path,
        "importance": kind.importance,
        "repeatable": kind.repeatable,
        "timeout_ms": kind.timeout_ms,
    }
