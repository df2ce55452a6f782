"""Prints results and errors as text or JSON and sets the exit status."""

from __future__ import annotations

import functools
import json
import sys
from collections.abc import Callable
from typing import Any

import click
import yaml

from cottonlink.errors import CottonlinkError, PolicyError, SettingsError

EXIT_ERROR = 1
EXIT_INVALID_INPUT = 3
EXIT_UNREACHABLE = 4
EXIT_NOT_FOUND = 5

_EXIT_STATUS = {
    "settings_invalid": EXIT_INVALID_INPUT,
    "node_unreachable": EXIT_UNREACHABLE,
    "request_not_found": EXIT_NOT_FOUND,
}

_HINTS = {
    "settings_invalid": "docs/OPERATIONS.md lists every setting with its unit",
    "policy_invalid": "correct the listed fields; nothing was published",
    "policy_malformed": "the record is neither JSON nor YAML, or not a mapping",
    "policy_schema_newer": "this program is older than the record; update it or publish schema 2",
    "policy_too_large": "the configuration service holds values of up to 1 MB",
    "node_unreachable": "check that the address is the node's control_address",
    "answer_malformed": "check that the address is a control listener, not a caller listener",
    "request_not_found": "nodes keep their latest events only; the id is the trace id",
    "in_force_unreadable": "check the address; a store is named without a path",
    "file_unreadable": "check the path and its permissions",
}

json_option = click.option("--json", "as_json", is_flag=True, help="Print JSON.")
node_option = click.option(
    "--node", "address", required=True, metavar="IP:PORT", help="Control address of a node."
)


def reports_errors(command: Callable[..., None]) -> Callable[..., None]:
    """Wrap ``command`` so that it prints a ``CottonlinkError`` and exits with its status.

    The output has the error's code, step and peer, its problems, and a hint.
    """

    @functools.wraps(command)
    def wrapper(*args: Any, **kwargs: Any) -> None:
        try:
            command(*args, **kwargs)
        except CottonlinkError as error:
            _print_error(error, as_json=bool(kwargs.get("as_json")))
            sys.exit(_exit_status(error))

    return wrapper


def print_result(result: Any, *, as_json: bool) -> None:
    """Print a JSON-ready value as JSON, or as YAML for people to read."""
    if as_json:
        click.echo(json.dumps(result, indent=2, ensure_ascii=False))
    else:
        click.echo(yaml.safe_dump(result, sort_keys=False, allow_unicode=True).rstrip())


def _exit_status(error: CottonlinkError) -> int:
    if isinstance(error, PolicyError):
        return EXIT_INVALID_INPUT
    return _EXIT_STATUS.get(error.code, EXIT_ERROR)


def _print_error(error: CottonlinkError, *, as_json: bool) -> None:
    problems = error.problems if isinstance(error, PolicyError | SettingsError) else ()
    hint = _HINTS.get(error.code, "")
    if as_json:
        fields = {
            "code": error.code,
            "detail": error.detail,
            "step": error.step.value,
            "peer": error.peer,
            "problems": list(problems),
            "hint": hint,
        }
        click.echo(json.dumps(fields, ensure_ascii=False), err=True)
        return
    click.echo(f"error {error.code} at step {error.step}", err=True)
    if error.peer:
        click.echo(f"  peer: {error.peer}", err=True)
    for problem in problems or (error.detail,):
        click.echo(f"  {problem}", err=True)
    if hint:
        click.echo(f"  hint: {hint}", err=True)
