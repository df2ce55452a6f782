"""Randomized soak test: injects faults into real node processes and checks what callers observe."""
