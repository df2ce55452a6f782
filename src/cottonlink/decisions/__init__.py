"""Pure decision modules, usable without a network.

Each takes typed events with a monotonic ``now_ms`` and returns typed decisions.
"""
