"""A node's copy of what operator and targets publish in the store, and what it means for the node.

The items are kept as they were read, so that they can be handed to a node that can't reach the
store.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from attrs import evolve

from cottonlink.errors import CottonlinkError, describe_error
from cottonlink.overload import UNKNOWN_ERA, StorePosition, make_upstream_directory
from cottonlink.path._log import EventLog
from cottonlink.path._model import Configuration, Upstream
from cottonlink.path.store._store import Listing, Store, StoreItem


class StoreContents:
    """The items of the store and the upstreams that they register."""

    def __init__(
        self,
        store: Store,
        log: EventLog,
        on_configuration: Callable[[Configuration], None],
        on_upstreams: Callable[[list[Upstream]], None],
    ) -> None:
        self._store = store
        self._log = log
        self._on_configuration = on_configuration
        self._on_upstreams = on_upstreams
        self._directory = make_upstream_directory()
        self._items: dict[str, StoreItem] = {}
        self._configuration_version: int | None = None
        # Whether the configuration in the store can't be read, which the one in force doesn't show.
        self.is_configuration_unreadable = False

    def items(self) -> tuple[StoreItem, ...]:
        """Return the items that weren't removed, without the entries that aren't used."""
        return tuple(
            item
            for item in self._items.values()
            if item.value is not None and not self._directory.is_held(item.key)
        )

    def changes_to(self, listing: Listing) -> tuple[StoreItem, ...]:
        """Return the changes that lead from the present items to those of a listing of this era."""
        listed = {item.key: item for item in listing.items}
        changed = (
            item
            for item in listing.items
            if item.key not in self._items or item.position > self._items[item.key].position
        )
        removed = (
            StoreItem(key, listing.position, None)
            for key, item in self._items.items()
            if item.value is not None and key not in listed
        )
        return (*changed, *removed)

    def replace(self, listing: Listing, now_ms: float) -> None:
        """Replace all items by those of a listing."""
        items: dict[str, StoreItem] = {}
        entries: dict[str, tuple[Upstream | None, StorePosition]] = {}
        for item in listing.items:
            if self._store.is_configuration(item.key):
                item = self._apply_configuration(item)
            elif self._store.is_upstream(item.key):
                upstream = self._decode_upstream(item)
                entries[item.key] = (upstream, item.position)
                item = self._keep_departure(item, upstream)
            items[item.key] = item
        for key, known in self._items.items():
            if self._store.is_configuration(key) and key not in items:
                items[key] = evolve(known, position=StorePosition(listing.position.era, 0))
        self._items = items
        held = self._directory.held()
        if self._directory.replace_all(entries, listing.position.era, now_ms):
            self._publish()
        if newly_held := [key for key in self._directory.held() if key not in held]:
            self._log.event("upstreams_held", ids=newly_held)

    def apply(self, items: Iterable[StoreItem], now_ms: float) -> None:
        """Apply changed items."""
        has_changed = False
        for item in items:
            known = self._items.get(item.key)
            # Changes from other nodes and from an own watch may overlap, in a different order.
            if known is not None and item.position <= known.position:
                continue
            if self._store.is_configuration(item.key):
                item = self._apply_configuration(item)
            elif self._store.is_upstream(item.key) and item.value is not None:
                upstream = self._decode_upstream(item)
                kept_item = self._keep_departure(item, upstream)
                has_changed |= self._put_entry(item, upstream, now_ms)
                item = kept_item
            elif self._store.is_upstream(item.key):
                has_changed |= self._directory.remove(item.key, now_ms)
            self._items[item.key] = item
        if has_changed:
            self._publish()

    def adopt_configuration(self, items: Iterable[StoreItem]) -> None:
        """Apply the configuration that another node knows, if it is newer."""
        for item in items:
            if self._store.is_configuration(item.key):
                known = self._items.get(item.key)
                position = StorePosition(UNKNOWN_ERA, 0) if known is None else known.position
                self._items[item.key] = evolve(self._apply_configuration(item), position=position)

    def store_lost(self) -> None:
        """Record that the store stopped answering."""
        self._directory.store_lost()

    def store_regained(self, now_ms: float) -> bool:
        """Record that the store answers again; return whether it had stopped."""
        return self._directory.store_regained(now_ms)

    def maintain(self, now_ms: float) -> None:
        """Drop upstreams that stayed missing, and use those that proved to be alive."""
        dropped = self._directory.drop_missing(now_ms)
        if dropped:
            self._log.event("upstreams_dropped", ids=dropped)
        released = self._directory.release_held(now_ms)
        if released:
            self._log.event("upstreams_released", ids=released)
        if dropped or released:
            self._publish()

    def _keep_departure(self, item: StoreItem, upstream: Upstream | None) -> StoreItem:
        """Return ``item`` with the known value if that says that the upstream is leaving."""
        known = self._items.get(item.key)
        if known is None or known.value is None:
            return item
        if item.position <= known.position:
            return known
        if not self._directory.is_outdated(item.key, upstream, item.position):
            return item
        self._log.event("entry_outdated", key=item.key, sequence=upstream.sequence)
        return evolve(item, value=known.value)

    def _put_entry(self, item: StoreItem, upstream: Upstream | None, now_ms: float) -> bool:
        if self._directory.hold_if_late(item.key, upstream, item.position, now_ms):
            self._log.event("upstreams_held", ids=[item.key])
            return False
        return self._directory.put(item.key, upstream, item.position)

    def _apply_configuration(self, item: StoreItem) -> StoreItem:
        """Apply a configuration; return ``item`` with the newest value that is known.

        The store may hold an older version than is in force, or an invalid one.
        """
        known = self._items.get(item.key)
        configuration = self._decode_configuration(item)
        if configuration is not None:
            self.is_configuration_unreadable = False
            self._on_configuration(configuration)
            present = self._configuration_version
            if present is None or configuration.version > present:
                self._configuration_version = configuration.version
                return item
        return item if known is None else evolve(item, value=known.value)

    def _decode_configuration(self, item: StoreItem) -> Configuration | None:
        if item.value is None:
            return None
        try:
            return self._store.decode_configuration(item)
        except Exception as error:
            # The previous configuration stays in force, and the entries of targets are still read.
            self.is_configuration_unreadable = True
            self._log.event("configuration_invalid", detail=_describe_failure(error))
            return None

    def _decode_upstream(self, item: StoreItem) -> Upstream | None:
        try:
            return self._store.decode_upstream(item)
        except Exception as error:
            # Whatever one entry does, the others hold.
            self._log.event("entry_invalid", key=item.key, detail=_describe_failure(error))
            return None

    def _publish(self) -> None:
        self._on_upstreams(self._directory.entries())


def _describe_failure(error: Exception) -> str:
    return error.detail if isinstance(error, CottonlinkError) else describe_error(error)


def make_store_contents(
    store: Store,
    log: EventLog,
    on_configuration: Callable[[Configuration], None],
    on_upstreams: Callable[[list[Upstream]], None],
) -> StoreContents:
    """Return the contents of a node that has read nothing yet."""
    return StoreContents(store, log, on_configuration, on_upstreams)
