"""Runs a node on the platform."""

from __future__ import annotations

import asyncio
import contextlib
import os
import random
import signal
import sys
import traceback
from typing import Any, NoReturn

import uvloop

from cottonlink.errors import CottonlinkError, ListenError, SettingsError
from cottonlink.path import (
    EventLog,
    Node,
    NodeSettings,
    StoreFollower,
    load_node_settings,
    make_event_log,
    map_large_blocks,
)
from cottonlink.platform._headers import PlatformHeaderCodec
from cottonlink.platform._store_client import StoreClient

# Environment variable with the path of the settings file.
SETTINGS_VARIABLE = "COTTONLINK_NODE_FILE"
# Environment variable with the memory that the process may hold, in MB.
MEMORY_VARIABLE = "COTTONLINK_MEMORY_MB"
# Environment variables that tell whether revoked keys must stop working without any contact, and
# after how many seconds.
STRICT_REVOCATION_VARIABLE = "COTTONLINK_STRICT_REVOCATION"
REVOCATION_VARIABLE = "COTTONLINK_REVOCATION_S"
# The platform may rewrite the settings file without sending SIGHUP, so it is checked this often.
SETTINGS_CHECK_INTERVAL_S = 1.0
# How long a node that starts waits for a settings file that is missing or isn't written as a whole.
SETTINGS_WAIT_S = 5.0
SETTINGS_RETRY_INTERVAL_S = 0.1
EXIT_BAD_SETTINGS = 2
EXIT_CANNOT_LISTEN = 3
# Innermost frames of an unexpected exception that are logged.
LOGGED_FRAMES = 4


def main() -> NoReturn:
    """Run a node until SIGTERM, and end the process."""
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        status = runner.run(_run(os.environ.get(SETTINGS_VARIABLE, "")))
        # The interpreter's own end would take longer than what may be left until SIGKILL.
        os._exit(status)


def _load_settings(path: str) -> NodeSettings:
    """Return the settings of the file and the environment. Raises SettingsError."""
    defaults = {}
    variables = {"memory_mb": MEMORY_VARIABLE}
    if os.environ.get(STRICT_REVOCATION_VARIABLE, "").lower() == "true":
        variables["revocation_s"] = REVOCATION_VARIABLE
    for name, variable in variables.items():
        text = os.environ.get(variable)
        if not text:
            continue
        try:
            defaults[name] = float(text)
        except ValueError as error:
            problem = f"{variable}: expected a number, got {text!r}"
            raise SettingsError((problem,), peer=path) from error
    return load_node_settings(path, defaults)


async def _run(path: str) -> int:
    """Run a node with the settings at ``path`` until SIGTERM; return the exit status."""
    map_large_blocks()
    loop = asyncio.get_running_loop()
    try:
        settings, modified_ns = await _wait_for_settings(path)
    except SettingsError as error:
        _report_start(error)
        return EXIT_BAD_SETTINGS
    rng = random.Random()
    log = make_event_log(settings.node, loop)
    loop.set_exception_handler(lambda _loop, context: _log_unexpected(log, context))
    node = Node(settings, PlatformHeaderCodec(), log, loop, rng)
    follower = make_store_follower(settings, node, log, rng, loop)
    stopped = asyncio.Event()
    reload_requested = asyncio.Event()
    starting = loop.create_task(node.start())

    def stop() -> None:
        if starting.done():
            node.begin_shutdown(stopped.set)
        else:
            starting.cancel()

    loop.add_signal_handler(signal.SIGTERM, stop)
    loop.add_signal_handler(signal.SIGINT, stop)
    loop.add_signal_handler(signal.SIGHUP, reload_requested.set)
    try:
        await starting
    except asyncio.CancelledError:
        return 0
    except ListenError as error:
        log.event("listen_failed", address=error.peer, error=error.detail)
        log.flush()
        _report_start(error)
        return EXIT_CANNOT_LISTEN
    tasks = [loop.create_task(follower.run()), loop.create_task(follower.run_maintenance())]
    tasks.append(loop.create_task(_follow_settings(path, modified_ns, node, log, reload_requested)))
    for task in tasks:
        task.add_done_callback(lambda ended: _log_failed_task(log, ended))
    await stopped.wait()
    for task in tasks:
        task.cancel()
    return 0


