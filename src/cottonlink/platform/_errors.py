"""Errors of the platform's adapter."""

from __future__ import annotations

from cottonlink.errors import CottonlinkError, Step


def invalid_record(detail: str) -> CottonlinkError:
    """Return the error for a record that can't be decoded."""
    return CottonlinkError("record_invalid", detail, step=Step.POLICY_READ)
