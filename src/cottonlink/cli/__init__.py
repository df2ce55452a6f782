"""Command line."""

import click


@click.group()
@click.version_option(package_name="cottonlink")
def main() -> None:
    """Overload control layer for service call graphs."""
