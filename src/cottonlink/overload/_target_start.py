"""Identifies one start of a target: one that starts again knows nothing of what was said of it."""

from __future__ import annotations

from typing import Any

from attrs import frozen


@frozen
class TargetStart:
    """One start of a target, by its id and the Unix time of the start; None if it isn't known."""

    upstream_id: str
    started_at_ms: int | None


def target_start(upstream: Any) -> TargetStart:
    """Return the start of a target that a ``path.Upstream`` registers."""
    return TargetStart(upstream.upstream_id, upstream.started_at_ms)
