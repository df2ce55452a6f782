"""The organisations of a seed: their keys, which change, and the headers that callers send."""

from __future__ import annotations

import random

from attrs import define, field, frozen

from emulator.platform_target import organisation_resource
from soak.observations import ObservedRequest

REVOCATION_S = 5
# Low enough that callers exceed the quota.
SPECS = {
    "acme": {},
    "beta": {"rate_per_s": 20.0, "burst": 10.0},
    "coral": {"priority": 0},
    "delta": {},
}
FORGED_NAMES = ("X-Tenant", "x-tenant", "X-TENANT")
FORGED_SHARE = 0.1
# Of the connections, those that use a key that changes, and of these a key that was taken away.
CHANGING_KEY_SHARE = 0.4
REMOVED_KEY_SHARE = 0.4
KEY_CHANGE_SHARE = 0.6
MAX_CHANGING_KEYS = 3
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
    """Three or four organisations; each has a key that stays, and others come and go.

    ``owners`` maps each key that a configuration holds or held to its organisation; a key that was
    taken away never returns.
    """

    rng: random.Random
    owners: dict[str, str] = field(factory=dict)
    _lasting: list[str] = field(init=False)
    _changing: list[str] = field(factory=list)
    _removed: list[str] = field(factory=list)

    def __attrs_post_init__(self) -> None:
        names = sorted(SPECS)[: self.rng.randint(3, 4)]
        self._lasting = [self._add_key(name) for name in names]

    def keys_in_force(self) -> list[str]:
        """Return the keys of the next configuration."""
        return [*self._lasting, *self._changing]

    def resources(self) -> list[dict]:
        """Return the organisations of the next configuration."""
        keys = {self.owners[key]: [] for key in self._lasting}
        for key in self.keys_in_force():
            keys[self.owners[key]].append(key)
        return [organisation_resource(name, *own, **SPECS[name]) for name, own in keys.items()]

    def change_keys(self) -> None:
        """Add a key or take one away in some of the configurations."""
        if self.rng.random() >= KEY_CHANGE_SHARE:
            return
        if len(self._changing) < MAX_CHANGING_KEYS:
            self._changing.append(self._add_key(self.owners[self.rng.choice(self._lasting)]))
        else:
            removed = self._changing.pop(self.rng.randrange(MAX_CHANGING_KEYS))
            self._removed = [*self._removed, removed][-KEPT_REMOVED_KEYS:]

    def choose_credentials(self) -> Credentials:
        """Return what the requests of a new connection carry."""
        keys = self._lasting
        if self.rng.random() < CHANGING_KEY_SHARE:
            is_removed = self.rng.random() < REMOVED_KEY_SHARE
            keys = (self._removed if is_removed else self._changing) or keys
        return Credentials(self.rng.choice(keys), self.rng)

    def lasting_credentials(self) -> Credentials:
        """Return credentials that are valid throughout, of an organisation without a quota."""
        return Credentials(self._lasting[0], self.rng)

    def unknown_credentials(self) -> Credentials:
        """Return credentials with a key that no configuration ever holds."""
        return Credentials("key-never-held", self.rng)

    def _add_key(self, name: str) -> str:
        key = f"key-{len(self.owners)}-{name}"
        self.owners[key] = name
        return key
