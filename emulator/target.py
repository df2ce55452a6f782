"""Stand-in for a target: a service process with a fixed number of slots.

Run it with ``python -m emulator.target SETTINGS.json``. Each answer repeats the key and the send
id of its request and ends with a digest, so that a caller can detect a truncated answer or one that
belongs to another request.
"""

from __future__ import annotations

import hashlib
import json
import os
import signal
import sys
import threading
from collections.abc import Callable, Iterable
from pathlib import Path
from urllib.parse import parse_qs

import cattrs
import urllib3
import waitress
from attrs import asdict, define, field, frozen

from cottonlink._headers import CALL, DEADLINE_MS, IDEMPOTENCY_KEY, PERMIT, TRACEPARENT
from emulator.addresses import split_address
from emulator.journal import Journal, Run, RunOutcome, monotonic_ms

# A request whose body contains this text crashes the process, as one that hits a fatal bug does.
CRASH_MARKER = b"crash-the-target"
CRASH_STATUS = 70
SEND_PARAMETER = "send"
DEFAULT_DEADLINE_MS = 10_000
# Requests that wait for a slot occupy threads, so a target needs many more threads than slots.
THREAD_COUNT = 96

StartResponse = Callable[[str, list[tuple[str, str]]], object]


@frozen
class ChildCall:
    """A call that a run makes through the node beside the target."""

    method: str
    path: str
    keyed: bool = False


@frozen
class Work:
    """Service time and child calls of the requests whose path starts with ``path``."""

    path: str
    service_ms: int
    children: tuple[ChildCall, ...] = ()
    answer_bytes: int = 200


@frozen
class TargetSettings:
    """Settings of a target.

    ``GET /_health`` reports ``starting`` for the first ``starting_ms``. ``cold_factor`` multiplies
    service times for the first ``cold_ms``. Without ``stops_on_cancel`` a run continues after its
    cancellation, as in a service that doesn't support it.
    """

    name: str
    address: str
    node_address: str
    slots: int
    work: tuple[Work, ...]
    starting_ms: int = 0
    cold_ms: int = 0
    cold_factor: float = 1.0
    stops_on_cancel: bool = True


@define
class Switches:
    """Behaviour that a test or a demo changes at run time with ``POST /_switch``.

    ``slow_factor`` multiplies service times. ``truncate`` truncates answers, ``silent`` withholds
    them, ``draining`` reports that state, and ``health``, if not empty, replaces the true state in
    ``GET /_health``.
    """

    slow_factor: float = 1.0
    truncate: bool = False
    silent: bool = False
    draining: bool = False
    health: str = ""


@frozen
class TargetRequest:
    """The parts of a request that a run needs."""

    method: str
    path: str
    query: str
    body: bytes
    key: str
    traceparent: str
    call: str
    deadline_ms: int

    @property
    def root_id(self) -> str:
        parts = self.traceparent.split("-")
        return parts[1] if len(parts) == 4 else ""

    @property
    def send_id(self) -> str:
        return parse_qs(self.query).get(SEND_PARAMETER, [""])[0]


def read_request(environ: dict) -> TargetRequest:
    """Return the request in a WSGI ``environ``."""

    def header(name: str) -> str:
        return environ.get("HTTP_" + name.upper().replace("-", "_"), "")

    deadline = header(DEADLINE_MS)
    return TargetRequest(
        method=environ["REQUEST_METHOD"],
        path=environ.get("PATH_INFO", "/"),
        query=environ.get("QUERY_STRING", ""),
        body=environ["wsgi.input"].read(),
        key=header(IDEMPOTENCY_KEY),
        traceparent=header(TRACEPARENT),
        call=header(CALL),
        deadline_ms=int(deadline) if deadline.isdigit() else DEFAULT_DEADLINE_MS,
    )


def make_answer_body(key: str, send_id: str, size: int) -> bytes:
    """Return an answer with the ids of its request, padding, and a digest of both at the end.

    The body before the digest has at least ``size`` bytes.
    """
    head = json.dumps({"key": key, "send": send_id}).encode() + b"\n"
    head += b"." * max(0, size - len(head)) + b"\n"
    return head + hashlib.sha256(head).hexdigest().encode()


def parse_answer_body(body: bytes) -> dict | None:
    """Return the ids in the first line of an answer, or None if the digest doesn't match."""
    head, digest = body[:-64], body[-64:]
    if hashlib.sha256(head).hexdigest().encode() != digest:
        return None
    return json.loads(head.split(b"\n", 1)[0])


