"""The command that runs a node."""

from __future__ import annotations

import click

from cottonlink.cli._output import reports_errors


@click.group("node")
def node_group() -> None:
    """Run a node."""


@node_group.command("run")
@click.argument("settings_file", type=click.Path())
@reports_errors
def run(settings_file: str) -> None:
    """Run a node until SIGTERM; requests in flight are finished first."""
    from cottonlink.node import load_settings, run_node

    raise SystemExit(run_node(load_settings(settings_file)))
