"""HTTP listeners: waitress servers with their own threads and problem+json errors."""

from __future__ import annotations

import threading
from collections.abc import Callable

from attrs import define, field
from waitress.channel import HTTPChannel
from waitress.parser import HTTPRequestParser, ParsingError
from waitress.server import create_server
from waitress.task import ErrorTask, WSGITask

from cottonlink._problem import make_problem
from cottonlink.errors import CallError, Executed, Step

# Waitress moves larger buffers to temporary files, but a VM has no disk.
MEMORY_BUFFER_BYTES = 1 << 30
BACKLOG = 1_024


class StrictParser(HTTPRequestParser):
    """Request parser that refuses a message with two framings (RFC 9112, section 6.1)."""

    def parse_header(self, header_plus: bytes) -> None:
        super().parse_header(header_plus)
        if self.chunked and "CONTENT_LENGTH" in self.headers:
            raise ParsingError("both Content-Length and Transfer-Encoding")


class ProblemErrorTask(ErrorTask):
    """Reports a request that can't be parsed as problem+json."""

    def execute(self) -> None:
        code = "body_too_large" if self.request.error.code == 413 else "bad_request"
        error = CallError(
            code, str(self.request.error.body), step=Step.ACCEPT, executed=Executed.NO
        )
        answer = make_problem(error, request_id="")
        self.status = answer.status_line
        self.response_headers.extend(answer.headers)
        self.set_close_on_finish()
        self.content_length = len(answer.body)
        self.write(answer.body)


class OneWriteTask(WSGITask):
    """Sends the head and the body of an answer at once.

    With two packets, the other side would wake up twice for each answer.
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
    """Connection of a listener."""

    task_class = OneWriteTask

    parser_class = StrictParser
    error_task_class = ProblemErrorTask


@define(eq=False)
class Listener:
    """A running HTTP server with a fixed number of threads."""

    address: str
    _server: object
    _thread: threading.Thread
    _stopping: threading.Event = field(factory=threading.Event)

    def stop(self, timeout_s: float = 5) -> None:
        """Close the listening socket and all connections, and end the threads."""
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
    """Bind ``address`` (``ip:port``, port 0 for any) and serve ``app`` in ``threads`` threads."""
    socket_map: dict = {}
    server = create_server(
        app,
        map=socket_map,
        listen=address,
        threads=threads,
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
    host = address.rpartition(":")[0]
    stopping = threading.Event()
    thread = threading.Thread(
        target=_serve, args=(server, socket_map, stopping), name=name, daemon=True
    )
    thread.start()
    return Listener(f"{host}:{server.effective_port}", server, thread, stopping)


def _serve(server, socket_map: dict, stopping: threading.Event) -> None:
    while not stopping.is_set():
        server.asyncore.loop(timeout=1, use_poll=True, map=socket_map, count=1)
    server.task_dispatcher.shutdown(timeout=1)
    server.asyncore.close_all(socket_map)
