"""Policy records: schemas, upgrade, validation and comparison."""

from cottonlink.policy._diff import Difference, diff_policies
from cottonlink.policy._loading import (
    CURRENT_SCHEMA,
    MAX_RECORD_BYTES,
    decode_policy,
    dump_policy,
    encode_policy,
    load_policy,
)
from cottonlink.policy._record_check import check_record
from cottonlink.policy._records import Policy, RequestKind, RetryPolicy, Service, Upstream

__all__ = [
    "CURRENT_SCHEMA",
    "MAX_RECORD_BYTES",
    "Difference",
    "Policy",
    "RequestKind",
    "RetryPolicy",
    "Service",
    "Upstream",
    "check_record",
    "decode_policy",
    "diff_policies",
    "dump_policy",
    "encode_policy",
    "load_policy",
]
