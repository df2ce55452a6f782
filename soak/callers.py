"""Callers of different kinds that send requests to nodes and record the responses."""

from __future__ import annotations

import asyncio
import itertools
import random
from collections.abc import Sequence

from soak.client_connection import ClientConnection, connect
from soak.configuration_series import ConfigurationSeries
from soak.lag import LagMeter
from soak.observations import ObservedRequest
from soak.organisations import Credentials, Organisations
from soak.vm import SoakVm

# A caller that reads slowly waits this long after each chunk of 64 KiB.
SLOW_READ_PAUSE_S = 0.02
# Keeps most of a large response at the node until the caller reads it.
SLOW_RECEIVE_BUFFER_BYTES = 64 * 1024
LARGE_BODY_BYTES = (1_000_000, 3_000_000)
MAX_PIPELINED = 4
# Longest bodies of uploads, of which one is chosen each time; the last is the operator's limit.
UPLOAD_BYTES = (200_000, 2_000_000, 20_000_000)
TINY_CHUNKS_SHARE = 0.2
TINY_CHUNKS_BODY_BYTES = 1_000_000
# Longest time for which a caller that has stopped reading keeps its connection.
STOPPED_READ_S = 2.0
STREAMED_READS = 150
# Of requests that run for long, below the route's time-out.
SLOW_RUN_MS = (300, 2_500)
# They also fit into this share of the grace: no node next to a target can end them otherwise, once
# it is stopped.
SLOW_RUN_SHARE = 0.5
CONNECTIONS_AT_A_TIME = 4
# One request in this number offers another protocol.
REQUESTS_PER_OFFER = 7


