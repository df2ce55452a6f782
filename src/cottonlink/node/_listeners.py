"""HTTP listeners: waitress servers with a growing thread pool and problem+json errors."""

from __future__ import annotations

import threading
from collections.abc import Callable

import structlog
from attrs import define
from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.server import create_server
from waitress.task import ErrorTask, ThreadedTaskDispatcher, WSGITask

from cottonlink._problem import make_problem
from cottonlink.errors import CallError, Executed, Step

# Waitress moves larger buffers to temporary files, but a VM has no disk.
MEMORY_BUFFER_BYTES = 1 << 30
BACKLOG = 1_024
INITIAL_THREADS = 4
LOOP_TIMEOUT_S = 1

_log = structlog.get_logger()


class GrowingDispatcher(ThreadedTaskDispatcher):
    """Starts a thread when no other is idle, up to a limit.

    The limits of the caller and peer listeners are sized for overload. Most nodes never need that
    many threads, and the operating system limits the threads of all nodes that run together, as
    in tests.
    """

    def __init__(self, limit: int) -> None:
        super().__init__()
        self._limit = limit

    def add_task(self, task: object) -> None:
        """Queue a task for an idle thread, or start a thread for it."""
        with self.lock:
            self.queue.append(task)
            self.queue_cv.notify()
            idle_count = len(self.threads) - self.stop_count - self.active_count
            if len(self.queue) > idle_count and len(self.threads) < self._limit:
                self._start_thread()

    def _start_thread(self) -> None:
        number = max(self.threads, default=-1) + 1
        self.threads.add(number)
        self.active_count += 1
        try:
            self.start_new_thread(self.handler_thread, number)
        except RuntimeError:
            # The system has reached its thread limit; the running threads process the queue.
            self.threads.discard(number)
            self.active_count -= 1
            _log.warning(
                "can't start a thread; the running threads process the queue",
                running=len(self.threads),
            )


class StrictParser(HTTPRequestParser):
    """Request parser that rejects both Content-Length and chunked encoding (RFC 9112, 6.1)."""

    def parse_header(self, header_plus: bytes) -> None:
        super().parse_header(header_plus)
        if self.chunked and "CONTENT_LENGTH" in self.headers:
            raise ParsingError("request has both Content-Length and Transfer-Encoding")


class ProblemErrorTask(ErrorTask):
    """Responds with problem+json to a request that can't be parsed."""

    def execute(self) -> None:
        code = "body_too_large" if self.request.error.code == 413 else "bad_request"
        error = CallError(
            code, str(self.request.error.body), step=Step.ACCEPT, executed=Executed.NO
        )
        response = make_problem(error, request_id="")
        self.status = response.status_line
        self.response_headers.extend(response.headers)
        self.set_close_on_finish()
        self.content_length = len(response.body)
        self.write(response.body)


class SingleWriteTask(WSGITask):
    """Sends the head and the body of a response in one write.

    With two packets the receiver would wake up twice for each response.
    """

    def write(self, data: bytes) -> None:
        if self.wrote_header or not self.complete or not data or not self.has_body:
            super().write(data)
            return
        head = self.build_response_header()
        if self.chunked_response or self.content_length != len(data):
            super().write(data)
            return
        self.wrote_header = True
        self.content_bytes_written = len(data)
        self.channel.write_soon(head + data)


class Channel(HTTPChannel):
    """Connection of a listener, with the parser and tasks above."""

    task_class = SingleWriteTask

    parser_class = StrictParser
    error_task_class = ProblemErrorTask


@define(eq=False)
class Listener:
    """A running HTTP server with a bounded number of threads."""

    address: str
    _server: object
    _thread: threading.Thread
    _stopping: threading.Event
    _stop_lock: threading.Lock

    def stop(self, timeout_s: float = 5) -> None:
        """Close the listening socket and all connections, and stop the threads."""
        with self._stop_lock:
            if not self._stopping.is_set():
                self._stopping.set()
                self._server.pull_trigger()
        self._thread.join(timeout_s)


def start_listener(
    app: Callable,
    address: str,
    *,
    threads: int,
    connection_limit: int,
    body_limit_bytes: int,
    header_limit_bytes: int,
    name: str,
) -> Listener:
    """Bind ``address`` (``ip:port``, port 0 for any) and serve ``app`` in up to ``threads``."""
    socket_map: dict = {}
    server = create_server(
        app,
        map=socket_map,
        listen=address,
        threads=1,
        backlog=BACKLOG,
        connection_limit=connection_limit,
        max_request_body_size=body_limit_bytes + 1,
        max_request_header_size=header_limit_bytes,
        inbuf_overflow=MEMORY_BUFFER_BYTES,
        outbuf_overflow=MEMORY_BUFFER_BYTES,
        asyncore_use_poll=True,
        channel_request_lookahead=1,
        clear_untrusted_proxy_headers=False,
        log_socket_errors=False,
        ident="cottonlink",
    )
    server.channel_class = Channel
    server.task_dispatcher.shutdown()
    server.task_dispatcher = GrowingDispatcher(threads)
    server.task_dispatcher.set_thread_count(min(INITIAL_THREADS, threads))
    host = address.rpartition(":")[0]
    stopping = threading.Event()
    stop_lock = threading.Lock()
    thread = threading.Thread(
        target=_serve, args=(server, socket_map, stopping, stop_lock), name=name, daemon=True
    )
    thread.start()
    return Listener(f"{host}:{server.effective_port}", server, thread, stopping, stop_lock)


def _serve(server, socket_map: dict, stopping: threading.Event, stop_lock: threading.Lock) -> None:
    while not stopping.is_set():
        server.asyncore.loop(timeout=LOOP_TIMEOUT_S, use_poll=True, map=socket_map, count=1)
    # Without the lock, the trigger could be closed while ``stop`` pulls it.
    with stop_lock:
        server.task_dispatcher.shutdown(timeout=1)
        server.asyncore.close_all(socket_map)
