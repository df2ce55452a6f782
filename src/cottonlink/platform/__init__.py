"""Adapter to the users' platform: its headers, its store and its settings files.

The package translates between the platform's formats and cottonlink's types. Decisions, state and
recovery don't depend on the platform and are in the other packages.
"""

from cottonlink.platform._checks import diff_configurations, load_configuration
from cottonlink.platform._configuration_check import (
    IN_FORCE_TARGET,
    check_configuration,
    decode_in_force,
    is_configuration,
)

__all__ = [
    "IN_FORCE_TARGET",
    "check_configuration",
    "decode_in_force",
    "diff_configurations",
    "is_configuration",
    "load_configuration",
]
