"""Upgrade of records of older schemas to the classes that the rest of the code uses."""

from __future__ import annotations

import functools
import math

from cottonlink.policy._records import Policy, RequestKind, RetryPolicy, Service, Upstream
from cottonlink.policy._schema_1 import (
    CONNECTIONS_PER_SLOT,
    Policy1,
    RequestKind1,
    Service1,
    Upstream1,
)


@functools.singledispatch
def upgrade(record: object) -> Policy:
    """Return ``record``, of any schema this release reads, as a Policy."""
    raise TypeError(f"no upgrade from {type(record).__name__}")


@upgrade.register
def _(record: Policy) -> Policy:
    return record


@upgrade.register
def _(record: Policy1) -> Policy:
    return Policy(
        version=record.version,
        services=tuple(_upgrade_service(service) for service in record.services),
        retry=RetryPolicy(budget_per_request=record.retries),
    )


def _upgrade_service(service: Service1) -> Service:
    return Service(
        name=service.name,
        upstreams=tuple(_upgrade_upstream(upstream) for upstream in service.upstreams),
        kinds=tuple(_upgrade_kind(kind) for kind in service.kinds),
    )


def _upgrade_upstream(upstream: Upstream1) -> Upstream:
    return Upstream(
        name=upstream.name,
        data_centre=upstream.data_centre,
        peer_address=upstream.peer_address,
        control_address=upstream.control_address,
        slots=upstream.slots,
        connections=upstream.slots * CONNECTIONS_PER_SLOT,
    )


def _upgrade_kind(kind: RequestKind1) -> RequestKind:
    return RequestKind(
        name=kind.name,
        methods=(kind.method,),
        path=kind.path,
        importance=kind.importance,
        repeatable=kind.idempotent,
        timeout_ms=math.ceil(kind.timeout_s * 1000),
    )
