"""Immutable classes that are cheap to construct where nodes run."""

from __future__ import annotations

import functools
from typing import dataclass_transform

from attrs import define, field, frozen


@dataclass_transform(frozen_default=True, field_specifiers=(field,))
def value_class(cls: type) -> type:
    """Make ``cls`` a class of immutable values, for types of which each call makes several.

    Setting a field raises an error, except under ``python -O``, with which nodes are deployed:
    the constructor of a frozen class takes up to five times as long.
    """
    return _decorate(cls)


_decorate = frozen if __debug__ else functools.partial(define, unsafe_hash=True)
