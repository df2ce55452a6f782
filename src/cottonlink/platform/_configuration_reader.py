"""Reads the operator's configuration, for nodes and for checks before a change.

A node refuses a configuration with faults as a whole, and leaves out organisations with faults.
Both are collected, so that a check reports all of them and applies the same rules.
"""

from __future__ import annotations

from typing import Any

import orjson
from attrs import define, field, frozen

from cottonlink.organisations import (
    KeyConflict,
    Organisation,
    OrganisationDirectory,
    Quota,
    key_digest,
    make_organisation_directory,
)
from cottonlink.path import CallerLimits, Configuration, Route, WeightedService
from cottonlink.platform._fields import (
    MAX_NAME_CHARACTERS,
    Fault,
    FieldError,
    Fields,
    accept_any,
    check_header_text,
    check_mapping,
    check_rank,
    check_string,
    check_version,
    describe,
    describe_type,
    is_amount,
    is_integer,
    seconds_to_ms,
    to_integer,
    to_route_rank,
    to_weight,
)

# Stands for an API key behind this package, in a table so that no key can be taken for it.
DIGEST = "digest"
RULE_NO_KEYS = "organisation-without-keys"
# Requests of routes of these kinds may run more than once; downloads have large responses.
REPEATABLE_KINDS = ("safe", "download")
# Rank of a route without a priority: other routes can rank above it, with 0, or below it.
_DEFAULT_RANK = 1
# Requests, and requests per second, that no organisation reaches.
_MAX_QUOTA = 1e9


@frozen
class ServiceEntry:
    """Limit on the connections to each target of a service, None if there is none."""

    connection_limit: int | None


@frozen
class OrganisationEntry:
    """An organisation with the digests of its keys."""

    organisation: Organisation
    digests: tuple[bytes, ...]


@frozen
class Entry:
    """An entry of the configuration; ``record`` is None if it is of an unknown type or invalid."""

    path: str
    resource_type: Any
    name: Any
    spec: Any
    record: Route | ServiceEntry | CallerLimits | OrganisationEntry | None


@define
class Draft:
    """What was read of a configuration.

    ``faults`` make a node refuse the whole; ``organisation_faults`` cost the organisation, or the
    part of it that they name.
    """

    version: int | None = None
    entries: list[Entry] = field(factory=list)
    faults: list[Fault] = field(factory=list)
    organisation_faults: list[Fault] = field(factory=list)

    def records(self, record_type: type) -> list[tuple[Entry, Any]]:
        """Return the entries with a valid record of a type, each with the record."""
        return [(e, e.record) for e in self.entries if isinstance(e.record, record_type)]

    def make_directory(self) -> tuple[OrganisationDirectory, tuple[KeyConflict, ...]]:
        """Return the organisations, and the conflicts between them by their position."""
        return make_organisation_directory(
            (record.organisation, record.digests) for _, record in self.records(OrganisationEntry)
        )

    def make_configuration(self) -> Configuration:
        """Return the configuration that nodes apply, if there are no ``faults``."""
        limits = [record for _, record in self.records(CallerLimits)]
        directory, problems = None, ()
        if any(entry.resource_type == "tenants" for entry in self.entries):
            directory, conflicts = self.make_directory()
            problems = (*map(str, self.organisation_faults), *(c.detail for c in conflicts))
        return Configuration(
            self.version,
            tuple(record for _, record in self.records(Route)),
            limits[-1] if limits else CallerLimits(),
            {
                entry.name: record.connection_limit
                for entry, record in self.records(ServiceEntry)
                if record.connection_limit is not None
            },
            directory,
            problems,
        )