class Callers:
    """Sends requests to nodes and records each with its response in ``observed``."""

    def __init__(
        self,
        rng: random.Random,
        lag_meter: LagMeter,
        stop_event: asyncio.Event,
        pause_s: float,
        organisations: Organisations | None = None,
    ) -> None:
        self._rng = rng
        self._lag_meter = lag_meter
        self._stop_event = stop_event
        self._pause_s = pause_s
        self._organisations = organisations
        self._request_numbers = itertools.count()
        self.observed: list[ObservedRequest] = []

    async def keep_connection(self, vm: SoakVm, credentials: Credentials | None = None) -> None:
        """Send one request after another on a connection, as long as it stays open."""
        connection = None
        while not self._stop_event.is_set():
            connection = connection or await self._connect(vm, credentials=credentials)
            if connection is not None:
                await self._exchange(connection, self._new_request("reads", "bookings"))
                if not connection.is_open or connection.is_closing:
                    connection = None
            await asyncio.sleep(self._pause_s)
        if connection is not None:
            connection.close()

    async def pipeline(self, vm: SoakVm) -> None:
        """Send several reads before the first of them is answered."""
        connection = None
        while not self._stop_event.is_set():
            connection = connection or await self._connect(vm)
            if connection is not None:
                count = self._rng.randint(2, MAX_PIPELINED)
                requests = [self._new_request("reads") for _ in range(count)]
                exchanges = (self._exchange(connection, request) for request in requests)
                await asyncio.gather(*exchanges)
                if not connection.is_open or connection.is_closing:
                    connection = None
            await asyncio.sleep(3 * self._pause_s)
        if connection is not None:
            connection.close()

    async def read_slowly(self, vm: SoakVm) -> None:
        """Read large responses slowly, and send the next request while doing so."""
        connection = None
        while not self._stop_event.is_set():
            connection = connection or await self._connect(
                vm,
                read_pause_s=SLOW_READ_PAUSE_S,
                receive_buffer_bytes=SLOW_RECEIVE_BUFFER_BYTES,
            )
            if connection is not None:
                await self._read_one_slowly(connection)
                if not connection.is_open or connection.is_closing:
                    connection = None
            await asyncio.sleep(4 * self._pause_s)
        if connection is not None:
            connection.close()

    async def _read_one_slowly(self, connection: ClientConnection) -> None:
        large = self._new_request(f"reads/large-{self._rng.randint(*LARGE_BODY_BYTES)}")
        exchanges = [asyncio.ensure_future(self._exchange(connection, large))]
        await asyncio.sleep(self._rng.uniform(0, 0.6))
        if not large.ending and self._rng.random() < 0.7:
            following = self._new_request("reads")
            exchanges.append(asyncio.ensure_future(self._exchange(connection, following)))
        await asyncio.gather(*exchanges)

    async def upload(self, vm: SoakVm) -> None:
        """Send bookings with bodies up to the operator's limit, some of them in tiny chunks."""
        while not self._stop_event.is_set():
            request = self._new_request("bookings")
            if self._rng.random() < TINY_CHUNKS_SHARE:
                request.sent_body_bytes = self._rng.randint(1, TINY_CHUNKS_BODY_BYTES)
                request.sent_chunk_bytes = self._rng.randint(5, 16)
            else:
                largest = self._rng.choice(UPLOAD_BYTES)
                request.sent_body_bytes = self._rng.randint(largest // 2, largest)
            await self._send_on_new_connection(vm, request)
            await asyncio.sleep(8 * self._pause_s)

    async def stop_reading(self, vm: SoakVm) -> None:
        """Ask for large responses, read no more of them than their start, and leave."""
        while not self._stop_event.is_set():
            connection = await self._connect(
                vm,
                read_pause_s=STOPPED_READ_S,
                receive_buffer_bytes=SLOW_RECEIVE_BUFFER_BYTES,
            )
            if connection is not None:
                large = self._new_request(f"reads/large-{self._rng.randint(*LARGE_BODY_BYTES)}")
                self.observed.append(large)
                connection.send(large)
                await asyncio.sleep(self._rng.uniform(0.2, STOPPED_READ_S))
                connection.close()
            await asyncio.sleep(4 * self._pause_s)

    async def wait_long(self, vm: SoakVm) -> None:
        """Send requests that run for long, on a connection that is kept as long as it is open."""
        connection = None
        while not self._stop_event.is_set():
            connection = connection or await self._connect(vm)
            if connection is not None:
                kind = self._rng.choice(("reads", "bookings"))
                longest_ms = min(SLOW_RUN_MS[1], int(vm.grace_s * 1000 * SLOW_RUN_SHARE))
                slow_ms = self._rng.randint(SLOW_RUN_MS[0], longest_ms)
                request = self._new_request(f"{kind}/slow-{slow_ms}")
                await self._exchange(connection, request)
                if not connection.is_open or connection.is_closing:
                    connection = None
            await asyncio.sleep(self._pause_s)
        if connection is not None:
            connection.close()

    async def stream_reads(self, vm: SoakVm) -> None:
        """Send many reads behind each other, in the segments of a network."""
        while not self._stop_event.is_set():
            connection = await self._connect(vm)
            if connection is not None:
                requests = [self._new_request("reads") for _ in range(STREAMED_READS)]
                self.observed += requests
                await connection.send_in_segments(requests)
            await asyncio.sleep(40 * self._pause_s)

    async def reconnect(self, vm: SoakVm) -> None:
        """Send each request on a new connection; several connect at a time."""
        while not self._stop_event.is_set():
            await asyncio.gather(
                *(
                    self._send_on_new_connection(vm, self._new_request("reads", "bookings"))
                    for _ in range(CONNECTIONS_AT_A_TIME)
                )
            )
            await asyncio.sleep(2 * self._pause_s)

    async def probe(self, vm: SoakVm, series: ConfigurationSeries) -> None:
        """Send reads on routes that were added, moved or removed lately."""
        connection = None
        while not self._stop_event.is_set():
            prefix = series.choose_changed_prefix()
            connection = connection or await self._connect(vm)
            if prefix is not None and connection is not None:
                await self._exchange(connection, self._new_request(prefix.strip("/")))
                if not connection.is_open or connection.is_closing:
                    connection = None
            await asyncio.sleep(self._pause_s)
        if connection is not None:
            connection.close()

    async def resend(self, path: str, vms: Sequence[SoakVm], pause_s: float) -> None:
        """Send a read with the same path to each of the nodes in turn."""
        for vm in itertools.cycle(vms):
            if self._stop_event.is_set():
                return
            request = ObservedRequest(f"r{next(self._request_numbers)}", path)
            await self._send_on_new_connection(vm, request)
            await asyncio.sleep(pause_s)

    async def send_lasting(self, vm: SoakVm, kind: str) -> ObservedRequest | None:
        """Send one request on a new connection, with a key that is valid throughout.

        Returns None if the node can't be reached.
        """
        organisations = self._organisations
        credentials = organisations.lasting_credentials() if organisations else None
        return await self._send_on_new_connection(vm, self._new_request(kind), credentials)

    async def _send_on_new_connection(
        self, vm: SoakVm, request: ObservedRequest, credentials: Credentials | None = None
    ) -> ObservedRequest | None:
        connection = await self._connect(vm, credentials=credentials)
        if connection is None:
            return None
        await self._exchange(connection, request)
        connection.close()
        return request

    async def _connect(
        self, vm: SoakVm, credentials: Credentials | None = None, **options: object
    ) -> ClientConnection | None:
        if credentials is None and self._organisations is not None:
            credentials = self._organisations.choose_credentials()
        return await connect(vm, self._lag_meter, credentials=credentials, **options)

    async def _exchange(self, connection: ClientConnection, request: ObservedRequest) -> None:
        self.observed.append(request)
        await connection.exchange(request)

    def _new_request(self, *kinds: str) -> ObservedRequest:
        """Return a request to one of the routes ``kinds``, in turn."""
        number = next(self._request_numbers)
        kind = kinds[number % len(kinds)]
        is_booking = kind.partition("/")[0] == "bookings"
        return ObservedRequest(
            f"r{number}",
            f"/{kind}/{number}",
            is_booking,
            int(is_booking),
            offers_protocol=number % REQUESTS_PER_OFFER == 0,
        )
