"""Organisations that share a fleet: their API keys, their quotas, and how current both are.

Pure decisions without I/O; times are monotonic milliseconds that callers pass in. An organisation
is named by a string; the empty one stands for requests without an organisation.
"""

from cottonlink.organisations._currency import CurrencyProof, make_currency_proof
from cottonlink.organisations._directory import (
    Organisation,
    OrganisationDirectory,
    Quota,
    key_digest,
    make_organisation_directory,
)
from cottonlink.organisations._fair_queue import FairQueue, make_fair_queue
from cottonlink.organisations._fair_share import FairShare, make_fair_share
from cottonlink.organisations._key_questions import KeyQuestions, make_key_questions

__all__ = [
    "CurrencyProof",
    "FairQueue",
    "FairShare",
    "KeyQuestions",
    "Organisation",
    "OrganisationDirectory",
    "Quota",
    "key_digest",
    "make_currency_proof",
    "make_fair_queue",
    "make_fair_share",
    "make_key_questions",
    "make_organisation_directory",
]
