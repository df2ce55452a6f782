"""Hashes that are equal on all nodes: rendezvous order and positions of root requests."""

from __future__ import annotations

from collections.abc import Iterable

import xxhash

POSITION_COUNT = 65_536


def rendezvous_order(key: str, names: Iterable[str]) -> list[str]:
    """Return ``names`` with the highest rendezvous score for ``key`` first."""
    return sorted(names, key=lambda name: (-_score(key, name), name))


def rendezvous_first(key: str, names: Iterable[str]) -> str | None:
    """Return the name with the highest rendezvous score for ``key``, or None without names."""
    return max(names, key=lambda name: (_score(key, name), name), default=None)


def root_position(root_id: str) -> int:
    """Return the position of a root request, 0 to 65535.

    Among requests of equal importance those with the lowest positions are refused first.
    """
    return xxhash.xxh3_64_intdigest(root_id.encode()) % POSITION_COUNT


def _score(key: str, name: str) -> int:
    return xxhash.xxh3_64_intdigest(f"{key}\0{name}".encode())
