"""Decodes the entries in which targets register themselves.

Another writer may have written an entry. What an upstream is, is checked here, once: types, ranges
that fit every place to which a value goes, and an address to which a connection can be opened.
"""

from __future__ import annotations

import ipaddress
from typing import Any

import orjson

from cottonlink._numbers import MAX_INTEGER
from cottonlink.path import StoreItem, Upstream
from cottonlink.platform._errors import invalid_record
from cottonlink.platform._fields import (
    Fault,
    FieldError,
    Fields,
    check_header_text,
    check_mapping,
    check_name,
    check_slots,
    check_text,
    is_integer,
)

UPSTREAM_PREFIX = "servers/"
MAX_ID_CHARACTERS = 200
MAX_PORT = 65_535
MAX_WARMUP_S = 24 * 3_600
# Faults of an entry that its log line shows.
SHOWN_FAULTS = 4
_UPSTREAM_STATES = ("ready", "draining")


def decode_upstream(item: StoreItem) -> Upstream:
    """Return the upstream that an entry registers. Raises CottonlinkError if it is invalid."""
    faults: list[Fault] = []
    try:
        data = check_mapping(orjson.loads(item.value))
        # The entry itself holds no id.
        upstream_id = _check_id(item.key.removeprefix(UPSTREAM_PREFIX))
    except ValueError as error:
        raise invalid_record(f"{item.key}: {error}") from error
    fields = Fields(item.key, data, faults)
    state = fields.read("state", _check_state)
    # Nothing here depends on the version of a target's software.
    fields.read("version", check_text)
    upstream = Upstream(
        upstream_id=upstream_id,
        service=fields.read("service", check_name),
        address=fields.read("address", _check_address),
        # The platform calls a data centre a zone.
        data_centre=fields.read("zone", check_name),
        slots=fields.read("slots", check_slots),
        is_draining=state == "draining",
        # Time until the target reaches its full speed, counted from the entry's last change.
        warmup_left_ms=fields.read("warmup_left_s", _check_warmup_ms),
        # Unix time in ms at which the target started. Earlier targets don't tell it.
        started_at_ms=fields.read("born", _check_count, None),
        sequence=fields.read("sequence", _check_count),
    )
    if faults:
        raise invalid_record("; ".join(map(str, faults[:SHOWN_FAULTS])))
    return upstream


def _check_id(value: str) -> str:
    # It stands in a header of each request.
    if len(value) > MAX_ID_CHARACTERS:
        raise FieldError(f"an id of up to {MAX_ID_CHARACTERS} characters", value)
    return check_header_text(value)


def _check_state(value: Any) -> str:
    if not isinstance(value, str) or value not in _UPSTREAM_STATES:
        raise FieldError("'ready' or 'draining'", value)
    return value


def _check_address(value: Any) -> tuple[str, int]:
    """Return host and port. Targets register IP addresses: a name would have to be looked up."""
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    try:
        address = ipaddress.IPv4Address(host)
    except ValueError:
        raise FieldError("an IPv4 address and a port", value) from None
    if not _is_port(port) or address in _NO_HOSTS or address.is_multicast:
        raise FieldError("an address and a port to which a connection can be opened", value)
    return host, int(port)


def _is_port(text: str) -> bool:
    # The length bounds what is converted.
    is_number = text.isascii() and text.isdigit() and len(text) <= len(str(MAX_PORT))
    return is_number and 1 <= int(text) <= MAX_PORT


def _check_warmup_ms(value: Any) -> float:
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    if not is_number or not 0 <= value <= MAX_WARMUP_S:
        raise FieldError(f"a duration of 0 to {MAX_WARMUP_S} seconds", value)
    return value * 1000.0


def _check_count(value: Any) -> int:
    if not is_integer(value) or not 0 <= value <= MAX_INTEGER:
        raise FieldError("a whole number from 0 on", value)
    return value


_NO_HOSTS = frozenset(map(ipaddress.IPv4Address, ("0.0.0.0", "255.255.255.255")))
