"""Timer for the periodic message of an actor."""

from __future__ import annotations

import random
import threading
from collections.abc import Callable

JITTER = 0.1


class Ticker:
    """Calls ``send`` about every ``interval_ms`` on a thread of its own until ``stop``."""

    def __init__(self, interval_ms: int, send: Callable[[], None], name: str) -> None:
        self._interval_ms = interval_ms
        self._send = send
        self._stopped = threading.Event()
        self._thread = threading.Thread(target=self._run, name=f"ticker-{name}", daemon=True)
        self._thread.start()

    def stop(self) -> None:
        """Stop calling ``send``."""
        self._stopped.set()

    def _run(self) -> None:
        # The jitter keeps nodes that started together from acting at the same moments.
        while not self._stopped.wait(
            self._interval_ms * random.uniform(1 - JITTER, 1 + JITTER) / 1000
        ):
            self._send()
