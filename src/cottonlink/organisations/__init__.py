"""Decisions per organisation, without input or output of their own.

Times are monotonic milliseconds that are passed as arguments.
"""

from cottonlink.organisations._quota_leases import (
    QuotaExchange,
    QuotaLeases,
    make_quota_leases,
)
from cottonlink.organisations._quota_ledger import (
    QuotaAnswer,
    QuotaGrant,
    QuotaLedger,
    QuotaUsage,
    make_quota_ledger,
)

__all__ = [
    "QuotaAnswer",
    "QuotaExchange",
    "QuotaGrant",
    "QuotaLeases",
    "QuotaLedger",
    "QuotaUsage",
    "make_quota_leases",
    "make_quota_ledger",
]
