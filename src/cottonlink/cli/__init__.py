"""The command line: commands that run a node, and queries that change nothing."""

import click

from cottonlink.cli._commands import node_group
from cottonlink.cli._config_check import config_group
from cottonlink.cli._queries import (
    explain,
    explain_logs,
    limits,
    peers,
    policy_group,
    settings_group,
    status,
    timeline,
)

__all__ = ["main"]


@click.group()
@click.version_option(package_name="cottonlink")
def main() -> None:
    """Overload control layer for service call graphs."""


for _command in (
    node_group,
    settings_group,
    policy_group,
    config_group,
    status,
    limits,
    peers,
    timeline,
    explain,
    explain_logs,
):
    main.add_command(_command)
