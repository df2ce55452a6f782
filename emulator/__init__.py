"""Stand-ins for the platform's services, targets and callers, and fault tests that use them."""
