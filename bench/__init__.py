"""Benchmarks; run with ``make bench``."""
