"""Decodes the records of the platform's store into cottonlink's types.

The field names of these records appear only in this package; those of the configuration are in
``_configuration_reader``, those of targets' entries in ``_upstream_entries``. Where one is
misleading, a comment says what the field holds.
"""

from __future__ import annotations

import base64
from typing import Any

import orjson

from cottonlink._numbers import MAX_INTEGER
from cottonlink.errors import describe_error
from cottonlink.organisations import key_digest
from cottonlink.path import Configuration, StoreItem, StorePosition
from cottonlink.platform._configuration_reader import DIGEST, read_configuration
from cottonlink.platform._errors import invalid_record
from cottonlink.platform._fields import describe, is_integer

CONFIGURATION_KEY = "op/config"

# Characters of a key that a message shows.
SHOWN_KEY_CHARACTERS = 200
_KEYS = "api_keys"


def decode_item(data: Any, era: int) -> StoreItem:
    """Return an item of the store, or the changed item that an event of a watch reports.

    ``era`` is that of the answer which holds it. The value of a removed item is None, and that of
    one whose value can't be decoded is empty. Raises CottonlinkError.
    """
    if not isinstance(data, dict):
        raise invalid_record(f"store item: expected a mapping, got {describe(data)}")
    key, revision = data.get("key"), data.get("revision")
    if not isinstance(key, str):
        raise invalid_record(f"store item: expected a string as key, got {describe(key)}")
    if not is_integer(revision) or not 0 <= revision <= MAX_INTEGER:
        raise invalid_record(f"store item {key[:SHOWN_KEY_CHARACTERS]}: invalid revision")
    position = StorePosition(era, revision)
    if data.get("removed"):
        return StoreItem(key, position, None)
    try:
        return StoreItem(key, position, base64.b64decode(data["value"], validate=True))
    except (KeyError, TypeError, ValueError):
        return StoreItem(key, position, b"")


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
        return _hide_keys(value)
    except Exception as error:
        # Also a value that the parser takes and the serializer finds too deep.
        return orjson.dumps({"unreadable": describe_error(error)})


def _hide_keys(value: bytes) -> bytes:
    """Do so for a configuration that can be read; raise any error otherwise."""
    data = orjson.loads(value)
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
