"""Comparison of two policy records, for operators."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import Any

from attrs import frozen

from cottonlink.policy._loading import dump_policy
from cottonlink.policy._records import Policy


@frozen
class Difference:
    """One field that differs. ``old`` or ``new`` is None where the field is absent."""

    path: str
    old: Any
    new: Any


def diff_policies(old: Policy | None, new: Policy) -> tuple[Difference, ...]:
    """Return what differs from ``old`` to ``new``, ordered by path.

    Entries of lists are matched by name. A changed order is therefore no difference, and a path
    looks like ``services.booking.upstreams.booking-1.slots``. An added or removed entry is reported
    as one difference with its whole content.
    """
    old_data = dump_policy(old) if old else {}
    return tuple(_iter_differences("", _key_by_name(old_data), _key_by_name(dump_policy(new))))


def _iter_differences(path: str, old: Any, new: Any) -> Iterator[Difference]:
    if not (isinstance(old, Mapping) and isinstance(new, Mapping)):
        if old != new:
            yield Difference(path, old, new)
        return
    for name in sorted(old.keys() | new.keys()):
        inner = f"{path}.{name}" if path else name
        yield from _iter_differences(inner, old.get(name), new.get(name))


def _key_by_name(value: Any) -> Any:
    if isinstance(value, Mapping):
        return {name: _key_by_name(inner) for name, inner in value.items()}
    if isinstance(value, list | tuple) and all(isinstance(entry, Mapping) for entry in value):
        return {entry["name"]: _key_by_name(entry) for entry in value}
    return value
