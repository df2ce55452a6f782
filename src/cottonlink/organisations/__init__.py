"""Sharing of capacity between organisations, without input or output of its own.

Times are monotonic milliseconds that are passed as arguments. An organisation is named by a string;
the empty one stands for requests without an organisation.
"""

from cottonlink.organisations._fair_queue import FairQueue, make_fair_queue
from cottonlink.organisations._fair_share import FairShare, make_fair_share

__all__ = [
    "FairQueue",
    "FairShare",
    "make_fair_queue",
    "make_fair_share",
]