@define
class Target:
    """The WSGI application of a target."""

    settings: TargetSettings
    journal: Journal
    switches: Switches = field(factory=Switches)
    started_ms: int = field(factory=monotonic_ms)
    _slots: threading.BoundedSemaphore = field(init=False)
    _cancels: dict[str, threading.Event] = field(factory=dict, init=False)
    _changed: threading.Condition = field(factory=threading.Condition, init=False)
    _in_flight: int = field(default=0, init=False)
    _http: urllib3.PoolManager = field(init=False)

    def __attrs_post_init__(self) -> None:
        self._slots = threading.BoundedSemaphore(self.settings.slots)
        self._http = urllib3.PoolManager(maxsize=THREAD_COUNT, retries=False)

    def __call__(self, environ: dict, start_response: StartResponse) -> Iterable[bytes]:
        request = read_request(environ)
        if request.path == "/_health":
            return _answer_json(start_response, self.health())
        if request.path == "/_journal":
            return _answer_json(start_response, [asdict(run) for run in self.journal.runs()])
        if request.path == "/_switch":
            return _answer_json(start_response, self.set_switches(json.loads(request.body)))
        if request.path.startswith("/_cancel/"):
            return _answer_json(start_response, self.cancel(request.path[len("/_cancel/") :]))
        return self._serve(request, start_response)

    def health(self) -> dict:
        """Return the content of ``GET /_health``."""
        state = "ok"
        if monotonic_ms() - self.started_ms < self.settings.starting_ms:
            state = "starting"
        if self.switches.draining:
            state = "draining"
        return {"state": self.switches.health or state, "in_flight": self._in_flight}

    def set_switches(self, changes: dict) -> dict:
        """Set the named switches and return all of them."""
        with self._changed:
            for name, value in changes.items():
                setattr(self.switches, name, value)
            self._changed.notify_all()
        return asdict(self.switches)

    def cancel(self, call: str) -> dict:
        """Cancel the run of ``call`` if it is in progress; return whether there was one."""
        event = self._cancels.get(call)
        if event and self.settings.stops_on_cancel:
            with self._changed:
                event.set()
                self._changed.notify_all()
        return {"cancelled": event is not None}

    def _serve(self, request: TargetRequest, start_response: StartResponse) -> Iterable[bytes]:
        if CRASH_MARKER in request.body:
            self._start_run(request)
            os._exit(CRASH_STATUS)
        cancelled = self._cancels.setdefault(request.call, threading.Event())
        with self._changed:
            self._in_flight += 1
        try:
            with self._slots:
                return self._run(request, cancelled, start_response)
        finally:
            self._cancels.pop(request.call, None)
            with self._changed:
                self._in_flight -= 1

    def _run(
        self, request: TargetRequest, cancelled: threading.Event, start_response: StartResponse
    ) -> Iterable[bytes]:
        run = self._start_run(request)
        work = self._find_work(request.path)
        outcome = RunOutcome.FINISHED
        if cancelled.wait(self._service_ms(work) / 1000):
            outcome = RunOutcome.CANCELLED
        elif not self._call_children(work, request):
            outcome = RunOutcome.FAILED
        if self._hold_while_silent(cancelled):
            outcome = RunOutcome.CANCELLED
        self.journal.end(run, outcome)
        if outcome is not RunOutcome.FINISHED:
            return _answer_json(start_response, {"outcome": outcome}, "503 Service Unavailable")
        body = make_answer_body(request.key, request.send_id, work.answer_bytes)
        headers = [("Content-Type", "text/plain"), ("Content-Length", str(len(body)))]
        start_response("200 OK", headers)
        return [body[: len(body) // 2] if self.switches.truncate else body]

    def _start_run(self, request: TargetRequest) -> Run:
        return self.journal.start(
            method=request.method,
            path=request.path,
            key=request.key,
            root_id=request.root_id,
            call=request.call,
            send_id=request.send_id,
        )

    def _find_work(self, path: str) -> Work:
        matches = [work for work in self.settings.work if path.startswith(work.path)]
        return max(matches, key=lambda work: len(work.path))

    def _service_ms(self, work: Work) -> float:
        cold = monotonic_ms() - self.started_ms < self.settings.cold_ms
        factor = self.settings.cold_factor if cold else 1.0
        return work.service_ms * factor * self.switches.slow_factor

    def _hold_while_silent(self, cancelled: threading.Event) -> bool:
        """Wait while the target is silent; return whether the run was cancelled in that time."""
        with self._changed:
            was_silent = self.switches.silent
            self._changed.wait_for(lambda: not self.switches.silent or cancelled.is_set())
        return was_silent and cancelled.is_set()

    def _call_children(self, work: Work, request: TargetRequest) -> bool:
        return all(
            self._call_child(child, request, number) for number, child in enumerate(work.children)
        )

    def _call_child(self, child: ChildCall, request: TargetRequest, number: int) -> bool:
        send_id = f"{request.send_id}.{number}"
        key = f"{request.key}.{number}" if child.keyed else ""
        headers = {
            TRACEPARENT: request.traceparent,
            CALL: request.call,
            DEADLINE_MS: str(request.deadline_ms),
        }
        if key:
            headers[IDEMPOTENCY_KEY] = key
        answer = self._send_child(child, headers, send_id)
        if answer is not None and answer.status == 428 and PERMIT in answer.headers:
            headers[PERMIT] = answer.headers[PERMIT]
            answer = self._send_child(child, headers, send_id)
        if answer is None or answer.status != 200:
            return False
        content = parse_answer_body(answer.data)
        return content is not None and content["key"] == key

    def _send_child(
        self, child: ChildCall, headers: dict[str, str], send_id: str
    ) -> urllib3.BaseHTTPResponse | None:
        url = f"http://{self.settings.node_address}{child.path}?{SEND_PARAMETER}={send_id}"
        timeout_s = int(headers[DEADLINE_MS]) / 1000
        try:
            return self._http.request(child.method, url, headers=headers, timeout=timeout_s)
        except urllib3.exceptions.HTTPError:
            return None


def _answer_json(
    start_response: StartResponse, content: object, status: str = "200 OK"
) -> Iterable[bytes]:
    body = json.dumps(content).encode()
    start_response(
        status, [("Content-Type", "application/json"), ("Content-Length", str(len(body)))]
    )
    return [body]


def main(argv: list[str]) -> int:
    """Serve until SIGTERM."""
    settings = cattrs.structure(json.loads(Path(argv[0]).read_text()), TargetSettings)
    signal.signal(signal.SIGTERM, lambda *_: os._exit(0))
    host, port = split_address(settings.address)
    target = Target(settings, Journal(settings.name))
    waitress.serve(
        target, host=host, port=port, threads=THREAD_COUNT, connection_limit=2000, _quiet=True
    )
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
