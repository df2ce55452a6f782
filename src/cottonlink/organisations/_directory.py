"""The organisations of one configuration, found by the digests of their API keys."""

from __future__ import annotations

import hashlib
from collections.abc import Iterable

from attrs import frozen

# Keys are random and long, so an unsalted digest of them can't be reversed by guessing.
DIGEST_BYTES = 16


def key_digest(key: bytes) -> bytes:
    """Return the digest that stands for an API key everywhere behind the platform's adapter."""
    return hashlib.blake2b(key, digest_size=DIGEST_BYTES).digest()


@frozen
class Quota:
    """Requests that an organisation may make over all nodes: a rate, and a burst on top of it."""

    rate_per_s: float
    burst: float


@frozen
class Organisation:
    """An organisation whose callers send requests with its keys.

    ``rank`` is the importance of its requests, which goes before that of their routes, or None.
    ``quota`` is None if it has no limit.
    """

    name: str
    rank: int | None = None
    quota: Quota | None = None


@frozen
class KeyConflict:
    """Why a part of an organisation doesn't count: its name or a key of it is used already.

    ``position`` is that of the organisation in what the directory was made from.
    """

    position: int
    detail: str
    is_of_key: bool


class OrganisationDirectory:
    """Finds the organisation that holds a key."""

    def __init__(
        self, organisations: tuple[Organisation, ...], by_digest: dict[bytes, Organisation]
    ) -> None:
        self.organisations = organisations
        self._by_digest = by_digest
        self._by_name = {organisation.name: organisation for organisation in organisations}

    @property
    def key_count(self) -> int:
        """Number of keys that are in force."""
        return len(self._by_digest)

    @property
    def has_quotas(self) -> bool:
        """Whether any organisation has a quota."""
        return any(organisation.quota is not None for organisation in self.organisations)

    def digests_by_name(self) -> dict[str, set[bytes]]:
        """Return the digests of the keys that are in force, by the name of their organisation."""
        digests: dict[str, set[bytes]] = {name: set() for name in self._by_name}
        for digest, organisation in self._by_digest.items():
            digests[organisation.name].add(digest)
        return digests

    def find(self, digest: bytes | None) -> Organisation | None:
        """Return the organisation that holds the key with this digest, or None."""
        return None if digest is None else self._by_digest.get(digest)

    def by_name(self, name: str) -> Organisation | None:
        """Return the organisation called ``name``, or None."""
        return self._by_name.get(name)


def make_organisation_directory(
    holders: Iterable[tuple[Organisation, Iterable[bytes]]],
) -> tuple[OrganisationDirectory, tuple[KeyConflict, ...]]:
    """Return a directory of organisations with the digests of their keys, and the conflicts found.

    Of two organisations with one name the first counts. A key that several hold is nobody's:
    whichever was chosen, requests of the other one would run under its name.
    """
    organisations: dict[str, Organisation] = {}
    by_digest: dict[bytes, Organisation] = {}
    conflicts: list[KeyConflict] = []
    shared: set[bytes] = set()
    for position, (organisation, digests) in enumerate(holders):
        subject = f"organisation {organisation.name!r}"
        if organisation.name in organisations:
            conflicts.append(KeyConflict(position, f"{subject}: defined more than once", False))
            continue
        organisations[organisation.name] = organisation
        for digest in digests:
            holder = by_digest.setdefault(digest, organisation)
            if holder is not organisation:
                shared.add(digest)
                detail = f"{subject}: holds a key of {holder.name!r}"
                conflicts.append(KeyConflict(position, detail, True))
    for digest in shared:
        del by_digest[digest]
    return OrganisationDirectory(tuple(organisations.values()), by_digest), tuple(conflicts)
