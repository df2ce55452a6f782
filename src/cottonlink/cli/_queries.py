"""Queries of files and nodes; they change nothing."""

from __future__ import annotations

from typing import TextIO

import attrs
import click

from cottonlink.cli._client import ControlClient
from cottonlink.cli._files import read_text
from cottonlink.cli._output import json_option, node_option, print_result, reports_errors
from cottonlink.errors import CottonlinkError, Step
from cottonlink.observe import (
    Timeline,
    events_to_json,
    explain_in_logs,
    explain_request,
    merge_events,
    render_explanation,
    render_html,
    render_text,
)
from cottonlink.policy import diff_policies, dump_policy, load_policy

all_nodes_option = click.option(
    "--all", "all_nodes", is_flag=True, help="Also ask every peer that the node knows."
)


@click.group("settings")
def settings_group() -> None:
    """Check the settings of a node."""


@settings_group.command("check")
@click.argument("settings_file", type=click.Path())
@json_option
@reports_errors
def check_settings(settings_file: str, as_json: bool) -> None:
    """Report every fault of a settings file at once."""
    from cottonlink.node._settings import load_settings

    settings = load_settings(settings_file)
    print_result({"valid": True, "node": settings.node}, as_json=as_json)


@settings_group.command("show")
@click.argument("settings_file", type=click.Path())
@json_option
@reports_errors
def show_settings(settings_file: str, as_json: bool) -> None:
    """Print the effective settings, defaults included."""
    from cottonlink.node._settings import dump_settings, load_settings

    print_result(dump_settings(load_settings(settings_file)), as_json=as_json)


@settings_group.command("check-path")
@click.argument("settings_file", type=click.Path())
@json_option
@reports_errors
def check_path_settings(settings_file: str, as_json: bool) -> None:
    """Report every fault of a settings file that the users' platform has filled in."""
    from cottonlink.path import load_node_settings

    settings = load_node_settings(settings_file)
    print_result({"valid": True, "node": settings.node}, as_json=as_json)


@click.command("logs")
@click.argument("request_id")
@click.argument("log_files", nargs=-1, required=True, type=click.File())
@json_option
@reports_errors
def explain_logs(request_id: str, log_files: tuple[TextIO, ...], as_json: bool) -> None:
    """Print the events about a request in LOG_FILES, and changes of nodes around that time."""
    events = explain_in_logs(request_id, (line for file in log_files for line in file))
    if not events:
        raise CottonlinkError(
            "request_not_logged", f"no log line has the request id {request_id}", step=Step.ROUTE
        )
    print_result({"request_id": request_id, "events": events}, as_json=as_json)


@click.group("policy")
def policy_group() -> None:
    """Check policy records before they are published."""


@policy_group.command("check")
@click.argument("policy_file", type=click.Path())
@json_option
@reports_errors
def check_policy(policy_file: str, as_json: bool) -> None:
    """Report every fault of a policy record at once."""
    policy = load_policy(read_text(policy_file))
    result = {
        "valid": True,
        "version": policy.version,
        "services": len(policy.services),
        "upstreams": len(policy.upstreams_by_name),
    }
    print_result(result, as_json=as_json)


@policy_group.command("show")
@click.argument("policy_file", type=click.Path())
@json_option
@reports_errors
def show_policy(policy_file: str, as_json: bool) -> None:
    """Print a record of any schema, upgraded to the current schema."""
    print_result(dump_policy(load_policy(read_text(policy_file))), as_json=as_json)


@policy_group.command("diff")
@click.argument("old_file", type=click.Path())
@click.argument("new_file", type=click.Path())
@json_option
@reports_errors
def diff_policy(old_file: str, new_file: str, as_json: bool) -> None:
    """Show what publishing NEW_FILE would change."""
    old = load_policy(read_text(old_file))
    new = load_policy(read_text(new_file))
    changes = [attrs.asdict(change) for change in diff_policies(old, new)]
    print_result(
        {"old_version": old.version, "new_version": new.version, "changes": changes},
        as_json=as_json,
    )


@policy_group.command("check-store")
@click.argument("configuration_file", type=click.Path())
@click.option("--previous", type=click.Path(), help="A configuration to compare with.")
@json_option
@reports_errors
def check_store(configuration_file: str, previous: str | None, as_json: bool) -> None:
    """Check a configuration in the format of the platform's store, and show what it changes."""
    from cottonlink.platform import diff_configurations, load_configuration

    configuration = load_configuration(read_text(configuration_file))
    result = {
        "valid": True,
        "version": configuration.version,
        "routes": len(configuration.routes),
    }
    if previous is not None:
        result["changes"] = diff_configurations(
            load_configuration(read_text(previous)), configuration
        )
    print_result(result, as_json=as_json)


def _make_node_query(name: str, help_text: str) -> click.Command:
    @click.command(name, help=help_text)
    @node_option
    @json_option
    @reports_errors
    def query(address: str, as_json: bool) -> None:
        print_result(ControlClient().query(address, f"/v1/{name}"), as_json=as_json)

    return query


status = _make_node_query("status", "Print a node's state, policy version and latest refusals.")
limits = _make_node_query("limits", "Print a node's concurrency limit, queue and threshold.")
peers = _make_node_query("peers", "Print a node's view of its peers and upstreams.")


@click.command("timeline")
@node_option
@all_nodes_option
@click.option("--request", "request_id", default="", help="Only events of this request id.")
@click.option("--service", default="", help="Only events of this service.")
@click.option(
    "--format",
    "output_format",
    type=click.Choice(["text", "json", "html"]),
    default="text",
    show_default=True,
)
@reports_errors
def timeline(
    address: str, all_nodes: bool, request_id: str, service: str, output_format: str
) -> None:
    """Print the events of one node or, with --all, of the whole fleet in one order."""
    merged = _read_timeline(address, all_nodes, request_id=request_id, service=service)
    if output_format == "html":
        click.echo(render_html(merged))
    elif output_format == "json":
        print_result(
            {
                "events": events_to_json(merged.events),
                "missing_nodes": list(merged.missing_nodes),
            },
            as_json=True,
        )
    else:
        click.echo(render_text(merged))


@click.command("explain")
@click.argument("request_id")
@node_option
@json_option
@reports_errors
def explain(request_id: str, address: str, as_json: bool) -> None:
    """Explain the outcome of one request from end to end, from the events of all nodes."""
    merged = _read_timeline(address, True, request_id=request_id, service="")
    explanation = explain_request(merged, request_id)
    if not explanation.found:
        raise CottonlinkError(
            "request_not_found", f"no node holds an event of {request_id}", step=Step.IDENTIFY
        )
    if not as_json:
        click.echo(render_explanation(explanation))
        return
    cause = explanation.deciding_event
    print_result(
        {
            "request_id": request_id,
            "code": explanation.code,
            "executed": explanation.executed,
            "deciding_event": events_to_json((cause,))[0] if cause else None,
            "events": events_to_json(explanation.timeline.events),
            "missing_nodes": list(merged.missing_nodes),
        },
        as_json=True,
    )


def _read_timeline(address: str, all_nodes: bool, *, request_id: str, service: str) -> Timeline:
    client = ControlClient()
    addresses = client.control_addresses(address) if all_nodes else (address,)
    collected = client.collect_events(addresses, request_id=request_id, service=service)
    if len(collected.missing_addresses) == len(addresses):
        raise CottonlinkError(
            "node_unreachable", "no node answered", step=Step.CONNECT, peer=address
        )
    return merge_events(
        collected.logs,
        request_id=request_id,
        service=service,
        missing_nodes=collected.missing_addresses,
    )
