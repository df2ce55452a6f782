"""Statuses of HTTP responses (RFC 9110, section 15)."""

from __future__ import annotations

# Any other response is interim (100 to 199), or none.
FINAL_STATUSES = range(200, 600)
_STATUSES = range(100, 600)


def is_valid_status(status: int) -> bool:
    """Return whether a response, interim or final, may have ``status``."""
    return status in _STATUSES
