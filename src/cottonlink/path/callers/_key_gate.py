"""Decides whose request it is, by its API key, before it is admitted."""

from __future__ import annotations

from collections.abc import Callable

from attrs import define, field

from cottonlink.organisations import KeyQuestions, Organisation, make_key_questions
from cottonlink.path._model import Configuration, Route
from cottonlink.path._state import NodeState
from cottonlink.path.callers._exchange import Exchange
from cottonlink.path.callers._ingress_call import IngressCall

# Retry-After where a request can't be served until the configuration is known to be current.
UNPROVEN_RETRY_AFTER_MS = 500.0
# Longest wait for a proof, a little more than the time between two answers to a watch of the store,
# and the share of the time that the caller has left.
MAX_WAIT_MS = 1_200.0
WAIT_SHARE = 1 / 3

_UNAUTHORIZED = 401
_UNAVAILABLE = 503


@define(eq=False)
class KeyGate:
    """Finds the organisation of each request that needs a key.

    ``serve`` starts serving an exchange again after a wait, with the configuration of that time.
    """

    _state: NodeState
    _serve: Callable[[Exchange], None]
    _questions: KeyQuestions = field(factory=make_key_questions)

    def find(
        self, exchange: Exchange, route: Route, configuration: Configuration
    ) -> Organisation | None:
        """Return the organisation of a request, or None if it was refused or has to wait."""
        digest = self._state.header_codec.key_digest(exchange.request.headers)
        organisation = configuration.organisations.find(digest)
        if organisation is None:
            self._question(exchange, route, digest)
            return None
        if not self._state.is_currency_proven():
            self._await_first_proof(exchange, route)
            return None
        return organisation

    def reason_not_to_send(self, call: IngressCall) -> str | None:
        """Return why a request that was admitted before may not be sent now, None if it may."""
        state = self._state
        if not state.is_currency_proven():
            return "keys_unproven"
        if state.configuration is call.configuration:
            return None
        organisations = state.configuration.organisations
        digest = state.header_codec.key_digest(call.request.headers)
        if organisations is not None and organisations.find(digest) is None:
            return "key_revoked"
        return None

    def _await_first_proof(self, exchange: Exchange, route: Route) -> None:
        """Let a request wait for the first proof of a node that has just started.

        A node that had one has lost contact, which no short wait ends.
        """
        state = self._state
        now_ms = state.now_ms()
        rest_ms = self._max_wait_ms(exchange) - (now_ms - exchange.received_ms)
        is_first = state.currency.age_ms(now_ms) is None
        if is_first and rest_ms > 0 and self._questions.begin_wait():
            self._wait(exchange, rest_ms)
        else:
            self._refuse_unproven(exchange, route)

    def _question(self, exchange: Exchange, route: Route, digest: bytes | None) -> None:
        """Refuse a request with an unknown key, unless a newer configuration may hold it."""
        state = self._state
        now_ms = state.now_ms()
        if digest is None:
            self._refuse_unknown(exchange, route, "key_missing")
        elif state.currency.is_confirmed_since(exchange.received_ms):
            self._questions.record_unknown(digest, now_ms)
            self._refuse_unknown(exchange, route, "key_unknown")
        elif now_ms - exchange.received_ms >= self._max_wait_ms(exchange):
            self._refuse_unproven(exchange, route)
        elif self._questions.is_refused(digest, now_ms):
            self._refuse_unknown(exchange, route, "key_unknown")
        elif not self._questions.begin_wait():
            self._refuse_unproven(exchange, route)
        else:
            state.metrics.count("keys_questioned")
            self._wait(exchange, self._max_wait_ms(exchange) - (now_ms - exchange.received_ms))

    def _wait(self, exchange: Exchange, max_wait_ms: float) -> None:
        """Serve the request again once the configuration is known to be newer than it."""
        state = self._state

        def end() -> None:
            exchange.cancel = None
            timer.cancel()
            state.currency_waits.discard(resume)
            self._questions.end_wait()

        def resume() -> None:
            end()
            self._serve(exchange)

        timer = state.loop.call_later(max_wait_ms / 1000.0, resume)
        exchange.cancel = end
        state.currency_waits.add(resume)

    def _max_wait_ms(self, exchange: Exchange) -> float:
        remaining_ms = exchange.request.remaining_ms
        return MAX_WAIT_MS if remaining_ms is None else min(MAX_WAIT_MS, remaining_ms * WAIT_SHARE)

    def _refuse_unknown(self, exchange: Exchange, route: Route, reason: str) -> None:
        self._refuse(exchange, route, reason, None)
        exchange.respond(_UNAUTHORIZED, (), b"")

    def _refuse_unproven(self, exchange: Exchange, route: Route) -> None:
        delay_ms = UNPROVEN_RETRY_AFTER_MS * self._state.rng.uniform(1.0, 2.0)
        self._refuse(exchange, route, "keys_unproven", delay_ms)
        headers = self._state.header_codec.retry_after(delay_ms)
        exchange.respond(_UNAVAILABLE, headers, b"")

    def _refuse(
        self, exchange: Exchange, route: Route, reason: str, delay_ms: float | None
    ) -> None:
        state = self._state
        state.metrics.count("requests_refused", reason)
        state.log.event(
            "request_refused",
            request_id=exchange.request.request_id,
            route=route.name,
            reason=reason,
            retry_after_ms=delay_ms and round(delay_ms),
            proof_age_ms=_round_or_none(state.currency.age_ms(state.now_ms())),
            configuration_version=state.configuration_version,
        )


def _round_or_none(value: float | None) -> int | None:
    return None if value is None else round(value)
