"""Adapter to the users' platform: its headers, its store, and the settings that it renders.

Everything here translates; decisions, state and recovery are the product's.
"""

from cottonlink.platform._checks import diff_configurations, load_configuration

__all__ = ["diff_configurations", "load_configuration"]
