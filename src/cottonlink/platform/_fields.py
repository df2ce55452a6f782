"""Reads the fields of records; collects every fault instead of stopping at the first."""

from __future__ import annotations

import math
from collections.abc import Callable
from typing import Any

from attrs import define, frozen

from cottonlink._numbers import MAX_INTEGER

REQUIRED = object()
_MAX_SHOWN_CHARACTERS = 60
# Ranks of organisations: a lower one would take slots that are kept free, and a higher one means
# nothing.
_MAX_RANK = 1_000
MAX_NAME_CHARACTERS = 200
# No request or connection lasts longer.
MAX_DURATION_S = 24 * 3_600
MAX_WEIGHT = 1e12
MAX_ROUTE_RANK = 1_000_000
# More requests than any target runs concurrently.
MAX_SLOTS = 1_000_000
_TYPE_NAMES = {
    dict: "a mapping",
    list: "a list",
    str: "a string",
    bool: "a boolean",
    type(None): "null",
}


class FieldError(ValueError):
    """A value isn't what is expected of it."""

    def __init__(self, expected: str, value: Any) -> None:
        super().__init__(f"expected {expected}, got {describe(value)}")
        self.expected = expected


@frozen
class Fault:
    """A part of a record that can't be used. ``owner`` is an organisation, or empty."""

    path: str
    expected: str
    found: str
    rule: str = "field"
    owner: str = ""
    line: int | None = None

    def __str__(self) -> str:
        place = f"organisation {self.owner!r} ({self.path})" if self.owner else self.path
        return f"{place}: expected {self.expected}, got {self.found}"


@define(eq=False)
class Fields:
    """The fields of one mapping at ``path``; faults are added to ``faults``.

    With ``is_secret``, faults show no text that was found, as it may be a misplaced key.
    """

    path: str
    values: dict[str, Any]
    faults: list[Fault]
    owner: str = ""
    is_secret: bool = False

    def read(self, name: str, check: Callable[[Any], Any], default: Any = REQUIRED) -> Any:
        """Return what ``check`` makes of a field, or ``default`` if the field is absent.

        If the field is invalid, or absent without a default, adds a fault and returns None.
        """
        if name not in self.values and default is not REQUIRED:
            return default
        try:
            return check(self.values[name])
        except KeyError:
            self.report(name, _expectation_of(check), "nothing")
        except FieldError as error:
            self.report(name, error.expected, self.describe(self.values[name]))
        return None

    def report(self, name: str, expected: str, found: str, rule: str = "field") -> None:
        """Add a fault of a field."""
        self.faults.append(Fault(f"{self.path}.{name}", expected, found, rule, self.owner))

    def describe(self, value: Any) -> str:
        """Return a description of ``value`` for a fault."""
        return describe_type(value) if self.is_secret else describe(value)


def _expectation_of(check: Callable[[Any], Any]) -> str:
    try:
        check(None)
    except FieldError as error:
        return error.expected
    return "a value"


def describe_type(value: Any) -> str:
    """Return a description that doesn't show texts; numbers are shown."""
    if value == "" and isinstance(value, str):
        return "an empty string"
    return _TYPE_NAMES.get(type(value)) or repr(value)


def describe(value: Any) -> str:
    """Return a description of bounded length that shows texts, too."""
    if not isinstance(value, str) or not value:
        return describe_type(value)
    text = repr(value)
    return text if len(text) <= _MAX_SHOWN_CHARACTERS else f"{text[:_MAX_SHOWN_CHARACTERS]}..."


def is_integer(value: Any) -> bool:
    """Return whether ``value`` is an integer; booleans aren't."""
    return isinstance(value, int) and not isinstance(value, bool)


def is_amount(value: Any) -> bool:
    """Return whether ``value`` is a finite number from 0 on."""
    is_number = isinstance(value, int | float) and not isinstance(value, bool)
    return is_number and 0 <= value < math.inf


def check_mapping(value: Any) -> dict[str, Any]:
    """Return ``value`` if it is a mapping."""
    if not isinstance(value, dict):
        raise FieldError("a mapping", value)
    return value


def check_name(value: Any) -> str:
    """Return ``value`` if it can name a service or a data centre, also in a line of the log."""
    if (
        not isinstance(value, str)
        or not 1 <= len(value) <= MAX_NAME_CHARACTERS
        or not value.isprintable()
    ):
        raise FieldError(f"a name of 1 to {MAX_NAME_CHARACTERS} printable characters", value)
    return value


def check_text(value: Any) -> str:
    """Return ``value`` if it is a string, which may be empty."""
    if not isinstance(value, str):
        raise FieldError("a string", value)
    return value


def check_string(value: Any) -> str:
    """Return ``value`` if it is a non-empty string."""
    if not isinstance(value, str) or not value:
        raise FieldError("a non-empty string", value)
    return value


def check_version(value: Any) -> int:
    """Return ``value`` if it is a version, which nodes also tell each other."""
    if not is_integer(value):
        raise FieldError("an integer", value)
    if not 0 <= value <= MAX_INTEGER:
        raise FieldError(f"an integer from 0 to {MAX_INTEGER}", value)
    return value


def check_rank(value: Any) -> int:
    """Return ``value`` if it is the priority of an organisation."""
    if not is_integer(value) or not 0 <= value <= _MAX_RANK:
        raise FieldError(f"an integer from 0 to {_MAX_RANK}", value)
    return value


def check_header_text(value: Any) -> str:
    """Return ``value`` if it is a non-empty string that can stand in a header as it is."""
    if not isinstance(value, str) or not value or not (value.isascii() and value.isprintable()):
        raise FieldError("a non-empty string of printable ASCII characters", value)
    return value


def check_slots(value: Any) -> int:
    """Return ``value`` if it is a number of slots."""
    if not is_integer(value) or not 1 <= value <= MAX_SLOTS:
        raise FieldError(f"an integer from 1 to {MAX_SLOTS}", value)
    return value


def to_integer(value: Any) -> int:
    """Return the whole part of a number, which may be written as a string."""
    try:
        return int(value)
    except (TypeError, ValueError, OverflowError):
        raise FieldError("a whole number", value) from None


def to_route_rank(value: Any) -> int:
    """Return the priority of a route, which may be written as a string."""
    rank = to_integer(value)
    if abs(rank) > MAX_ROUTE_RANK:
        raise FieldError(f"a whole number from {-MAX_ROUTE_RANK} to {MAX_ROUTE_RANK}", value)
    return rank


def to_weight(value: Any) -> float:
    """Return a number from 0 on, which may be written as a string."""
    try:
        weight = float(value)
    except (TypeError, ValueError, OverflowError):
        weight = math.nan
    if not 0 <= weight <= MAX_WEIGHT:
        raise FieldError(f"a number from 0 to {MAX_WEIGHT:g}", value)
    return weight


def seconds_to_ms(value: Any) -> float:
    """Return a duration in seconds as milliseconds; a longer one counts as MAX_DURATION_S."""
    if isinstance(value, bool) or not isinstance(value, int | float) or not value >= 0:
        raise FieldError("a duration in seconds", value)
    return min(value, MAX_DURATION_S) * 1000.0


def accept_any(value: Any) -> Any:
    """Return ``value`` whatever it is."""
    return value
