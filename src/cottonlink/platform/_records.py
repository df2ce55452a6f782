"""Decodes the records of the platform's store into cottonlink's types.

The field names of these records appear only in this module. Where one is misleading, a comment says
what the field holds.
"""

from __future__ import annotations

import base64
import binascii
import math
from typing import Any

import orjson

from cottonlink.errors import CottonlinkError, Step
from cottonlink.organisations import (
    Organisation,
    OrganisationDirectory,
    Quota,
    key_digest,
    make_organisation_directory,
)
from cottonlink.path import (
    CallerLimits,
    Configuration,
    Route,
    StoreItem,
    StorePosition,
    Upstream,
    WeightedService,
)

CONFIGURATION_KEY = "op/config"
UPSTREAM_PREFIX = "servers/"

# Requests of routes of these kinds may run more than once; downloads have large responses.
_REPEATABLE_KINDS = ("safe", "download")
# Stands for an API key behind this module, in a table so that no key can be taken for it.
_DIGEST = "digest"
_KEYS = "api_keys"
# Ranks of organisations: a lower one would take slots that are kept free, and a higher one means
# nothing.
_MAX_RANK = 1_000
_UPSTREAM_STATES = ("ready", "draining")
# Rank of a route without a priority: other routes can rank above it, with 0, or below it.
_DEFAULT_RANK = 1


def invalid_record(detail: str) -> CottonlinkError:
    """Return the error for a record that can't be decoded."""
    return CottonlinkError("record_invalid", detail, step=Step.POLICY_READ)


def decode_item(data: Any, era: int) -> StoreItem:
    """Return an item of the store, or the changed item that an event of a watch reports.

    ``era`` is that of the answer which holds it. The value of a removed item is None. Raises
    CottonlinkError.
    """
    try:
        key, revision = data["key"], data["revision"]
        if not isinstance(key, str) or not isinstance(revision, int):
            raise TypeError("expected a string as key and an integer as revision")
        position = StorePosition(era, revision)
        if data.get("removed"):
            return StoreItem(key, position, None)
        return StoreItem(key, position, base64.b64decode(data["value"], validate=True))
    except (KeyError, TypeError, AttributeError, ValueError, binascii.Error) as error:
        raise invalid_record(f"store item: {error!r}") from error


def decode_upstream(item: StoreItem) -> Upstream:
    """Return the upstream that an entry registers. Raises CottonlinkError if it is invalid."""
    try:
        data = orjson.loads(item.value)
        state = data["state"]
        if state not in _UPSTREAM_STATES:
            raise ValueError(f"state {state!r} is neither 'ready' nor 'draining'")
        host, _, port = _check_string(data["address"]).rpartition(":")
        # Unix time in ms at which the target started.
        started_at_ms = data.get("born")
        if started_at_ms is not None and not _is_integer(started_at_ms):
            raise TypeError(f"expected an integer in born, got {started_at_ms!r}")
        return Upstream(
            # The entry itself holds no id.
            upstream_id=item.key.removeprefix(UPSTREAM_PREFIX),
            service=_check_string(data["service"]),
            address=(_check_string(host), int(port)),
            # The platform calls a data centre a zone.
            data_centre=_check_string(data["zone"]),
            slots=_check_slots(data["slots"]),
            is_draining=state == "draining",
            # Time until the target reaches its full speed, counted from the entry's last change.
            warmup_left_ms=_seconds_to_ms(data.get("warmup_left_s", 0)),
            started_at_ms=started_at_ms,
            sequence=_read_sequence(data),
        )
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise invalid_record(f"{item.key}: {error!r}") from error


