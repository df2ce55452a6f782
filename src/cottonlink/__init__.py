"""Overload control layer for service call graphs."""

from cottonlink.errors import CottonlinkError

__all__ = ["CottonlinkError", "__version__"]

__version__ = "0.1.0"
