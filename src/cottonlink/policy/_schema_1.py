"""Policy records of schema 1, kept readable while operators migrate to schema 2.

Schema 1 differs from schema 2 in these points: an upstream has no ``connections``; a kind has
one ``method``, ``idempotent`` in place of ``repeatable`` and ``timeout_s`` in place of
``timeout_ms``; the record has ``retries`` in place of ``retry``.
"""

from __future__ import annotations

from attrs import frozen

from cottonlink._structuring import check_bool, check_number
from cottonlink.policy._checks import KIND_CHECKS, UPSTREAM_CHECKS, check_method

# Schema 1 left the number of connections to the node, which opened this many per slot.
CONNECTIONS_PER_SLOT = 8


@frozen
class Upstream1:
    """A target and the node beside it, schema 1."""

    name: str
    data_centre: str
    peer_address: str
    control_address: str
    slots: int


@frozen
class RequestKind1:
    """A kind of request, schema 1."""

    name: str
    method: str
    path: str
    importance: int
    idempotent: bool
    timeout_s: float


@frozen
class Service1:
    """A service, schema 1."""

    name: str
    upstreams: tuple[Upstream1, ...]
    kinds: tuple[RequestKind1, ...]


@frozen
class Policy1:
    """A policy record, schema 1."""

    version: int
    services: tuple[Service1, ...] = ()
    retries: int = 3


CHECKS_1 = {
    Upstream1: UPSTREAM_CHECKS,
    RequestKind1: KIND_CHECKS
    | {"method": check_method, "idempotent": check_bool, "timeout_s": check_number(0.001, 3_600)},
}
