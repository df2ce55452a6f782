"""Checks configurations before an operator publishes them."""

from __future__ import annotations

from typing import Any

import attrs

from cottonlink.path import Configuration, Route
from cottonlink.platform._records import decode_configuration


def load_configuration(text: str) -> Configuration:
    """Return the configuration that ``text`` holds as JSON. Raises CottonlinkError."""
    return decode_configuration(text.encode())


def diff_configurations(old: Configuration, new: Configuration) -> list[dict[str, Any]]:
    """Return what changes from ``old`` to ``new``, one entry for each field of a route."""
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
            "old": _plain(getattr(before, field.name)),
            "new": _plain(getattr(after, field.name)),
        }
        for field in attrs.fields(Route)
        if getattr(before, field.name) != getattr(after, field.name)
    ]


def _plain(value: Any) -> Any:
    if isinstance(value, bytes):
        return value.decode("latin-1")
    if isinstance(value, tuple):
        return {part.service: part.weight for part in value}
    return value