def read_configuration(value: bytes) -> Draft:
    """Return what can be read of a configuration, with all faults."""
    draft = Draft()
    try:
        data = orjson.loads(value)
    except orjson.JSONDecodeError as error:
        place = f"{error.msg} in line {error.lineno}, column {error.colno}"
        draft.faults.append(Fault("document", "JSON", place, "syntax", line=error.lineno))
        return draft
    if not isinstance(data, dict):
        draft.faults.append(Fault("document", "a mapping", describe_type(data)))
        return draft
    # The document itself has no path.
    top_faults: list[Fault] = []
    top = Fields("", data, top_faults, is_secret=True)
    draft.version = top.read("version", check_version)
    resources = top.read("resources", _check_entries) or ()
    draft.faults += [Fault(f.path[1:], f.expected, f.found) for f in top_faults]
    for index, resource in enumerate(resources):
        entry = _read_entry(f"resources[{index}]", resource, draft)
        if entry is not None:
            draft.entries.append(entry)
    return draft


def _check_entries(value: Any) -> Any:
    # An empty mapping or string has no entries either; nodes have always taken it for none.
    if not isinstance(value, list) and value not in ({}, ""):
        raise FieldError("a list", value)
    return value


def _read_entry(path: str, resource: Any, draft: Draft) -> Entry | None:
    if not isinstance(resource, dict):
        draft.faults.append(Fault(path, "a mapping", describe_type(resource)))
        return None
    # Routes, services, tenants and limits share one list; the type tells them apart.
    count = len(draft.faults)
    fields = Fields(path, resource, draft.faults, is_secret=True)
    resource_type = fields.read("resource_type", accept_any)
    if resource_type == "tenants":
        return _read_organisation(path, resource, draft)
    metadata = fields.read("metadata", check_mapping, {})
    name = (metadata or {}).get("name", "")
    is_known = isinstance(resource_type, str) and resource_type in _READERS
    spec = fields.read("spec", check_mapping if is_known else accept_any)
    record = None
    if is_known and isinstance(spec, dict):
        record = _READERS[resource_type](name, Fields(f"{path}.spec", spec, draft.faults))
    if len(draft.faults) > count:
        record = None
    return Entry(path, resource_type, name, spec, record)


def _read_route(name: Any, spec: Fields) -> Route | None:
    count = len(spec.faults)
    host = spec.read("host", check_string)
    prefix = spec.read("prefix", check_string)
    # Limits the time until a request is answered, over all the times that it is sent.
    timeout_ms = spec.read("timeout_s", seconds_to_ms)
    kind = spec.read("kind", accept_any)
    objective_ms = spec.read("target_latency_s", seconds_to_ms, timeout_ms)
    # 0 is the most important.
    rank = spec.read("priority", to_route_rank, _DEFAULT_RANK)
    # Limits the upstreams that one attempt of a caller reaches, not the times that it is sent.
    upstream_limit = spec.read("max_attempts", to_integer, 1)
    services = _read_services(spec)
    if len(spec.faults) > count:
        return None
    return Route(
        name=_usable_name(name, spec.path),
        host=host.lower(),
        prefix=prefix.encode(),
        is_repeatable=kind in REPEATABLE_KINDS,
        timeout_ms=timeout_ms,
        objective_ms=max(1.0, objective_ms),
        rank=rank,
        upstream_limit=max(1, upstream_limit),
        services=services,
        needs_key=spec.values.get("auth_exempt") is not True,
    )


def _usable_name(name: Any, path: str) -> str:
    """Return what stands for a route in tables and lines of the log."""
    is_usable = isinstance(name, str) and len(name) <= MAX_NAME_CHARACTERS
    return name if is_usable else path


def _read_services(spec: Fields) -> tuple[WeightedService, ...]:
    if "weighted_targets" not in spec.values:
        return (WeightedService(spec.read("service", check_string), 1.0),)
    # Services, not targets: each entry names a service and its share of the requests.
    values = spec.values["weighted_targets"]
    if not isinstance(values, list) or not values:
        found = "an empty list" if values == [] else describe(values)
        spec.report("weighted_targets", "a list of at least one service", found)
        return ()
    services = []
    for index, value in enumerate(values):
        name = f"weighted_targets[{index}]"
        if not isinstance(value, dict):
            spec.report(name, "a mapping", describe(value))
            continue
        entry = Fields(f"{spec.path}.{name}", value, spec.faults)
        services.append(
            WeightedService(entry.read("service", check_string), entry.read("weight", to_weight))
        )
    return tuple(services)


