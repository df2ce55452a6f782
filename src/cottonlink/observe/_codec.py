"""Conversion of events to and from JSON-ready mappings."""

from __future__ import annotations

from typing import Any

import cattrs
from cattrs.errors import BaseValidationError

from cottonlink.errors import CottonlinkError, Step
from cottonlink.observe._events import Event, HybridTime, parse_hybrid_time

_converter = cattrs.Converter(forbid_extra_keys=True)
_converter.register_unstructure_hook(HybridTime, str)


@_converter.register_structure_hook
def _structure_hybrid_time(text: str, _type: type) -> HybridTime:
    time = parse_hybrid_time(text)
    if time is None:
        raise ValueError(f"expected a time wall_ms.counter, got {text!r}")
    return time


@_converter.register_structure_hook
def _structure_detail(value: Any, _type: type) -> str | int:
    return value if isinstance(value, int) else str(value)


def events_to_json(events: tuple[Event, ...]) -> list[dict[str, Any]]:
    """Return ``events`` as JSON-ready mappings; times are strings ``wall_ms.counter``."""
    return [_converter.unstructure(event) for event in events]


def events_from_json(data: Any, *, peer: str = "") -> tuple[Event, ...]:
    """Return the events in ``data``, which has the form that ``events_to_json`` returns.

    Raises ``CottonlinkError`` with code ``events_malformed`` if ``data`` has another form.
    """
    try:
        return tuple(_converter.structure(data, list[Event]))
    except (BaseValidationError, TypeError, ValueError) as error:
        detail = "; ".join(cattrs.transform_error(error))
        raise CottonlinkError("events_malformed", detail, step=Step.IDENTIFY, peer=peer) from error
