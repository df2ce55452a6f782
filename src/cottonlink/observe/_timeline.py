"""Merges the events of many nodes and explains the outcome of a request from them."""

from __future__ import annotations

from collections.abc import Iterable

from attrs import frozen

from cottonlink.observe._events import Event, EventKind

_FINAL_KINDS = frozenset({EventKind.ANSWERED, EventKind.REFUSED})


@frozen
class Timeline:
    """Events of several nodes, causes before their effects.

    ``missing_nodes`` lists the nodes that did not answer, so that gaps are visible.
    """

    events: tuple[Event, ...]
    missing_nodes: tuple[str, ...] = ()


@frozen
class Explanation:
    """What happened to one request.

    ``code`` is empty if the target answered it. ``executed`` says whether the target ran it.
    """

    request_id: str
    found: bool
    code: str
    executed: str
    deciding_event: Event | None
    timeline: Timeline


def merge_events(
    logs: Iterable[Iterable[Event]],
    *,
    request_id: str = "",
    service: str = "",
    missing_nodes: tuple[str, ...] = (),
) -> Timeline:
    """Return the events of several nodes in one order, each event once.

    Messages between nodes carry hybrid times, which order a cause before its effects even if the
    wall clocks of the nodes differ. Unrelated events are ordered by wall time.
    """
    unique = {(event.node, event.sequence, event.time): event for log in logs for event in log}
    matching = (
        event
        for event in unique.values()
        if (not request_id or event.request_id == request_id)
        and (not service or event.service == service)
    )
    return Timeline(tuple(sorted(matching, key=_order)), missing_nodes)


def explain_request(timeline: Timeline, request_id: str) -> Explanation:
    """Return what happened to ``request_id`` and the event that decided its outcome.

    For a refused request that is the earliest event with the code of the final answer: it is of
    the node that refused the request, not of the nodes that forwarded the refusal.
    """
    events = tuple(event for event in timeline.events if event.request_id == request_id)
    final = next((event for event in reversed(events) if event.kind in _FINAL_KINDS), None)
    code = final.code if final else ""
    deciding = next((event for event in events if code and event.code == code), final)
    return Explanation(
        request_id=request_id,
        found=bool(events),
        code=code,
        executed=str(final.details.get("executed", "")) if final else "",
        deciding_event=deciding,
        timeline=Timeline(events, timeline.missing_nodes),
    )


def _order(event: Event) -> tuple[int, int, str, int]:
    return (event.time.wall_ms, event.time.counter, event.node, event.sequence)
