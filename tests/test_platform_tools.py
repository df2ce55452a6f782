"""Tests of the platform's settings and records, of the log, and of the commands that check them."""

from __future__ import annotations

import asyncio
import json
import os
import subprocess
import sys
import tempfile
import unittest
from pathlib import Path
from unittest import mock

from click.testing import CliRunner

from cottonlink.cli import main
from cottonlink.errors import CottonlinkError, SettingsError
from cottonlink.observe import explain_in_logs
from cottonlink.path import StoreItem, StorePosition, load_node_settings, make_event_log
from cottonlink.platform import load_configuration
from cottonlink.platform._process import _load_settings
from cottonlink.platform._upstream_entries import decode_upstream
from emulator.platform_target import configuration, route_resource

ROUTE = route_resource("r", "shop.example", "/r/", "browse")


def write(text: str) -> str:
    """Return the path of a new file with ``text``."""
    descriptor, path = tempfile.mkstemp()
    with os.fdopen(descriptor, "w") as file:
        file.write(text)
    return path


def settings_text(**changes: object) -> str:
    """Return valid settings with ``changes`` as JSON, which is also YAML."""
    addresses = ("caller", "peer", "ready", "metrics", "target", "store")
    settings = {f"{name}_address": f"10.0.0.1:{port}" for port, name in enumerate(addresses, 80)}
    settings |= {"node": "n", "data_centre": "Västerås", "service": "s"}
    return json.dumps(settings | changes)


class TestSettings(unittest.TestCase):
    """The settings file of a node on the platform."""

    def test_valid_settings_load(self) -> None:
        """Guards against a node that refuses settings without the optional fields."""
        settings = load_node_settings(write(settings_text()))
        self.assertEqual((settings.data_centre, settings.grace_s), ("Västerås", 10))

    def test_every_fault_is_reported(self) -> None:
        """Guards against a check that stops at the first fault, so that each run shows only one."""
        text = settings_text(node="", grace_s="6", peer_address="nowhere", extra=1)
        with self.assertRaises(SettingsError) as caught:
            load_node_settings(write(text))
        names = {problem.partition(":")[0] for problem in caught.exception.problems}
        self.assertEqual(names, {"node", "grace_s", "peer_address", "extra"})

    def test_revocation_time_counts_only_where_it_is_strict(self) -> None:
        """Guards against nodes that stop serving where the operator doesn't ask for it."""
        path = write(settings_text())
        for strict, expected_s in (("true", 5.0), ("True", 5.0), ("false", 0.0), ("", 0.0)):
            variables = {
                "COTTONLINK_STRICT_REVOCATION": strict,
                "COTTONLINK_REVOCATION_S": "5",
            }
            with self.subTest(strict=strict), mock.patch.dict("os.environ", variables):
                self.assertEqual(_load_settings(path).revocation_s, expected_s)

    def test_template_names_only_known_settings(self) -> None:
        """Guards against a template with an unknown setting, which a node refuses at its start."""
        template = Path(__file__).parent.parent / "deploy" / "settings.yaml"
        lines = [line for line in template.read_text().splitlines() if line[:1] not in "#"]
        names = {line.partition(":")[0] for line in lines}
        known = json.loads(settings_text()).keys() | {
            "readiness_path",
            "repeat_ratio",
            "repeat_allowance",
            "repeat_window_s",
            "grace_s",
        }
        self.assertEqual(names, known)


