"""The call path: one event loop that carries calls between callers, nodes and targets."""

from cottonlink.path._dialect import Dialect
from cottonlink.path._frames import CallFrame
from cottonlink.path._http import Headers
from cottonlink.path._http_client import ExchangeFailed, HttpAnswer, HttpConnection
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
from cottonlink.path._settings import PathSettings, load_path_settings
from cottonlink.path._store_follower import (
    HistoryLostError,
    Item,
    Listing,
    Store,
    StoreFollower,
)

__all__ = [
    "CallFrame",
    "CallerLimits",
    "Configuration",
    "Dialect",
    "EventLog",
    "ExchangeFailed",
    "Headers",
    "HistoryLostError",
    "HttpAnswer",
    "HttpConnection",
    "Item",
    "Listing",
    "Node",
    "PathSettings",
    "Request",
    "Route",
    "Store",
    "StoreFollower",
    "Upstream",
    "WeightedService",
    "load_path_settings",
    "make_event_log",
]
