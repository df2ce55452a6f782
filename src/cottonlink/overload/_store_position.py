"""Orders what is read from a store that may return from a copy of itself."""

from __future__ import annotations

from attrs import frozen

# Era of a store that doesn't tell its era.
UNKNOWN_ERA = 0


@frozen(order=True)
class StorePosition:
    """A point in the history of the store.

    A store that returns from a copy gives out revisions again, for other changes. The era counts
    its returns, so positions order only what was read: all of one era, and the eras as such. A
    later position may still hold what was written earlier, as it was in the copy.
    """

    era: int
    revision: int
