"""Checks configurations before an operator publishes them."""

from __future__ import annotations

from typing import Any

import attrs

from cottonlink.path import Configuration, Route
from cottonlink.platform._records import decode_configuration


def load_configuration(text: str) -> Configuration:
    """Return the configuration in the JSON ``text``. Raises CottonlinkError if it is invalid."""
    return decode_configuration(text.encode())


def diff_configurations(old: Configuration, new: Configuration) -> list[dict[str, Any]]:
    """Return the changes from ``old`` to ``new`` as JSON-ready mappings.

    There is one mapping for each field of a route that differs, for each route that is added or
    removed, and for the limits if they differ. ``change`` is the field's name, ``added``,
    ``removed`` or ``limits``.
    """
    old_routes = {route.name: route for route in old.routes}
    new_routes = {route.name: route for route in new.routes}
    changes: list[dict[str, Any]] = []
    for name in sorted(old_routes.keys() | new_routes.keys()):
        before, after = old_routes.get(name), new_routes.get(name)
        if before is None or after is None:
            changes.append({"route": name, "change": "added" if before is None else "removed"})
        else:
            changes += _diff_route(before, after)
    if old.limits != new.limits:
        before, after = attrs.asdict(old.limits), attrs.asdict(new.limits)
        changes.append({"change": "limits", "old": before, "new": after})
    return changes


def _diff_route(before: Route, after: Route) -> list[dict[str, Any]]:
    return [
        {
            "route": before.name,
            "change": field.name,
            "old": _to_json_value(getattr(before, field.name)),
            "new": _to_json_value(getattr(after, field.name)),
        }
        for field in attrs.fields(Route)
        if getattr(before, field.name) != getattr(after, field.name)
    ]


def _to_json_value(value: Any) -> Any:
    if isinstance(value, bytes):
        return value.decode("latin-1")
    if isinstance(value, tuple):
        return {entry.service: entry.weight for entry in value}
    return value
