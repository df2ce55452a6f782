"""A small model of the Norrsken services: playlists, bookings, and config, on which both depend.

The baseline is the same fleet with the decisions switched off by its policy record: more slots than
are ever used (no admission limit), equal importance for all kinds, no permits, and practically
unlimited retries. Its targets don't stop on cancellation.
"""

from __future__ import annotations

import attrs

from emulator.load import RequestMixEntry
from emulator.plans import FleetPlan, RequestKindPlan, ServicePlan
from emulator.target import ChildCall, Work

DATA_CENTRES = ("vasteras", "eskilstuna", "uppsala")
BASELINE_SLOTS = 10_000
BASELINE_RETRIES = 100

LOOKUP = ChildCall("GET", "/config/lookup")
PLAYLIST = ServicePlan(
    name="playlist",
    data_centres=DATA_CENTRES[:2],
    slots=5,
    kinds=(RequestKindPlan("playlists", ("GET",), "/playlists", 3, True, 1_000),),
    work=(Work("/playlists", 40, (LOOKUP,)),),
)
BOOKING = ServicePlan(
    name="booking",
    data_centres=DATA_CENTRES[:2],
    slots=4,
    kinds=(RequestKindPlan("bookings", ("POST",), "/bookings", 8, False, 1_000),),
    work=(Work("/bookings", 50, (LOOKUP,)),),
)
CONFIG = ServicePlan(
    name="config",
    data_centres=DATA_CENTRES,
    slots=2,
    kinds=(RequestKindPlan("lookups", ("GET",), "/lookup", 2, True, 1_000),),
    work=(Work("/lookup", 20),),
)
NORRSKEN = FleetPlan(
    services=(PLAYLIST, BOOKING, CONFIG),
    node_settings={"caller_limit": 128, "peer_limit": 128},
)
REQUEST_MIX = (
    RequestMixEntry("GET", "/playlist/playlists", 0.8),
    RequestMixEntry("POST", "/booking/bookings", 0.2, keyed=True),
)


def make_baseline(plan: FleetPlan) -> FleetPlan:
    """Return ``plan`` with the decisions switched off."""
    return attrs.evolve(
        plan,
        services=tuple(_disable_decisions(service) for service in plan.services),
        budget_per_request=BASELINE_RETRIES,
        upstream_ratio=1.0,
        node_module="emulator.jumping_node",
    )


def _disable_decisions(service: ServicePlan) -> ServicePlan:
    kinds = tuple(attrs.evolve(kind, importance=5, repeatable=True) for kind in service.kinds)
    return attrs.evolve(service, kinds=kinds, published_slots=BASELINE_SLOTS, stops_on_cancel=False)
