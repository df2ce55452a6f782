"""Stand-in for the platform's configuration service.

Run it with ``python -m emulator.config_service --port N``; see ``emulator.long_poll`` for the
requests that publish records and set faults.
"""

from __future__ import annotations

from pathlib import Path

import click

from emulator.long_poll import LongPollApp, VersionedStore, make_service

PATH = "/v1/records/policy"


def make_config_service() -> LongPollApp:
    """Return the application, with no record published."""
    return LongPollApp(PATH, VersionedStore())


@click.command()
@click.option("--host", default="127.0.0.1", show_default=True)
@click.option("--port", type=int, required=True)
@click.option("--record", type=click.Path(exists=True, path_type=Path), help="First record (JSON).")
def main(host: str, port: int, record: Path | None) -> None:
    """Serve policy records by long poll."""
    app = make_config_service()
    if record:
        app.store.publish(record.read_bytes())
    service = make_service(app, host, port)
    click.echo(f"listening on {service.address}")
    service.run()


if __name__ == "__main__":
    main()
