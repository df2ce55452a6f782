"""Strict structuring of outside data into attrs classes, with every fault and its path.

Without these hooks cattrs would turn ``"5"`` into 5 and ``"abc"`` into three list entries.
"""

from __future__ import annotations

import ipaddress
import math
import re
from collections.abc import Callable, Mapping
from typing import Any

import attrs
from cattrs import Converter, IterableValidationError
from cattrs.cols import homogenous_tuple_structure_factory
from cattrs.errors import (
    ClassValidationError,
    ForbiddenExtraKeysError,
    IterableValidationNote,
)
from cattrs.gen import make_dict_structure_fn, override

Check = Callable[[Any], Any]

# Names of nodes, services and kinds travel in header fields and paths, so they are plain ASCII.
# Data centres are shown to operators only and may be written with any letters.
_NAME = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]{0,63}", re.ASCII)
_DATA_CENTRE = re.compile(r"\w[\w .-]{0,63}")


def check_string(value: Any) -> str:
    """Return ``value`` if it is a string, else raise ValueError."""
    if not isinstance(value, str):
        raise ValueError(f"expected a string, got {describe(value)}")
    return value


def check_name(value: Any) -> str:
    """Return ``value`` if it can name a node, service or kind, else raise ValueError."""
    if not _NAME.fullmatch(check_string(value)):
        raise ValueError(f"expected a name of letters, digits and ._-, got {describe(value)}")
    return value


def check_data_centre(value: Any) -> str:
    """Return ``value`` if it can name a data centre, else raise ValueError."""
    if not _DATA_CENTRE.fullmatch(check_string(value)):
        raise ValueError(f"expected the name of a data centre, got {describe(value)}")
    return value


def check_address(value: Any) -> str:
    """Return ``value`` if it is ``ip:port`` with a port above 0, else raise ValueError."""
    host, _, port = check_string(value).rpartition(":")
    try:
        ipaddress.ip_address(host[1:-1] if host[:1] + host[-1:] == "[]" else host)
        # An IPv6 address needs brackets, since its own colons hide the port otherwise.
        is_valid = ":" not in host or host[0] == "["
    except ValueError:
        is_valid = False
    has_port = re.fullmatch(r"[1-9][0-9]{0,4}", port, re.ASCII) and int(port) <= 65_535
    if not (is_valid and has_port):
        raise ValueError(f"expected ip:port, got {describe(value)}")
    return value


def check_bool(value: Any) -> bool:
    """Return ``value`` if it is a boolean, else raise ValueError."""
    if not isinstance(value, bool):
        raise ValueError(f"expected true or false, got {describe(value)}")
    return value


def check_integer(lowest: int, highest: int) -> Check:
    """Return a check for integers from ``lowest`` to ``highest``."""

    def check(value: Any) -> int:
        if isinstance(value, bool) or not isinstance(value, int):
            raise ValueError(f"expected an integer, got {describe(value)}")
        if not lowest <= value <= highest:
            raise ValueError(f"expected {lowest} to {highest}, got {describe(value)}")
        return value

    return check


def check_number(lowest: float, highest: float) -> Check:
    """Return a check for finite numbers from ``lowest`` to ``highest``."""

    def check(value: Any) -> float:
        if isinstance(value, bool) or not isinstance(value, int | float):
            raise ValueError(f"expected a number, got {describe(value)}")
        if not lowest <= value <= highest or not math.isfinite(value):
            raise ValueError(f"expected {lowest:g} to {highest:g}, got {describe(value)}")
        return float(value)

    return check


def check_choice(*choices: str) -> Check:
    """Return a check for one of ``choices``."""

    def check(value: Any) -> str:
        if not isinstance(value, str) or value not in choices:
            raise ValueError(f"expected one of {', '.join(choices)}, got {describe(value)}")
        return value

    return check


def check_list(check_item: Check, max_count: int) -> Check:
    """Return a check for lists of at most ``max_count`` items, each of which ``check_item``
    accepts."""

    def check(value: Any) -> tuple:
        _require_list(value)
        if len(value) > max_count:
            raise ValueError(f"expected at most {max_count} items, got {len(value)}")
        return tuple(_check_item(check_item, item, index) for index, item in enumerate(value))

    return check


def describe(value: Any) -> str:
    """Return a short form of ``value`` for an error message, whatever its size."""
    if isinstance(value, Mapping):
        return "a mapping"
    if isinstance(value, list | tuple):
        return f"a list of {len(value)}"
    if isinstance(value, int) and value.bit_length() > 128:
        return "a huge integer"
    text = repr(value)
    return text if len(text) <= 60 else f"{text[:57]}..."


def make_converter(checks: Mapping[type, Mapping[str, Check]]) -> Converter:
    """Return a converter that applies ``checks`` per class and field and accepts no other
    fields."""
    converter = Converter(forbid_extra_keys=True)

    @converter.register_structure_hook_factory(attrs.has)
    def structure_class(cls: type) -> Callable:
        overrides = {name: override(struct_hook=_as_hook(c)) for name, c in checks[cls].items()}
        structure = make_dict_structure_fn(cls, converter, _cattrs_use_alias=False, **overrides)

        def structure_mapping(value: Any, _: type) -> Any:
            if not isinstance(value, Mapping):
                raise ValueError(f"expected a mapping, got {describe(value)}")
            return structure(value, cls)

        return structure_mapping

    @converter.register_structure_hook_factory(_is_plain_tuple)
    def structure_tuple(cls: type) -> Callable:
        structure = homogenous_tuple_structure_factory(cls, converter)

        def structure_list(value: Any, _: type) -> tuple:
            _require_list(value)
            return structure(value, cls)

        return structure_list

    return converter


def list_problems(error: BaseException, path: str = "") -> tuple[str, ...]:
    """Return the faults in an error of ``Converter.structure``, each as ``path: fault``."""
    if not isinstance(error, ClassValidationError | IterableValidationError):
        return (f"{path or 'record'}: {_explain(error)}",)
    with_notes, without_notes = error.group_exceptions()
    problems: list[str] = []
    for inner, note in with_notes:
        problems += list_problems(inner, _join(path, note))
    for inner in without_notes:
        problems += list_problems(inner, path)
    return tuple(problems)


def _explain(error: BaseException) -> str:
    if isinstance(error, KeyError):
        return "required field is missing"
    if isinstance(error, ForbiddenExtraKeysError):
        names = sorted(describe(name) for name in error.extra_fields)
        return f"unknown fields {', '.join(names[:10])}"
    return str(error)


def _join(path: str, note: Any) -> str:
    if isinstance(note, IterableValidationNote):
        return f"{path}[{note.index}]"
    return f"{path}.{note.name}" if path else note.name


def _as_hook(check: Check) -> Callable:
    return lambda value, _: check(value)


def _is_plain_tuple(cls: Any) -> bool:
    return getattr(cls, "__origin__", None) is tuple and cls.__args__[-1:] == (Ellipsis,)


def _require_list(value: Any) -> None:
    if not isinstance(value, list | tuple):
        raise ValueError(f"expected a list, got {describe(value)}")


def _check_item(check_item: Check, item: Any, index: int) -> Any:
    try:
        return check_item(item)
    except ValueError as error:
        raise ValueError(f"item {index}: {error}") from error
