"""Organisations that share a fleet: their API keys, their quotas, and how current both are.

Pure decisions without I/O; times are monotonic milliseconds that callers pass in.
"""

from cottonlink.organisations._currency import CurrencyProof, make_currency_proof
from cottonlink.organisations._directory import (
    Organisation,
    OrganisationDirectory,
    Quota,
    key_digest,
    make_organisation_directory,
)
from cottonlink.organisations._key_questions import KeyQuestions, make_key_questions

__all__ = [
    "CurrencyProof",
    "KeyQuestions",
    "Organisation",
    "OrganisationDirectory",
    "Quota",
    "key_digest",
    "make_currency_proof",
    "make_key_questions",
    "make_organisation_directory",
]
