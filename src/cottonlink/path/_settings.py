"""Settings of a node on the call path, read from a YAML file."""

from __future__ import annotations

import math
from collections.abc import Callable, Mapping
from pathlib import Path
from types import MappingProxyType
from typing import Any

import attrs
import yaml
from attrs import field, frozen

from cottonlink.errors import SettingsError

_MAX_SECONDS = 24 * 3_600


def _non_empty_string(_instance: Any, attribute: Any, value: Any) -> None:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{attribute.name}: expected a non-empty string, got {value!r}")


def _ip_and_port(_instance: Any, attribute: Any, value: Any) -> None:
    host, _, port = value.rpartition(":") if isinstance(value, str) else ("", "", "")
    if not host or not port.isascii() or not port.isdigit() or not 1 <= int(port) <= 65_535:
        raise ValueError(f"{attribute.name}: expected ip:port, got {value!r}")


def _true_or_false(_instance: Any, attribute: Any, value: Any) -> None:
    if not isinstance(value, bool):
        raise ValueError(f"{attribute.name}: expected true or false, got {value!r}")


def _number_between(lowest: float, highest: float) -> Callable[[Any, Any, Any], None]:
    def check(_instance: Any, attribute: Any, value: Any) -> None:
        is_number = isinstance(value, int | float) and not isinstance(value, bool)
        if not is_number or not math.isfinite(value) or not lowest <= value <= highest:
            raise ValueError(f"{attribute.name}: expected {lowest:g} to {highest:g}, got {value!r}")

    return check


@frozen
class NodeSettings:
    """Addresses, shares and durations of one node. Addresses are ``ip:port``.

    ``repeat_ratio``, ``repeat_allowance`` and ``repeat_window_s`` set the retry budget, which
    bounds how often all nodes together send calls again. ``grace_s`` is the time from SIGTERM to
    SIGKILL. ``memory_mb`` is what the process may hold.
    """

    node: str = field(validator=_non_empty_string)
    data_centre: str = field(validator=_non_empty_string)
    service: str = field(validator=_non_empty_string)
    caller_address: str = field(validator=_ip_and_port)
    peer_address: str = field(validator=_ip_and_port)
    ready_address: str = field(validator=_ip_and_port)
    metrics_address: str = field(validator=_ip_and_port)
    target_address: str = field(validator=_ip_and_port)
    store_address: str = field(validator=_ip_and_port)
    readiness_path: str = field(default="/ready", validator=_non_empty_string)
    repeat_ratio: float = field(default=0.1, validator=_number_between(0, 10))
    repeat_allowance: float = field(default=10, validator=_number_between(0, 1_000_000))
    repeat_window_s: float = field(default=10, validator=_number_between(0.1, _MAX_SECONDS))
    grace_s: float = field(default=10, validator=_number_between(0, _MAX_SECONDS))
    memory_mb: float = field(default=200, validator=_number_between(64, 1_000_000))
    # Time within which a revoked API key must no longer work anywhere, also without any contact; 0
    # if no such time is promised.
    revocation_s: float = field(default=0, validator=_number_between(0, _MAX_SECONDS))
    # Whether calls of a target that has just started are limited by how it answers.
    paces_starts: bool = field(default=False, validator=_true_or_false)
    connection_share: float = field(default=0.9, validator=_number_between(0.01, 1))


def load_node_settings(
    path: str | Path, defaults: Mapping[str, Any] = MappingProxyType({})
) -> NodeSettings:
    """Return the settings in the YAML file at ``path``.

    ``defaults`` are for fields that the file doesn't hold. Raises SettingsError that lists every
    problem; an unknown field is one.
    """
    try:
        data = yaml.load(
            Path(path).read_bytes(), Loader=getattr(yaml, "CSafeLoader", yaml.SafeLoader)
        )
    except OSError as error:
        raise SettingsError((f"settings file: {error.strerror}",), peer=str(path)) from error
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        raise SettingsError((f"settings file: not YAML: {error}",), peer=str(path)) from error
    if not isinstance(data, Mapping):
        raise SettingsError(("settings file: expected a mapping",), peer=str(path))
    return _build_settings({**defaults, **data}, str(path))


def _build_settings(data: Mapping[Any, Any], path: str) -> NodeSettings:
    attributes = attrs.fields_dict(NodeSettings)
    problems = [f"{name}: unknown field" for name in data if name not in attributes]
    for name, attribute in attributes.items():
        if name not in data:
            if attribute.default is attrs.NOTHING:
                problems.append(f"{name}: required field is missing")
            continue
        try:
            attribute.validator(None, attribute, data[name])
        except ValueError as error:
            problems.append(str(error))
    if problems:
        raise SettingsError(tuple(problems), peer=path)
    return NodeSettings(**data)