async def _wait_for_settings(path: str) -> tuple[NodeSettings, int]:
    """Return the settings at ``path`` and when the file was modified, in nanoseconds.

    The file may be written while the process starts. Raises SettingsError if it isn't valid in the
    end.
    """
    loop = asyncio.get_running_loop()
    end_s = loop.time() + SETTINGS_WAIT_S
    is_reported = False
    while True:
        modified_ns = _read_mtime_ns(path)
        try:
            return _load_settings(path), modified_ns
        except SettingsError as error:
            if loop.time() >= end_s:
                raise
            if not is_reported:
                is_reported = True
                _report_start(error, f"; waiting for {SETTINGS_WAIT_S:g} s")
        await asyncio.sleep(SETTINGS_RETRY_INTERVAL_S)


def _report_start(error: CottonlinkError, addition: str = "") -> None:
    """Tell what keeps the node from starting, before or beside its log."""
    with contextlib.suppress(OSError):
        print(f"{error} ({error.peer}){addition}", file=sys.stderr, flush=True)


def _log_unexpected(log: EventLog, context: dict[str, Any]) -> None:
    """Log an exception that nothing has handled; it ends a callback or connection at most."""
    error = context.get("exception")
    frames = traceback.extract_tb(error.__traceback__) if error is not None else []
    log.event(
        "unexpected_error",
        detail=context.get("message"),
        error=None if error is None else f"{type(error).__name__}: {error}",
        at=[f"{frame.name}:{frame.lineno}" for frame in frames[-LOGGED_FRAMES:]],
    )


def _log_failed_task(log: EventLog, task: asyncio.Task) -> None:
    """Log the exception that ended a task; the node goes on without it."""
    if not task.cancelled() and task.exception() is not None:
        error = task.exception()
        log.event(
            "task_failed",
            task=task.get_coro().__qualname__,
            error=f"{type(error).__name__}: {error}",
        )


def make_store_follower(
    settings: NodeSettings,
    node: Node,
    log: EventLog,
    rng: random.Random,
    loop: asyncio.AbstractEventLoop,
) -> StoreFollower:
    """Return the follower that keeps ``node`` up to date with the store."""
    host, port = settings.store_address.rsplit(":", 1)
    store = StoreClient((host, int(port)), loop)
    # The entries of targets identify a VM by its IP address.
    vm_ip = settings.target_address.rsplit(":", 1)[0]
    follower = StoreFollower(store, node, vm_ip, settings.data_centre, log, rng, loop)
    node.store_view = follower
    return follower


async def _follow_settings(
    path: str, applied_ns: int, node: Node, log: EventLog, reload_requested: asyncio.Event
) -> None:
    """Apply the settings again on SIGHUP, or when the file's time differs from ``applied_ns``."""
    while True:
        with contextlib.suppress(TimeoutError):
            await asyncio.wait_for(reload_requested.wait(), SETTINGS_CHECK_INTERVAL_S)
        modified_ns = _read_mtime_ns(path)
        if modified_ns == applied_ns and not reload_requested.is_set():
            continue
        applied_ns = modified_ns
        reload_requested.clear()
        try:
            node.apply_settings(_load_settings(path))
        except SettingsError as error:
            # The settings that were applied last stay in force.
            log.event("settings_invalid", problems=error.problems)
        except Exception as error:
            log.event("settings_invalid", problems=[f"{type(error).__name__}: {error}"])


def _read_mtime_ns(path: str) -> int:
    """Return when the file at ``path`` was last modified, or 0 if that can't be read."""
    try:
        return os.stat(path).st_mtime_ns
    except OSError:
        return 0