class TestRecords(unittest.TestCase):
    """Decoding of the records in the store."""

    def test_faulty_configurations_are_refused(self) -> None:
        """Guards against a configuration with one invalid part of which the rest takes effect."""
        good = configuration(3, ROUTE)
        spec = ROUTE["spec"]
        bad = [
            b"{",
            b"[]",
            json.dumps({**good, "version": "3"}).encode(),
            json.dumps(configuration(3, {**ROUTE, "spec": {**spec, "timeout_s": "1"}})).encode(),
            json.dumps(configuration(3, {**ROUTE, "spec": {"host": "h"}})).encode(),
        ]
        for value in bad:
            with self.subTest(value=value[:40]), self.assertRaises(CottonlinkError):
                load_configuration(value.decode())

    def test_longest_prefix_wins(self) -> None:
        """Guards against a shorter prefix that takes the requests of a longer one."""
        inner = route_resource("inner", "shop.example", "/r/x/", "browse")
        loaded = load_configuration(json.dumps(configuration(3, ROUTE, inner)))
        names = {
            path: route.name if (route := loaded.find_route("shop.example", path)) else None
            for path in (b"/r/1", b"/r/x/1", b"/r/x", b"/q", b"/r/y/x/1")
        }
        expected = {b"/r/1": "r", b"/r/x/1": "inner", b"/r/x": "r", b"/q": None, b"/r/y/x/1": "r"}
        self.assertEqual(names, expected)

    def test_upstream_entry_with_invalid_field_is_refused(self) -> None:
        """Guards against a number in place of a name, or the reverse, that fails only in use."""
        entry = {"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4}
        entry |= {"state": "ready", "warmup_left_s": 0, "born": 5, "version": "1", "sequence": 1}
        decode_upstream(StoreItem("servers/a", StorePosition(1, 1), json.dumps(entry).encode()))
        for name, value in {"service": 1, "slots": 0, "born": 1.5, "zone": None}.items():
            data = json.dumps(entry | {name: value}).encode()
            with self.subTest(name=name), self.assertRaises(CottonlinkError):
                decode_upstream(StoreItem("servers/a", StorePosition(1, 1), data))

    def test_upstream_entry_without_a_field_of_the_page_is_refused(self) -> None:
        """An entry with fields missing or of another type names no upstream, says the page."""
        entry = {"service": "s", "address": "10.0.0.1:80", "zone": "z", "slots": 4}
        entry |= {"state": "ready", "warmup_left_s": 0, "version": "1", "sequence": 7}
        decode_upstream(StoreItem("servers/a", StorePosition(1, 1), json.dumps(entry).encode()))
        for name in entry:
            fields = {key: value for key, value in entry.items() if key != name}
            for odd in (fields, fields | {name: None}, fields | {name: [entry[name]]}):
                data = json.dumps(odd).encode()
                with self.subTest(entry=odd), self.assertRaises(CottonlinkError):
                    decode_upstream(StoreItem("servers/a", StorePosition(1, 1), data))


class TestLog(unittest.IsolatedAsyncioTestCase):
    """The log that a node writes to standard output."""

    async def test_repeated_event_does_not_displace_others(self) -> None:
        """Guards against a flood of one event that keeps other events out of the log."""
        reader, writer = os.pipe()
        log = make_event_log("n", asyncio.get_running_loop(), writer)
        for number in range(500):
            log.event("request_failed", request_id=b"%d" % number)
        log.event("store_lost")
        log.flush()
        os.close(writer)
        with os.fdopen(reader) as file:
            events = [json.loads(line) for line in file]
        self.assertEqual(sum(e["event"] == "request_failed" for e in events), 20)
        self.assertEqual(events[-1]["event"], "store_lost")

    async def test_slow_reader_does_not_block_the_node(self) -> None:
        """Guards against a node that waits for a full pipe; lines beyond the buffer are dropped."""
        reader, writer = os.pipe()
        log = make_event_log("n", asyncio.get_running_loop(), writer)
        for number in range(3_000):
            log.event(f"event_{number}", text="x" * 1_000)
            log.flush()
        self.assertGreater(log.dropped_lines, 0)
        os.close(reader)
        os.close(writer)

    def test_explanation_has_request_and_surrounding_changes(self) -> None:
        """Guards against an explanation with lines of other requests or of another time."""
        lines = [
            '  1.0 node-1 {"event":"store_lost","timestamp":"2026-01-01T00:00:00Z"}',
            '{"event":"peer_lost","timestamp":"2026-01-01T00:00:09Z","node":"a"}',
            '{"event":"request_failed","request_id":"r1","timestamp":"2026-01-01T00:00:10Z"}',
            '{"event":"request_failed","request_id":"r2","timestamp":"2026-01-01T00:00:10Z"}',
            "not a line of a node",
        ]
        events = [event["event"] for event in explain_in_logs("r1", lines)]
        self.assertEqual(events, ["peer_lost", "request_failed"])
        self.assertEqual(explain_in_logs("r9", lines), [])


class TestStart(unittest.TestCase):
    """Start of the process."""

    def test_sighup_during_start_is_survived(self) -> None:
        """Guards against a SIGHUP that ends the process, as its handler isn't installed yet."""
        path = write(settings_text())
        program = (
            "import os, runpy, signal, sys;"
            "sys.argv = ['run_node'];"
            "import importlib.abc\n"
            "class Hang(importlib.abc.MetaPathFinder):\n"
            "    def find_spec(self, name, *rest):\n"
            "        if name == 'cottonlink.platform._process':\n"
            "            os.kill(os.getpid(), signal.SIGHUP)\n"
            "            print('survived', flush=True)\n"
            "            os._exit(0)\n"
            "sys.meta_path.insert(0, Hang())\n"
            "runpy.run_path(sys.argv_path, run_name='__main__')\n"
        )
        runner = Path(__file__).parent.parent / "src" / "run_node.py"
        program = program.replace("sys.argv_path", repr(str(runner)))
        environment = {**os.environ, "COTTONLINK_NODE_FILE": path}
        result = subprocess.run(
            [sys.executable, "-c", program], env=environment, capture_output=True, text=True
        )
        self.assertEqual((result.returncode, result.stdout), (0, "survived\n"), result.stderr)


class TestCommands(unittest.TestCase):
    """The command line."""

    def run_command(self, *arguments: str):
        """Run a command and return its result."""
        return CliRunner().invoke(main, arguments)

    def test_check_path(self) -> None:
        """Guards against an exit status that doesn't tell valid settings from invalid ones."""
        good = self.run_command("settings", "check-path", write(settings_text()))
        bad = self.run_command("settings", "check-path", write(settings_text(node=1)))
        self.assertEqual(good.exit_code, 0, good.output)
        self.assertNotEqual(bad.exit_code, 0)

    def test_check_store_shows_the_difference(self) -> None:
        """Guards against a comparison that hides which service a route had before."""
        old = write(json.dumps(configuration(3, ROUTE)))
        moved = route_resource("r", "shop.example", "/r/", "other")
        new = write(json.dumps(configuration(4, moved)))
        result = self.run_command("policy", "check-store", new, "--previous", old, "--json")
        self.assertEqual(result.exit_code, 0, result.output)
        (change,) = json.loads(result.output)["changes"]
        self.assertEqual(change["change"], "services")
        self.assertEqual((change["old"], change["new"]), ({"browse": 1.0}, {"other": 1.0}))

    def test_logs_without_the_request_are_an_error(self) -> None:
        """Guards against success with an empty result if no line has the request's id."""
        line = '{"event":"request_failed","request_id":"r1","timestamp":"2026-01-01T00:00:10Z"}\n'
        found = self.run_command("logs", "r1", write(line), "--json")
        missing = self.run_command("logs", "r2", write(line))
        self.assertEqual(found.exit_code, 0, found.output)
        self.assertNotEqual(missing.exit_code, 0)
