"""The organisations of a seed: their keys, which change, and the headers that callers send."""

from __future__ import annotations

import random

from attrs import define, field, frozen

from emulator.platform_target import organisation_resource
from soak.observations import ObservedRequest

REVOCATION_S = 5
# Low enough that the callers of a connection kind or two exceed it.
QUOTA_RATE_PER_S = 20.0
QUOTA_BURST = 10.0
SPECS = {
    "acme": {},
    "beta": {"rate_per_s": QUOTA_RATE_PER_S, "burst": QUOTA_BURST},
    "coral": {"priority": 0},
    "delta": {},
}
UNLIMITED = "acme"
FORGED_NAMES = ("X-Tenant", "x-tenant", "X-TENANT")
FORGED_SHARE = 0.1
# Of the connections, those that use a key that changes, and of these a key that was taken away.
CHANGING_KEY_SHARE = 0.4
REMOVED_KEY_SHARE = 0.4
KEY_CHANGE_SHARE = 0.6
MAX_CHANGING_KEYS = 3
# Of the keys that were taken away, only the last ones are still used.
KEPT_REMOVED_KEYS = 3


@frozen
class Credentials:
    """What a connection's requests carry: a key, and now and then a forged organisation."""

    key: str
    rng: random.Random

    def add_to(self, request: ObservedRequest) -> None:
        """Set the headers of a request and the key by which it is checked."""
        request.key = self.key
        request.sent_headers = [("Authorization", f"Token {self.key}")]
        if self.rng.random() < FORGED_SHARE:
            forged = (self.rng.choice(FORGED_NAMES), self.rng.choice(sorted(SPECS)))
            request.sent_headers += [forged] * self.rng.randint(1, 2)


@define
class Organisations:
    """Three or four organisations; each has a key that stays and some that come and go.

    ``owners`` maps each key that a configuration holds or held to its organisation; a key that was
    taken away never returns.
    """

    rng: random.Random
    owners: dict[str, str] = field(factory=dict)
    _names: list[str] = field(init=False)
    _changing: list[str] = field(factory=list)
    _removed: list[str] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        self._names = sorted(SPECS)[: self.rng.randint(3, 4)]
        self.owners.update((_lasting_key(name), name) for name in self._names)

    def resources(self) -> list[dict]:
        """Return the organisations of the next configuration."""
        keys_in_force = self.keys_in_force()
        return [
            organisation_resource(
                name, *(key for key in keys_in_force if self.owners[key] == name), **SPECS[name]
            )
            for name in self._names
        ]

    def quotas(self) -> dict[str, tuple[float, float]]:
        """Return ``rate_per_s`` and ``burst`` of the organisations that have a quota."""
        specs = ((name, SPECS[name]) for name in self._names)
        return {
            name: (spec["rate_per_s"], spec["burst"]) for name, spec in specs if "burst" in spec
        }

    def keys_in_force(self) -> list[str]:
        """Return the keys of the next configuration."""
        return [*map(_lasting_key, self._names), *self._changing]

    def change_keys(self) -> None:
        """Add a key or take one away, for the next configuration."""
        if self.rng.random() >= KEY_CHANGE_SHARE:
            return
        if len(self._changing) < MAX_CHANGING_KEYS:
            name = self.rng.choice(self._names)
            key = f"key-{name}-{len(self.owners)}"
            self.owners[key] = name
            self._changing.append(key)
        else:
            removed = self._changing.pop(self.rng.randrange(MAX_CHANGING_KEYS))
            self._removed = [*self._removed, removed][-KEPT_REMOVED_KEYS:]

    def choose_credentials(self) -> Credentials:
        """Return what the requests of a new connection carry."""
        keys = [_lasting_key(name) for name in self._names]
        if self.rng.random() < CHANGING_KEY_SHARE:
            is_removed = self.rng.random() < REMOVED_KEY_SHARE
            keys = (self._removed if is_removed else self._changing) or keys
        return Credentials(self.rng.choice(keys), self.rng)

    def lasting_credentials(self) -> Credentials:
        """Return credentials that are valid throughout, of an organisation without a quota."""
        return Credentials(_lasting_key(UNLIMITED), self.rng)

    def unknown_credentials(self) -> Credentials:
        """Return credentials with a key that no configuration ever holds."""
        return Credentials("key-never-held", self.rng)


def _lasting_key(name: str) -> str:
    return f"key-{name}-lasting"