def decode_configuration(value: bytes) -> Configuration:
    """Return the operator's configuration. Raises CottonlinkError if any part of it is invalid."""
    try:
        data = orjson.loads(value)
        version = data["version"]
        if not _is_integer(version):
            raise TypeError(f"expected an integer in version, got {version!r}")
        routes: list[Route] = []
        limits = CallerLimits()
        connection_limits: dict[str, int] = {}
        tenants: list[dict[str, Any]] = []
        for resource in data["resources"]:
            # Routes, services, tenants and limits share one list; the type tells them apart.
            resource_type = resource["resource_type"]
            if resource_type == "tenants":
                tenants.append(resource)
                continue
            spec = resource["spec"]
            name = resource.get("metadata", {}).get("name", "")
            if resource_type == "routes":
                routes.append(_decode_route(name, spec))
            elif resource_type == "services":
                limit = spec.get("max_connections")
                if _is_integer(limit):
                    connection_limits[name] = limit
            elif resource_type == "limits":
                limits = _decode_limits(spec)
        organisations, problems = _decode_organisations(tenants)
        return Configuration(
            version, tuple(routes), limits, connection_limits, organisations, problems
        )
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise invalid_record(f"{CONFIGURATION_KEY}: {error!r}") from error


def _decode_route(name: str, spec: dict[str, Any]) -> Route:
    if "weighted_targets" in spec:
        # Services, not targets: each entry names a service and its share of the requests.
        services = tuple(
            WeightedService(_check_string(entry["service"]), float(entry["weight"]))
            for entry in spec["weighted_targets"]
        )
    else:
        services = (WeightedService(_check_string(spec["service"]), 1.0),)
    if not services or not all(entry.weight >= 0 for entry in services):
        raise ValueError(f"route {name!r} names no service, or one with a negative weight")
    timeout_ms = _seconds_to_ms(spec["timeout_s"])
    return Route(
        name=name,
        host=_check_string(spec["host"]).lower(),
        prefix=_check_string(spec["prefix"]).encode(),
        is_repeatable=spec["kind"] in _REPEATABLE_KINDS,
        # Limits the time until a request is answered, over all the times that it is sent.
        timeout_ms=timeout_ms,
        objective_ms=max(1.0, _seconds_to_ms(spec.get("target_latency_s", timeout_ms / 1000.0))),
        # 0 is the most important.
        rank=int(spec.get("priority", _DEFAULT_RANK)),
        # Limits the upstreams that one attempt of a caller reaches, not the times that it is sent.
        upstream_limit=max(1, int(spec.get("max_attempts", 1))),
        services=services,
        needs_key=spec.get("auth_exempt") is not True,
    )


def hide_keys(value: bytes) -> bytes:
    """Return a configuration with digests in place of its API keys.

    Nodes send the configuration to each other, and nothing but its digest is needed of a key. Of
    what can't be read nothing is kept, as any part of it may be a key.
    """
    try:
        data = orjson.loads(value)
    except ValueError as error:
        return orjson.dumps({"unreadable": str(error)})
    resources = data.get("resources") if isinstance(data, dict) else None
    has_keys = False
    for resource in resources if isinstance(resources, list) else ():
        spec = resource.get("spec") if isinstance(resource, dict) else None
        if isinstance(spec, dict) and _KEYS in spec:
            has_keys = True
            keys = spec[_KEYS]
            spec[_KEYS] = [_hide_key(key) for key in keys] if isinstance(keys, list) else None
    return orjson.dumps(data) if has_keys else value


def _hide_key(key: Any) -> Any:
    """Return a digest, or None in place of what can't be a key."""
    if isinstance(key, dict) and key.keys() == {_DIGEST}:
        return key
    return {_DIGEST: key_digest(key.encode()).hex()} if isinstance(key, str) and key else None


def _decode_organisations(
    resources: list[dict[str, Any]],
) -> tuple[OrganisationDirectory | None, tuple[str, ...]]:
    """Return the organisations, which the platform calls tenants, and the problems found.

    A problem with one of them leaves the rest in force. No key appears in a problem.
    """
    if not resources:
        return None, ()
    problems: list[str] = []
    holders: list[tuple[Organisation, tuple[bytes, ...]]] = []
    for resource in resources:
        spec = resource.get("spec")
        metadata = resource.get("metadata")
        name = metadata.get("name") if isinstance(metadata, dict) else None
        if not isinstance(spec, dict) or not _is_header_text(name):
            problems.append(f"organisation without a valid name or a spec: {name!r}")
            continue
        holders.append(
            (
                Organisation(
                    name, _decode_rank(name, spec, problems), _decode_quota(name, spec, problems)
                ),
                _decode_keys(name, spec, problems),
            )
        )
    directory, conflicts = make_organisation_directory(holders)
    return directory, (*problems, *conflicts)


