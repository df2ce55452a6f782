"""Adapter to the users' platform: its headers, its store, and the settings that it renders.

Everything here translates; decisions, state and recovery are the product's.
"""

from cottonlink.platform._process import main

__all__ = ["main"]
