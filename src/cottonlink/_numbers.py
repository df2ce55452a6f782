"""Bounds of numbers that come from outside."""

from __future__ import annotations

# Largest integer that a float holds exactly, and that frames between nodes carry; no count,
# revision, version or time in ms is larger.
MAX_INTEGER = 2**53