def _read_service(name: Any, spec: Fields) -> ServiceEntry:
    limit = spec.values.get("max_connections")
    if is_integer(limit) and isinstance(name, list | dict):
        spec.report("max_connections", "a service with a string as its name", describe_type(name))
    return ServiceEntry(limit if is_integer(limit) else None)


def _read_limits(_name: Any, spec: Fields) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_bytes=spec.read("max_header_bytes", to_integer, default.header_bytes),
        body_bytes=spec.read("max_body_bytes", to_integer, default.body_bytes),
        header_timeout_ms=spec.read("header_timeout_s", seconds_to_ms, default.header_timeout_ms),
        idle_timeout_ms=spec.read("idle_timeout_s", seconds_to_ms, default.idle_timeout_ms),
    )


_READERS = {"routes": _read_route, "services": _read_service, "limits": _read_limits}


def _read_organisation(path: str, resource: dict[str, Any], draft: Draft) -> Entry:
    """Return an organisation, which the platform calls a tenant.

    A fault in one of them leaves the rest in force. No key appears in a fault.
    """
    faults = draft.organisation_faults
    count = len(faults)
    metadata = resource.get("metadata")
    metadata = {} if metadata is None else metadata
    if not isinstance(metadata, dict):
        faults.append(Fault(f"{path}.metadata", "a mapping", describe_type(metadata)))
        return Entry(path, "tenants", "", None, None)
    name = Fields(f"{path}.metadata", metadata, faults, is_secret=True).read(
        "name", check_header_text
    )
    spec = Fields(path, resource, faults, is_secret=True).read("spec", check_mapping)
    if len(faults) > count:
        return Entry(path, "tenants", name, spec, None)
    owned = Fields(f"{path}.spec", spec, faults, owner=name, is_secret=True)
    organisation = Organisation(name, _read_rank(owned), _read_quota(owned))
    return Entry(path, "tenants", name, spec, OrganisationEntry(organisation, _read_keys(owned)))


def _read_keys(spec: Fields) -> tuple[bytes, ...]:
    keys = spec.values.get("api_keys", [])
    if not isinstance(keys, list):
        spec.report("api_keys", "a list of keys", describe_type(keys))
        return ()
    digests: list[bytes] = []
    for index, key in enumerate(keys):
        try:
            if isinstance(key, dict):
                digests.append(bytes.fromhex(key[DIGEST]))
            else:
                digests.append(key_digest(check_string(key).encode()))
        except (KeyError, TypeError, ValueError):
            found = describe_type(key)
            spec.report(f"api_keys[{index}]", "a non-empty string as a key", found)
    if not digests:
        expected = "at least one key, or it can send no requests"
        spec.report("api_keys", expected, "none", RULE_NO_KEYS)
    return tuple(digests)


def _read_rank(spec: Fields) -> int | None:
    if spec.values.get("priority") is None:
        return None
    return spec.read("priority", check_rank)


def _read_quota(spec: Fields) -> Quota | None:
    values = {name: spec.values.get(name) for name in ("rate_per_s", "burst")}
    amounts = {name: 0 if value is None else value for name, value in values.items()}
    invalid_names = [name for name, amount in amounts.items() if not is_amount(amount)]
    for name in invalid_names:
        spec.report(name, "a number from 0 on", describe_type(amounts[name]))
    if invalid_names or not amounts["rate_per_s"]:
        return None
    return Quota(*(min(float(amounts[name]), _MAX_QUOTA) for name in ("rate_per_s", "burst")))
