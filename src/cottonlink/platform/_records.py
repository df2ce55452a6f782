"""Decodes the records of the platform's store into cottonlink's types.

The field names of these records appear only in this package; those of the configuration are in
``_configuration_reader``. Where one is misleading, a comment says what the field holds.
"""

from __future__ import annotations

import base64
import binascii
from typing import Any

import orjson

from cottonlink.errors import CottonlinkError, Step
from cottonlink.organisations import key_digest
from cottonlink.path import Configuration, StoreItem, StorePosition, Upstream
from cottonlink.platform._configuration_reader import DIGEST, read_configuration
from cottonlink.platform._fields import check_slots, check_string, is_integer, seconds_to_ms

CONFIGURATION_KEY = "op/config"
UPSTREAM_PREFIX = "servers/"

_KEYS = "api_keys"
_UPSTREAM_STATES = ("ready", "draining")


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
        host, _, port = check_string(data["address"]).rpartition(":")
        # Unix time in ms at which the target started.
        started_at_ms = data.get("born")
        if started_at_ms is not None and not is_integer(started_at_ms):
            raise TypeError(f"expected an integer in born, got {started_at_ms!r}")
        return Upstream(
            # The entry itself holds no id.
            upstream_id=item.key.removeprefix(UPSTREAM_PREFIX),
            service=check_string(data["service"]),
            address=(check_string(host), int(port)),
            # The platform calls a data centre a zone.
            data_centre=check_string(data["zone"]),
            slots=check_slots(data["slots"]),
            is_draining=state == "draining",
            # Time until the target reaches its full speed, counted from the entry's last change.
            warmup_left_ms=seconds_to_ms(data.get("warmup_left_s", 0)),
            started_at_ms=started_at_ms,
            sequence=_read_sequence(data),
        )
    except (KeyError, TypeError, AttributeError, ValueError) as error:
        raise invalid_record(f"{item.key}: {error!r}") from error


def decode_configuration(value: bytes) -> Configuration:
    """Return the operator's configuration. Raises CottonlinkError if any part of it is invalid."""
    draft = read_configuration(value)
    if draft.faults:
        raise invalid_record(f"{CONFIGURATION_KEY}: {draft.faults[0]}")
    return draft.make_configuration()


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
    if isinstance(key, dict) and key.keys() == {DIGEST}:
        return key
    return {DIGEST: key_digest(key.encode()).hex()} if isinstance(key, str) and key else None


def _read_sequence(data: dict[str, Any]) -> int | None:
    # An entry is usable without it, so nothing in its place makes the entry invalid.
    value = data.get("sequence")
    return value if is_integer(value) else None
