"""Checks the operator's configuration before it is sent to the store."""

from __future__ import annotations

import base64
import binascii
from urllib.parse import urlencode

import orjson

from cottonlink._document_lines import find_repeated_fields, place_findings
from cottonlink._findings import (
    Finding,
    Report,
    Severity,
    list_version_faults,
    make_field_error,
    make_warning,
)
from cottonlink.errors import CottonlinkError, Step
from cottonlink.path import Route
from cottonlink.platform._configuration_changes import list_changes
from cottonlink.platform._configuration_reader import (
    RULE_NO_KEYS,
    Draft,
    OrganisationEntry,
    read_configuration,
)
from cottonlink.platform._configuration_rules import list_warnings
from cottonlink.platform._fields import Fault
from cottonlink.platform._records import CONFIGURATION_KEY

FORMAT = "configuration"
# Path and query by which the store returns the configuration in force.
IN_FORCE_TARGET = f"/-/kv-key?{urlencode({'key': CONFIGURATION_KEY}, safe='/')}"


def is_configuration(text: str) -> bool:
    """Return whether ``text`` is an operator's configuration rather than a policy record.

    A text that isn't JSON is one if it looks like JSON and names the list of entries.
    """
    try:
        data = orjson.loads(text)
    except orjson.JSONDecodeError:
        return text.lstrip()[:1] == "{" and '"resources"' in text
    return isinstance(data, dict) and "resources" in data and "schema" not in data


def decode_in_force(body: bytes) -> str:
    """Return the configuration in an answer to ``IN_FORCE_TARGET``. Raises CottonlinkError."""
    try:
        return base64.b64decode(orjson.loads(body)["value"], validate=True).decode()
    except (KeyError, TypeError, ValueError, binascii.Error) as error:
        detail = f"the store's answer holds no configuration ({type(error).__name__})"
        raise CottonlinkError("record_invalid", detail, step=Step.POLICY_READ) from error


def check_configuration(text: str, in_force: str | None, memory_mb: float) -> Report:
    """Return the findings about a configuration, and its changes from the one in force if any.

    ``memory_mb`` is what the process of a node may hold. No key appears in the report.
    """
    draft = read_configuration(text.encode())
    findings = [_to_finding(fault) for fault in (*draft.faults, *draft.organisation_faults)]
    findings += _list_conflicts(draft)
    findings += list_warnings(draft, memory_mb)
    findings += [
        make_warning("field-repeated", path, "a field is given twice: only the last one counts")
        for path in find_repeated_fields(text, skipped="api_keys")
    ]
    changes = None
    if in_force is not None:
        old = read_configuration(in_force.encode())
        findings += list_version_faults(draft.version, old.version)
        if old.faults:
            # Nodes that have seen it have refused it, so what they apply isn't known here.
            message = f"the version to compare with is invalid: {old.faults[0]}"
            findings.append(make_warning("in-force-invalid", "document", message))
        elif not draft.faults:
            changes = list_changes(old.make_configuration(), draft.make_configuration())
    counts = {
        "routes": len(draft.records(Route)),
        "organisations": len(draft.records(OrganisationEntry)),
    }
    return Report(FORMAT, draft.version, counts, place_findings(text, findings), changes)


def _to_finding(fault: Fault) -> Finding:
    if fault.rule == RULE_NO_KEYS:
        # Taking all keys from an organisation is the way to lock it out.
        message = f"organisation {fault.owner!r}: no keys, so it can send no requests"
        return make_warning(fault.rule, fault.path, message)
    return make_field_error(
        fault.rule,
        fault.path,
        fault.expected,
        fault.found,
        subject=f"organisation {fault.owner!r}: " if fault.owner else "",
        line=fault.line,
    )


def _list_conflicts(draft: Draft) -> list[Finding]:
    entries = [entry for entry, _ in draft.records(OrganisationEntry)]
    return [
        Finding(
            Severity.ERROR,
            "key-of-two-organisations" if conflict.is_of_key else "organisation-repeated",
            f"{entries[conflict.position].path}"
            f"{'.spec.api_keys' if conflict.is_of_key else '.metadata.name'}",
            conflict.detail,
        )
        for conflict in draft.make_directory()[1]
    ]
