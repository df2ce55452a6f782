"""The call path: one event loop that carries calls between callers, nodes and targets."""

from cottonlink.overload import UNKNOWN_ERA, StorePosition
from cottonlink.path._allocator import map_large_blocks
from cottonlink.path._header_codec import HeaderCodec
from cottonlink.path._http import Headers
from cottonlink.path._http_client import ExchangeFailed, HttpConnection, HttpResponse
from cottonlink.path._log import EventLog, make_event_log
from cottonlink.path._model import (
    CallerLimits,
    Configuration,
    Request,
    Route,
    Upstream,
    WeightedService,
)
from cottonlink.path._node import Node
from cottonlink.path._settings import NodeSettings, load_node_settings
from cottonlink.path.peers._frames import CallFrame
from cottonlink.path.store._store import (
    EraChangedError,
    HistoryLostError,
    Listing,
    Store,
    StoreItem,
)
from cottonlink.path.store._store_follower import StoreFollower

__all__ = [
    "UNKNOWN_ERA",
    "CallFrame",
    "CallerLimits",
    "Configuration",
    "EraChangedError",
    "EventLog",
    "ExchangeFailed",
    "HeaderCodec",
    "Headers",
    "HistoryLostError",
    "HttpConnection",
    "HttpResponse",
    "Listing",
    "Node",
    "NodeSettings",
    "Request",
    "Route",
    "Store",
    "StoreFollower",
    "StoreItem",
    "StorePosition",
    "Upstream",
    "WeightedService",
    "load_node_settings",
    "make_event_log",
    "map_large_blocks",
]
