"""Tells nested calls from new requests by their ids, where ids tell which request makes a call.

The origins of a route's requests tell the same, but only after a target has seen enough of them,
which takes long where a fleet is large or a route is rarely used. Ids may have another form: until
several of them have named a parent, they tell nothing.
"""

from __future__ import annotations

# Ids with a parent after which an id without one stands for a new request.
MIN_PARENTS_SEEN = 8


class ParentHints:
    """The ids that one node has seen, of requests and calls alike."""

    def __init__(self) -> None:
        self._parents_seen = 0

    def observe(self, parent_id: bytes | None) -> None:
        """Record the parent that an id names, None if it names none."""
        if parent_id is not None:
            self._parents_seen += 1

    def is_nested(self, parent_id: bytes | None) -> bool | None:
        """Return whether an id that names ``parent_id`` is that of a nested call.

        The result is None if ids haven't been seen to tell.
        """
        if self._parents_seen < MIN_PARENTS_SEEN:
            return None
        return parent_id is not None


def make_parent_hints() -> ParentHints:
    """Return hints that have seen no ids."""
    return ParentHints()
