"""The command line: commands that run a node, and queries that change nothing."""

from __future__ import annotations

import importlib

import click

__all__ = ["main"]

# Module and attribute of each command. A command loads only what it needs, as that of a node takes
# longer to load than 10,000 entries of a configuration to check.
_COMMANDS = {
    "node": ("_commands", "node_group"),
    "settings": ("_queries", "settings_group"),
    "policy": ("_queries", "policy_group"),
    "config": ("_config_check", "config_group"),
    "status": ("_queries", "status"),
    "limits": ("_queries", "limits"),
    "peers": ("_queries", "peers"),
    "timeline": ("_queries", "timeline"),
    "explain": ("_queries", "explain"),
    "logs": ("_queries", "explain_logs"),
}


class _Commands(click.Group):
    def get_command(self, context: click.Context, name: str) -> click.Command | None:
        if name not in _COMMANDS:
            return None
        module, attribute = _COMMANDS[name]
        return getattr(importlib.import_module(f"cottonlink.cli.{module}"), attribute)


# Given the names, click lists them and suggests one that resembles a wrong name.
@click.group(cls=_Commands, commands=dict.fromkeys(_COMMANDS))
@click.version_option(package_name="cottonlink")
def main() -> None:
    """Overload control layer for service call graphs."""
