"""When nodes and the store were disturbed, and which nodes were in touch at a moment."""

from __future__ import annotations

import enum
import math
from collections import defaultdict
from collections.abc import Callable, Iterator
from contextlib import contextmanager

from attrs import define, field

# Nodes are in touch once neither they nor the store have been disturbed for this time.
CONTACT_S = 3.0


class Kind(enum.Enum):
    """What a disturbance of a VM affects.

    ``UNPLANNED`` is one of the node's process or of its connections, ``FREEZE`` one in which the
    process stands still, ``PLANNED`` a stop with SIGTERM until the next start, ``STORE_PATH`` one
    of the node's connections to the store.
    """

    UNPLANNED = enum.auto()
    FREEZE = enum.auto()
    PLANNED = enum.auto()
    STORE_PATH = enum.auto()


@define
class Span:
    """A disturbance; ``end_s`` is infinite until it ends."""

    kind: Kind
    start_s: float
    end_s: float = math.inf

    def overlaps(self, start_s: float, end_s: float) -> bool:
        """Return whether any of the disturbance lies between the two times."""
        return self.start_s <= end_s and self.end_s >= start_s


@define
class Disturbances:
    """The disturbances of one run; ``now_s`` is the clock of all times."""

    now_s: Callable[[], float]
    _by_vm: dict[int, list[Span]] = field(factory=lambda: defaultdict(list))
    _of_store: list[Span] = field(factory=list)
    stalls: list[Span] = field(factory=list)

    @contextmanager
    def of_vm(self, vm: int, kind: Kind) -> Iterator[None]:
        """Record a disturbance of a VM, given by its number, while the context is entered."""
        with self._record(self._by_vm[vm], kind):
            yield

    @contextmanager
    def of_store(self) -> Iterator[None]:
        """Record a disturbance of the store while the context is entered."""
        with self._record(self._of_store, Kind.STORE_PATH):
            yield

    def add_stall(self, start_s: float, end_s: float) -> None:
        """Record that the soak itself stalled: its store and proxies delayed all data."""
        self.stalls.append(Span(Kind.UNPLANNED, start_s, end_s))

    def is_store_stable(self, start_s: float, end_s: float | None = None) -> bool:
        """Return whether the store was undisturbed from ``CONTACT_S`` before the start."""
        end_s = start_s if end_s is None else end_s
        spans = [*self._of_store, *self.stalls]
        return not any(span.overlaps(start_s - CONTACT_S, end_s) for span in spans)

    def is_in_touch(self, vm: int, start_s: float, end_s: float | None = None) -> bool:
        """Return whether a VM was in touch at each moment between the two times."""
        end_s = start_s if end_s is None else end_s
        return self.is_store_stable(start_s, end_s) and not any(
            span.overlaps(start_s - CONTACT_S, end_s) for span in self._by_vm[vm]
        )

    def is_disrupted(self, vm: int, start_s: float, end_s: float) -> bool:
        """Return whether an unplanned disturbance of the VM ends after ``CONTACT_S`` before."""
        return any(
            span.kind in (Kind.UNPLANNED, Kind.FREEZE) and span.overlaps(start_s - CONTACT_S, end_s)
            for span in [*self._by_vm[vm], *self.stalls]
        )

    def is_frozen(self, vm: int, start_s: float, end_s: float) -> bool:
        """Return whether the process of a VM stood still at some moment between the two times."""
        return any(
            span.kind is Kind.FREEZE and span.overlaps(start_s, end_s) for span in self._by_vm[vm]
        )

    @contextmanager
    def _record(self, spans: list[Span], kind: Kind) -> Iterator[None]:
        span = Span(kind, self.now_s())
        spans.append(span)
        try:
            yield
        finally:
            span.end_s = self.now_s()
