"""Runs a node: ``python -m cottonlink.node SETTINGS.yaml``."""

from __future__ import annotations

import sys

from cottonlink.errors import SettingsError
from cottonlink.node._process import run_node
from cottonlink.node._settings import load_settings


def main(arguments: list[str]) -> int:
    """Run the node that the settings file describes; return the exit status."""
    if len(arguments) != 1:
        print("usage: python -m cottonlink.node SETTINGS.yaml", file=sys.stderr)
        return 2
    try:
        settings = load_settings(arguments[0])
    except SettingsError as error:
        print(error, file=sys.stderr)
        return 2
    return run_node(settings)


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
