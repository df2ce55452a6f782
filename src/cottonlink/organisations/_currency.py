"""Decides whether a node may still serve requests with API keys.

Used while a node is cut off from the store, turned away by it, or answered from an old copy: a key
may have been taken away without the node hearing of it. A node serves keys only for a bounded time
after the latest moment at which its configuration is known to have been the newest. That moment is
the time at which a question was sent, since an answer may be held up on its way for any time.
"""

from __future__ import annotations

# Share of the time within which a revocation must be in force for which a proof holds. The rest is
# for what has been admitted and is on its way to a target.
PROOF_SHARE = 0.9
# Answers of a store that returned from an older copy of itself prove nothing for this time, in
# which operators write again what the copy lacks.
NEW_ERA_SETTLING_MS = 2_000.0
# Era of a store that has never returned from a copy.
FIRST_ERA = 1


class CurrencyProof:
    """The latest time at which the configuration of one node was the newest.

    ``revocation_ms`` is the time within which a revocation must be in force, None if that isn't
    asked for; every configuration counts as current then.
    """

    def __init__(self, revocation_ms: float | None) -> None:
        self._revocation_ms = revocation_ms
        self._proven_at_ms = float("-inf")
        # A node that starts knows nothing of the returns before.
        self._era = FIRST_ERA
        self._settled_at_ms = float("-inf")
        self._confirmed_at_ms = float("-inf")

    @property
    def is_required(self) -> bool:
        """Whether requests with keys depend on a proof."""
        return self._revocation_ms is not None

    def record_store_answer(self, asked_at_ms: float, era: int, now_ms: float) -> bool:
        """Record that the store answered a question; return whether that is a proof.

        The answer must not be one that the store may give from an older state. ``era`` counts the
        times that the store returned from a copy.
        """
        if era > self._era:
            self._era = era
            self._settled_at_ms = now_ms + NEW_ERA_SETTLING_MS
        if asked_at_ms < self._settled_at_ms:
            return False
        self._prove(asked_at_ms)
        return True

    def record_peer_answer(self, asked_at_ms: float, age_ms: float) -> None:
        """Record the proof of a peer with the same configuration, of this age when it answered."""
        self._prove(asked_at_ms - age_ms)

    def record_confirmation(self, now_ms: float) -> None:
        """Record that no newer configuration was known to the store a moment ago."""
        self._confirmed_at_ms = now_ms

    def is_confirmed_since(self, time_ms: float) -> bool:
        """Return whether the configuration is known to be newer than ``time_ms``.

        That is enough to refuse a key as unknown, and not enough to serve one.
        """
        return max(self._proven_at_ms, self._confirmed_at_ms) >= time_ms

    def age_ms(self, now_ms: float) -> float | None:
        """Return the age of the proof, or None if there is none."""
        age_ms = now_ms - self._proven_at_ms
        return None if age_ms == float("inf") else age_ms

    def valid_for_ms(self, now_ms: float) -> float:
        """Return for how long requests with keys may still be sent to targets; 0 or less if not."""
        if self._revocation_ms is None:
            return float("inf")
        return self._proven_at_ms + PROOF_SHARE * self._revocation_ms - now_ms

    def _prove(self, time_ms: float) -> None:
        self._proven_at_ms = max(self._proven_at_ms, time_ms)


def make_currency_proof(revocation_ms: float | None) -> CurrencyProof:
    """Return the state of a node that has proven nothing yet."""
    return CurrencyProof(revocation_ms)
