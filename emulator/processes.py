"""Child processes of a fleet; each is signalled and stopped by its process id."""

from __future__ import annotations

import contextlib
import os
import signal
import subprocess
import sys
import threading
from collections.abc import Callable
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
STOP_TIMEOUT_S = 30


def ignore_line(line: str) -> None:
    """Discard a line of output."""


class ChildProcess:
    """A Python module that runs as a child process and can be started again.

    ``on_line`` receives each line of standard output. Standard error goes to ``log_path``. The
    module is imported from ``checkout``.
    """

    def __init__(
        self,
        module: str,
        arguments: list[str],
        log_path: Path,
        on_line: Callable[[str], None] = ignore_line,
        checkout: Path = ROOT,
    ) -> None:
        self._command = [sys.executable, "-m", module, *arguments]
        self._log_path = log_path
        self._on_line = on_line
        self._python_path = f"{checkout / 'src'}:{checkout}"
        self._process: subprocess.Popen[str] | None = None
        self._reader: threading.Thread | None = None
        self.is_paused = False

    @property
    def process_id(self) -> int:
        """Id of the latest process, or 0 before the first start."""
        return self._process.pid if self._process is not None else 0

    @property
    def is_running(self) -> bool:
        return self._process is not None and self._process.poll() is None

    @property
    def log(self) -> str:
        """Standard error of all starts so far."""
        return self._log_path.read_text() if self._log_path.exists() else ""

    def start(self) -> None:
        """Start the process in its own session, so that Ctrl-C in the terminal doesn't reach it."""
        environment = dict(os.environ, PYTHONPATH=self._python_path, PYTHONUNBUFFERED="1")
        with self._log_path.open("a") as log:
            self._process = subprocess.Popen(
                self._command,
                stdin=subprocess.DEVNULL,
                stdout=subprocess.PIPE,
                stderr=log,
                text=True,
                env=environment,
                start_new_session=True,
            )
        self._reader = threading.Thread(
            target=self._read_output, args=(self._process,), daemon=True
        )
        self._reader.start()

    def signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        with contextlib.suppress(ProcessLookupError):
            if self._process is not None:
                self._process.send_signal(number)

    def pause(self) -> None:
        """Suspend the process with SIGSTOP, which it can't handle."""
        self.is_paused = True
        self.signal(signal.SIGSTOP)

    def resume(self) -> None:
        """Resume a paused process."""
        self.signal(signal.SIGCONT)
        self.is_paused = False

    def terminate(self) -> None:
        """Ask the process to shut down gracefully (SIGTERM)."""
        self.signal(signal.SIGTERM)

    def send_kill(self) -> None:
        """Kill the process without waiting for its end."""
        self.signal(signal.SIGKILL)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.send_kill()
        self.wait()

    def wait(self, timeout_s: float = STOP_TIMEOUT_S) -> int | None:
        """Return the exit status, or None if the process still runs after ``timeout_s``."""
        if self._process is None:
            return None
        try:
            status = self._process.wait(timeout_s)
        except subprocess.TimeoutExpired:
            return None
        if self._reader is not None:
            self._reader.join(timeout_s)
        return status

    def _read_output(self, process: subprocess.Popen[str]) -> None:
        assert process.stdout is not None
        with process.stdout as lines:
            for line in lines:
                self._on_line(line)
