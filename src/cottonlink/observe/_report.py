"""Renders a time line as a self-contained HTML page with a diagram and a table.

The diagram has one lane for each node.
"""

from __future__ import annotations

from collections import Counter

import jinja2
from attrs import frozen

from cottonlink.observe._events import Event, EventKind
from cottonlink.observe._text import describe_event, format_wall_time
from cottonlink.observe._timeline import Timeline

# A browser stays responsive up to about this number of table rows and diagram points.
MAX_RENDERED_EVENTS = 3_000

_WIDTH_PX = 1_100
_LABEL_WIDTH_PX = 150
_LANE_HEIGHT_PX = 34

# Category, which is the CSS class, of each kind of event; all others are "normal".
_CATEGORIES = {
    EventKind.REFUSED: "refused",
    EventKind.EVICTED: "refused",
    EventKind.CANCELLED: "refused",
    EventKind.RETRY_DENIED: "refused",
    EventKind.QUARANTINED: "refused",
    EventKind.RETRIED: "repeat",
    EventKind.REROUTED: "repeat",
    EventKind.REPLAYED: "repeat",
    EventKind.PERMIT_ISSUED: "repeat",
    EventKind.EJECTED: "fleet",
    EventKind.READMITTED: "fleet",
    EventKind.STATE_CHANGED: "fleet",
    EventKind.POLICY_ACCEPTED: "fleet",
    EventKind.POLICY_REJECTED: "fleet",
    EventKind.WATCHER_CHANGED: "fleet",
    EventKind.PAUSE_DETECTED: "fleet",
    EventKind.POOL_DISCARDED: "fleet",
    EventKind.CRASH_SEEN: "fleet",
}


@frozen
class _Point:
    x: float
    y: float
    category: str
    label: str
    request_id: str


@frozen
class _Lane:
    node: str
    y: float


@frozen
class _Link:
    x1: float
    y1: float
    x2: float
    y2: float
    request_id: str


@frozen
class _Row:
    time: str
    node: str
    request_id: str
    category: str
    description: str


def render_html(timeline: Timeline, title: str = "cottonlink time line") -> str:
    """Return the time line as an HTML page, which needs no other files."""
    events = timeline.events[-MAX_RENDERED_EVENTS:]
    lanes = _make_lanes(events)
    points = _make_points(events, lanes)
    environment = jinja2.Environment(
        loader=jinja2.PackageLoader("cottonlink.observe", "templates"), autoescape=True
    )
    return environment.get_template("timeline.html").render(
        title=title,
        width_px=_WIDTH_PX,
        height_px=_LANE_HEIGHT_PX * (len(lanes) + 1),
        label_width_px=_LABEL_WIDTH_PX,
        lanes=lanes,
        points=points,
        links=_make_links(points),
        rows=[_make_row(event) for event in events],
        codes=Counter(event.code for event in events if event.code).most_common(),
        request_count=len({event.request_id for event in events if event.request_id}),
        start=format_wall_time(events[0].time) if events else "",
        end=format_wall_time(events[-1].time) if events else "",
        duration_ms=events[-1].time.wall_ms - events[0].time.wall_ms if events else 0,
        omitted_count=len(timeline.events) - len(events),
        missing_nodes=timeline.missing_nodes,
    )


def _category(event: Event) -> str:
    return _CATEGORIES.get(event.kind, "normal")


def _make_lanes(events: tuple[Event, ...]) -> list[_Lane]:
    nodes = sorted({event.node for event in events})
    return [_Lane(node, _LANE_HEIGHT_PX * (index + 0.75)) for index, node in enumerate(nodes)]


def _make_points(events: tuple[Event, ...], lanes: list[_Lane]) -> list[_Point]:
    if not events:
        return []
    y_by_node = {lane.node: lane.y for lane in lanes}
    first_ms = events[0].time.wall_ms
    span_ms = max(events[-1].time.wall_ms - first_ms, 1)
    # Few events are spaced evenly in their order, so that those of one millisecond don't overlap.
    is_evenly_spaced = len(events) <= 60
    points = []
    for index, event in enumerate(events):
        fraction = (event.time.wall_ms - first_ms) / span_ms
        if is_evenly_spaced:
            fraction = index / max(len(events) - 1, 1)
        x = _LABEL_WIDTH_PX + 15 + fraction * (_WIDTH_PX - _LABEL_WIDTH_PX - 30)
        label = f"{format_wall_time(event.time)} {event.node}: {describe_event(event)}"
        y = y_by_node[event.node]
        points.append(_Point(round(x, 1), y, _category(event), label, event.request_id))
    return points


def _make_links(points: list[_Point]) -> list[_Link]:
    links = []
    previous_by_request: dict[str, _Point] = {}
    for point in points:
        if not point.request_id:
            continue
        previous = previous_by_request.get(point.request_id)
        if previous and previous.y != point.y:
            links.append(_Link(previous.x, previous.y, point.x, point.y, point.request_id))
        previous_by_request[point.request_id] = point
    return links


def _make_row(event: Event) -> _Row:
    return _Row(
        time=format_wall_time(event.time),
        node=event.node,
        request_id=event.request_id,
        category=_category(event),
        description=describe_event(event),
    )
