"""Stand-ins for the platform, the targets and the callers."""
