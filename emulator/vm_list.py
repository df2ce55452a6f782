"""Stand-in for the platform's service that lists live and leaving VMs.

Run it with ``python -m emulator.vm_list --port N``; see ``emulator.long_poll`` for the
requests that publish lists and set faults.
"""

from __future__ import annotations

from pathlib import Path

import click

from emulator.long_poll import LongPollApp, VersionedStore, make_service

PATH = "/v1/vms"


def make_vm_list() -> LongPollApp:
    """Return the application, with no list published."""
    return LongPollApp(PATH, VersionedStore())


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
@click.option(
    "--list", "first", type=click.Path(exists=True, path_type=Path), help="First list (JSON)."
)
def main(host: str, port: int, first: Path | None) -> None:
    """Serve VM lists by long poll."""
    app = make_vm_list()
    if first:
        app.store.publish(first.read_bytes())
    service = make_service(app, host, port)
    click.echo(f"listening on {service.address}")
    service.run()


if __name__ == "__main__":
    main()
