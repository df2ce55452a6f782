"""Runs all benchmarks, or the named ones, and writes their results to ``dist/bench``."""

from __future__ import annotations

import importlib
from pathlib import Path

import click

# Those that measure the machine come first, since the others load it for several minutes.
NAMES = (
    "path_latency",
    "deep_latency",
    "node_cost",
    "decision_rates",
    "decision_rates_once",
    "retry_budgets",
    "at_most_once",
    "control_cost",
    "decisions_surge",
)
FOLDER = Path("dist/bench")


@click.command()
@click.argument("names", nargs=-1, type=click.Choice(NAMES))
def main(names: tuple[str, ...]) -> None:
    """Run benchmarks one after another; the last two take several minutes each."""
    FOLDER.mkdir(parents=True, exist_ok=True)
    for name in names or NAMES:
        click.echo(f"== {name}")
        command = importlib.import_module(f"bench.{name}").main
        command(["--output", str(FOLDER / f"{name}.json")], standalone_mode=False)


if __name__ == "__main__":
    main()