def _decode_keys(name: str, spec: dict[str, Any], problems: list[str]) -> tuple[bytes, ...]:
    keys = spec.get(_KEYS, [])
    if not isinstance(keys, list):
        problems.append(f"organisation {name!r}: expected a list of keys")
        return ()
    digests: list[bytes] = []
    for key in keys:
        try:
            if isinstance(key, dict):
                digests.append(bytes.fromhex(key[_DIGEST]))
            else:
                digests.append(key_digest(_check_string(key).encode()))
        except (KeyError, TypeError, ValueError):
            problems.append(f"organisation {name!r}: expected a non-empty string as a key")
    if not digests:
        problems.append(f"organisation {name!r}: no keys, so it can send no requests")
    return tuple(digests)


def _decode_rank(name: str, spec: dict[str, Any], problems: list[str]) -> int | None:
    rank = spec.get("priority")
    if rank is None or (_is_integer(rank) and 0 <= rank <= _MAX_RANK):
        return rank
    problems.append(
        f"organisation {name!r}: expected an integer from 0 to {_MAX_RANK} in priority, "
        f"got {rank!r}"
    )
    return None


def _decode_quota(name: str, spec: dict[str, Any], problems: list[str]) -> Quota | None:
    rate_per_s, burst = (
        0 if spec.get(field) is None else spec[field] for field in ("rate_per_s", "burst")
    )
    if not all(_is_amount(amount) for amount in (rate_per_s, burst)):
        problems.append(
            f"organisation {name!r}: expected numbers from 0 on in rate_per_s and burst, "
            f"got {rate_per_s!r} and {burst!r}"
        )
        return None
    return Quota(float(rate_per_s), float(burst)) if rate_per_s else None


def _is_header_text(value: Any) -> bool:
    """Return whether ``value`` can stand in a header as it is."""
    return isinstance(value, str) and value.isascii() and value.isprintable() and bool(value)


def _is_amount(value: Any) -> bool:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and 0 <= value < math.inf


def _decode_limits(spec: dict[str, Any]) -> CallerLimits:
    default = CallerLimits()
    return CallerLimits(
        header_bytes=int(spec.get("max_header_bytes", default.header_bytes)),
        body_bytes=int(spec.get("max_body_bytes", default.body_bytes)),
        header_timeout_ms=_read_duration_ms(spec, "header_timeout_s", default.header_timeout_ms),
        idle_timeout_ms=_read_duration_ms(spec, "idle_timeout_s", default.idle_timeout_ms),
    )


def _read_duration_ms(spec: dict[str, Any], name: str, default_ms: float) -> float:
    return _seconds_to_ms(spec[name]) if name in spec else default_ms


def _seconds_to_ms(value: Any) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 0:
        raise TypeError(f"{value!r} is not a duration in seconds")
    return value * 1000.0


def _read_sequence(data: dict[str, Any]) -> int | None:
    # An entry is usable without it, so nothing in its place makes the entry invalid.
    value = data.get("sequence")
    return value if _is_integer(value) else None


def _check_slots(value: Any) -> int:
    if not _is_integer(value) or value < 1:
        raise TypeError(f"expected an integer of at least 1 in slots, got {value!r}")
    return value


def _check_string(value: Any) -> str:
    if not isinstance(value, str) or not value:
        raise TypeError(f"{value!r} is not a non-empty string")
    return value


def _is_integer(value: Any) -> bool:
    return isinstance(value, int) and not isinstance(value, bool)
