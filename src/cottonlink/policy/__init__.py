"""Policy records: schemas, upgrade, validation and comparison."""

from cottonlink.policy._diff import Difference, diff_policies
from cottonlink.policy._loading import (
    MAX_RECORD_BYTES,
    SCHEMA,
    decode_policy,
    dump_policy,
    encode_policy,
    load_policy,
)
from cottonlink.policy._records import Kind, Policy, RetryPolicy, Service, Upstream

__all__ = [
    "MAX_RECORD_BYTES",
    "SCHEMA",
    "Difference",
    "Kind",
    "Policy",
    "RetryPolicy",
    "Service",
    "Upstream",
    "decode_policy",
    "diff_policies",
    "dump_policy",
    "encode_policy",
    "load_policy",
]
