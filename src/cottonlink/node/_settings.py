"""Settings of a node, read from a YAML file when its process starts."""

from __future__ import annotations

from pathlib import Path
from typing import Any

import yaml
from attrs import frozen
from cattrs.errors import BaseValidationError

from cottonlink._structuring import (
    check_address,
    check_choice,
    check_data_centre,
    check_integer,
    check_list,
    check_name,
    list_problems,
    make_converter,
)
from cottonlink.errors import SettingsError

LOG_LEVELS = ("debug", "info", "warning", "error", "critical")

_MAX_THREADS = 10_000
_MAX_BYTES = 1 << 30
_MAX_DURATION_MS = 24 * 3_600_000


@frozen
class Settings:
    """Addresses and limits of one node. Addresses are ``ip:port``.

    ``node`` is also the name of this node's upstream in the policy record. ``caller_limit`` and
    ``peer_limit`` limit the calls in progress on the caller and the peer listener.
    """

    node: str
    data_centre: str
    caller_address: str
    peer_address: str
    control_address: str
    target_address: str
    seed_control_addresses: tuple[str, ...]
    config_service_address: str
    vm_list_address: str
    body_limit_bytes: int = 1_000_000
    header_limit_bytes: int = 16_384
    caller_limit: int = 256
    peer_limit: int = 512
    control_threads: int = 8
    connection_limit: int = 2_000
    silence_check_ms: int = 300
    connection_max_age_ms: int = 60_000
    drain_timeout_ms: int = 30_000
    log_level: str = "info"


_CONVERTER = make_converter(
    {
        Settings: {
            "node": check_name,
            "data_centre": check_data_centre,
            "caller_address": check_address,
            "peer_address": check_address,
            "control_address": check_address,
            "target_address": check_address,
            "seed_control_addresses": check_list(check_address, max_count=1_000),
            "config_service_address": check_address,
            "vm_list_address": check_address,
            "body_limit_bytes": check_integer(1, _MAX_BYTES),
            "header_limit_bytes": check_integer(256, _MAX_BYTES),
            "caller_limit": check_integer(1, _MAX_THREADS),
            "peer_limit": check_integer(1, _MAX_THREADS),
            "control_threads": check_integer(1, _MAX_THREADS),
            "connection_limit": check_integer(1, 65_535),
            "silence_check_ms": check_integer(1, _MAX_DURATION_MS),
            "connection_max_age_ms": check_integer(1, _MAX_DURATION_MS),
            "drain_timeout_ms": check_integer(0, _MAX_DURATION_MS),
            "log_level": check_choice(*LOG_LEVELS),
        }
    }
)


def load_settings(path: str | Path) -> Settings:
    """Return the settings in the YAML file at ``path``.

    Raises SettingsError with every problem and its path; unknown fields are problems, too.
    """
    try:
        data = yaml.safe_load(Path(path).read_bytes())
    except OSError as error:
        raise SettingsError((f"settings file: {error.strerror}",), peer=str(path)) from error
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise SettingsError((f"settings file: not YAML: {error}",), peer=str(path)) from error
    try:
        settings = _CONVERTER.structure(data, Settings)
    except (BaseValidationError, ValueError) as error:
        raise SettingsError(list_problems(error), peer=str(path)) from error
    _check_addresses(settings, str(path))
    return settings


def dump_settings(settings: Settings) -> dict[str, Any]:
    """Return ``settings`` as a mapping that YAML can hold and ``load_settings`` reads back."""
    data = _CONVERTER.unstructure(settings)
    return {**data, "seed_control_addresses": list(settings.seed_control_addresses)}


def _check_addresses(settings: Settings, path: str) -> None:
    """Raise SettingsError if two addresses are equal.

    Otherwise binding the second listener would fail after the node has been announced to others.
    """
    seen: dict[str, str] = {}
    problems: list[str] = []
    for name in ("caller_address", "peer_address", "control_address", "target_address"):
        address = getattr(settings, name)
        if address in seen:
            problems.append(f"{name}: same address as {seen[address]}")
        seen.setdefault(address, name)
    if problems:
        raise SettingsError(tuple(problems), peer=path)
