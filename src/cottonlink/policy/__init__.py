"""Policy records: schemas, upgrade, validation and comparison."""

from cottonlink.policy._records import Kind, Policy, RetryPolicy, Service, Upstream

__all__ = ["Kind", "Policy", "RetryPolicy", "Service", "Upstream"]
