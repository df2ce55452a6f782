"""Organisations that share a fleet: their API keys, their quotas, and how current both are.

Pure decisions without I/O; times are monotonic milliseconds that callers pass in. An organisation
is named by a string; the empty one stands for requests without an organisation.
"""

from cottonlink.organisations._currency import CurrencyProof, make_currency_proof
from cottonlink.organisations._directory import (
    KeyConflict,
    Organisation,
    OrganisationDirectory,
    Quota,
    key_digest,
    make_organisation_directory,
)
from cottonlink.organisations._fair_queue import FairQueue, make_fair_queue
from cottonlink.organisations._fair_share import FairShare, make_fair_share
from cottonlink.organisations._key_questions import KeyQuestions, make_key_questions
from cottonlink.organisations._quota_leases import (
    EXCHANGE_TIMEOUT_MS,
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
    "EXCHANGE_TIMEOUT_MS",
    "CurrencyProof",
    "FairQueue",
    "FairShare",
    "KeyConflict",
    "KeyQuestions",
    "Organisation",
    "OrganisationDirectory",
    "Quota",
    "QuotaAnswer",
    "QuotaExchange",
    "QuotaGrant",
    "QuotaLeases",
    "QuotaLedger",
    "QuotaUsage",
    "key_digest",
    "make_currency_proof",
    "make_fair_queue",
    "make_fair_share",
    "make_key_questions",
    "make_organisation_directory",
    "make_quota_leases",
    "make_quota_ledger",
]
