"""Requests whose senders offer another protocol, which a node declines.

Guards against a POST that ran with an empty body since its client offered an upgrade, and against
the second response behind it (docs/incidents/body-lost-with-an-upgrade-offer.md).
"""

from __future__ import annotations

import itertools
import random
import re
import socket
import unittest
from collections.abc import Callable

from cottonlink.node._listeners import start_listener
from cottonlink.path._http_client import ExchangeFailed
from emulator.platform_target import configuration, route_resource
from tests.connection_fixtures import HEAD, ConnectionCase
from tests.platform_fixtures import FleetCase, request_bytes
from tests.test_request_segments import Reader, cut

METHODS = (b"GET", b"HEAD", b"POST", b"PUT", b"DELETE", b"PATCH")
# The headers of an offer; a request without their Upgrade lines means the same.
OFFERS = (
    (b"Connection: Upgrade, HTTP2-Settings", b"Upgrade: h2c", b"HTTP2-Settings: AAMAAABkAAQAAP__"),
    (b"Connection: upgrade", b"Upgrade: websocket", b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ=="),
    (b"Upgrade: TLS/1.0", b"Connection: Upgrade"),
    (b"Connection: keep-alive", b"Connection: Upgrade", b"Upgrade: h2c"),
    (b"Connection: keep-alive, Upgrade", b"Upgrade: h2c, websocket"),
    (b"Connection: Upgrade", b"Upgrade: h2c", b"Upgrade: websocket"),
    (b"Connection: Upgrade", b"Upgrade: h2c", b"Expect: 100-continue"),
    (b"cOnNeCtIoN: uPgRaDe", b"uPgRaDe: h2c"),
    (b"Connection: Upgrade", b"Upgrade:"),
    (b"Connection: Upgrade",),
    (b"Upgrade: h2c",),
)
LAST_OFFERS = (
    (b"Connection: close, Upgrade", b"Upgrade: h2c"),
    (b"Connection: close", b"Connection: Upgrade", b"Upgrade: h2c"),
)
FRAMINGS = ("none", "length", "chunks")
BODY = b"booking=1&amount=1000" * 4
# A body that reads like a request.
SMUGGLED = b"GET /smuggled HTTP/1.1\r\nHost: shop.example\r\n\r\n"
SEED_COUNT = 8
# Keeps a failing test from hanging.
TIMEOUT_S = 20.0


def offering_request(
    method: bytes, offer: tuple[bytes, ...], framing: str, body: bytes, version: bytes = b"1.1"
) -> bytes:
    """Return a request that makes an offer."""
    lines = [b"%b /a/1?b=2 HTTP/%b" % (method, version), b"Host: shop.example", *offer]
    if framing == "length":
        lines.append(b"Content-Length: %d" % len(body))
    elif framing == "chunks":
        lines.append(b"Transfer-Encoding: chunked")
        half = len(body) // 2
        parts = (body[:half], body[half:], b"")
        body = b"".join(b"%x\r\n%b\r\n" % (len(part), part) for part in parts)
    else:
        body = b""
    return b"\r\n".join([*lines, b"", b""]) + body


def without_upgrade(offer: tuple[bytes, ...]) -> tuple[bytes, ...]:
    """Return the lines of an offer but those that make it one."""
    return tuple(line for line in offer if not line.lower().startswith(b"upgrade"))


def without_upgrade_field(requests: list[tuple]) -> list[tuple]:
    """Return parsed requests without their Upgrade fields, which aren't forwarded."""
    return [
        (method, target, tuple(h for h in headers if h[0].lower() != b"upgrade"), bytes(body))
        for method, target, headers, body in requests
    ]


class TestDeclinedOffers(unittest.TestCase):
    """The framing alone says where a body ends, and an offer that is declined changes nothing."""

    def check(self, make_data: object, offer: tuple[bytes, ...], seed: int) -> None:
        """Compare requests that make an offer with the same ones that don't."""
        expected = Reader()
        expected.read([make_data(without_upgrade(offer))])
        data = make_data(offer)
        pieces = cut(random.Random(seed), data)
        for segments in ([data], pieces, [data[i : i + 1] for i in range(len(data))]):
            reader = Reader()
            reader.read(segments)
            self.assertEqual(
                without_upgrade_field(reader.requests), without_upgrade_field(expected.requests)
            )
            self.assertEqual(reader.statuses, expected.statuses)
            self.assertEqual(len(reader.written), len(expected.written))

    def test_offer_changes_no_request(self) -> None:
        """Guards against lost bodies, and against responses to no request behind them."""
        for method, offer, framing, body in itertools.product(
            METHODS, OFFERS, FRAMINGS, (BODY, SMUGGLED)
        ):
            with self.subTest(method=method, offer=offer, framing=framing, body=body[:8]):

                def make_data(
                    lines: tuple, method: bytes = method, framing: str = framing, body: bytes = body
                ) -> bytes:
                    request = offering_request(method, lines, framing, body)
                    plain = offering_request(b"POST", (), "length", BODY)
                    return request + plain + request + request + plain

                self.check(make_data, offer, 1)

    def test_expected_requests_are_all_served(self) -> None:
        """The comparison above must not hold because both sides reject."""
        reader = Reader()
        request = offering_request(b"POST", OFFERS[0], "length", BODY)
        reader.read([request * 3])
        self.assertEqual([bytes(parts[3]) for parts in reader.requests], [BODY] * 3)
        self.assertEqual(reader.written[-1].split(b" ")[1], b"200")
        self.assertEqual(reader.statuses, [b"200"] * 3)

    def test_offer_of_a_last_request_changes_nothing(self) -> None:
        """The connection closes after the response, as the request says."""
        for method, offer, framing in itertools.product(METHODS, LAST_OFFERS, FRAMINGS):
            for version in (b"1.1", b"1.0"):
                with self.subTest(method=method, offer=offer, framing=framing, version=version):

                    def make_data(
                        lines: tuple,
                        method: bytes = method,
                        framing: str = framing,
                        version: bytes = version,
                    ) -> bytes:
                        request = offering_request(method, lines, framing, BODY, version)
                        return request + offering_request(b"GET", (), "none", b"")

                    self.check(make_data, offer, 2)

    def test_mixed_requests_in_random_pieces(self) -> None:
        """Offers between other requests, however the network cuts them."""
        for seed in range(SEED_COUNT):
            rng = random.Random(seed)
            parts = [
                (rng.choice(METHODS), rng.choice(OFFERS), rng.choice(FRAMINGS), rng.randbytes(900))
                for _ in range(30)
            ]
            data = b"".join(offering_request(*part) for part in parts)
            plain = b"".join(
                offering_request(method, without_upgrade(offer), framing, body)
                for method, offer, framing, body in parts
            )
            with self.subTest(seed=seed):
                expected, reader = Reader(), Reader()
                expected.read([plain])
                reader.read(cut(rng, data))
                self.assertEqual(
                    without_upgrade_field(reader.requests),
                    without_upgrade_field(expected.requests),
                )
                self.assertEqual(reader.statuses, [b"200"] * 30)

    def test_continue_is_sent_once(self) -> None:
        """Guards against a second interim response to a head that is parsed again."""
        reader = Reader()
        request = offering_request(b"POST", OFFERS[6], "length", BODY)
        reader.read([request[: -len(BODY)], request[-len(BODY) :]])
        self.assertEqual(reader.written[0], b"HTTP/1.1 100 Continue\r\n\r\n")
        self.assertEqual(len(reader.written), 2)
        self.assertEqual(reader.statuses, [b"200"])

    def test_large_head_of_an_offer_is_rejected_once(self) -> None:
        """The limit holds for the whole head as it was sent."""
        reader = Reader()
        offer = (b"Connection: Upgrade", b"Upgrade: " + b"h" * 20_000)
        reader.read([offering_request(b"POST", offer, "length", BODY)])
        self.assertEqual((reader.requests, reader.statuses), ([], [b"431"]))


class TestOtherProtocols(unittest.TestCase):
    """Requests that can't be served as HTTP/1.1 are answered once, and aren't served."""

    def test_tunnel_is_rejected_once(self) -> None:
        """What follows a CONNECT isn't HTTP, so none of it may run."""
        for framing, target in itertools.product(FRAMINGS, (b"a.example:443", b"/a/1")):
            with self.subTest(framing=framing, target=target):
                data = offering_request(b"CONNECT", (), framing, BODY)
                data = data.replace(b"/a/1?b=2", target) + SMUGGLED
                reader = Reader()
                reader.read([data])
                self.assertEqual((reader.requests, reader.statuses), ([], [b"501"]))

    def test_preface_of_http_2_is_rejected_once(self) -> None:
        """A client that sends HTTP/2 without asking must not wait."""
        for pieces in (
            [b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"],
            [b"PRI * HT", b"TP/2.0\r\n\r\nSM\r\n\r\n"],
        ):
            reader = Reader()
            reader.read(pieces)
            self.assertEqual((reader.requests, reader.statuses), ([], [b"400"]))


class TestResponsesOfTargets(ConnectionCase):
    """Responses that offer or begin another protocol, which no request of a node asks for."""

    def test_response_that_offers_a_protocol_is_whole(self) -> None:
        """An offer in a response changes nothing either."""
        for status in (200, 426, 503):
            self.setUp()
            head = HEAD.replace(b"200", b"%d" % status)
            offer = b"Connection: Upgrade\r\nUpgrade: h2c\r\nContent-Length: 5\r\n\r\n"
            self.feed(iter((head + offer + b"12345",)))
            (result,) = self.results
            self.assertEqual((result.status, bytes(result.body)), (status, b"12345"))

    def test_switched_protocol_fails_the_request(self) -> None:
        """What follows isn't HTTP, whether the response names a protocol or not."""
        for fields in (b"Connection: Upgrade\r\nUpgrade: h2c\r\n", b"", b"Content-Length: 5\r\n"):
            for rest in (b"", b"12345", b"HTTP/1.1 200 OK\r\nX-Attempt-Id: a1\r\n\r\n"):
                self.setUp()
                self.feed(iter((HEAD.replace(b"200 OK", b"101 Go") + fields + b"\r\n" + rest,)))
                (result,) = self.results
                self.assertIsInstance(result, ExchangeFailed)
                self.assertFalse(self.connection.is_reusable)

    def test_switch_behind_a_whole_response_does_not_fail_it(self) -> None:
        """Bytes behind a whole response belong to no request."""
        for fields in (b"Connection: Upgrade\r\nUpgrade: h2c\r\n", b""):
            self.setUp()
            response = HEAD + b"Content-Length: 5\r\n\r\n12345"
            self.feed(iter((response + b"HTTP/1.1 101 Go\r\n" + fields + b"\r\n",)))
            (result,) = self.results
            self.assertEqual(bytes(result.body), b"12345")
            self.assertFalse(self.connection.is_reusable)


class TestFailureInside(unittest.TestCase):
    """An error of the node itself isn't a malformed request."""

    def test_failure_while_serving_is_answered_once(self) -> None:
        """Guards against a 400 behind a request that is on its way."""
        for method in ("serve", "parse_request"):
            with self.subTest(method=method):
                reader = Reader()

                def fail(*_: object) -> None:
                    raise RuntimeError("no room on the stack")

                setattr(reader.connection._handler, method, fail)
                reader.read([offering_request(b"POST", (), "length", BODY) * 2])
                self.assertEqual(reader.statuses, [b"500"])
                self.assertEqual(len(reader.failures), 1)


class TestOffersAtTheThreadedListener(unittest.TestCase):
    """The listener of the project's own interface."""

    def test_offer_changes_no_request(self) -> None:
        """Each application call gets the body that was sent, and each request one response."""
        served: list[tuple[str, bytes]] = []

        def serve(environ: dict, start_response: Callable) -> list[bytes]:
            served.append((environ["REQUEST_METHOD"], environ["wsgi.input"].read()))
            start_response("200 OK", [("Content-Length", "2")])
            return [b"ok"]

        listener = start_listener(
            serve,
            "127.0.0.1:0",
            threads=2,
            connection_limit=10,
            body_limit_bytes=100_000,
            header_limit_bytes=10_000,
            name="test",
        )
        self.addCleanup(listener.stop)
        host, _, port = listener.address.rpartition(":")
        for offer, framing in itertools.product(OFFERS, ("length", "chunks")):
            with self.subTest(offer=offer, framing=framing):
                served.clear()
                last = offering_request(b"POST", (b"Connection: close",), "length", SMUGGLED)
                with socket.create_connection((host, int(port)), TIMEOUT_S) as caller:
                    caller.sendall(offering_request(b"POST", offer, framing, BODY) + last)
                    received = b"".join(iter(lambda c=caller: c.recv(65_536), b""))
                self.assertEqual(served, [("POST", BODY), ("POST", SMUGGLED)])
                statuses = re.findall(rb"HTTP/1.1 (\d+)", received)
                self.assertEqual([s for s in statuses if s != b"100"], [b"200"] * 2)


class TestOffersAtNodes(FleetCase):
    """The same on real sockets, through two nodes."""

    async def test_targets_get_the_body_of_an_offering_request(self) -> None:
        """Each run has the bytes that were sent, beside the caller and at another VM."""
        near = await self.add_vm("browse", "i-1")
        far = await self.add_vm("shop", "i-2")
        routes = (
            route_resource("near", "shop.example", "/near/", "browse", kind="unsafe"),
            route_resource("far", "shop.example", "/far/", "shop", kind="unsafe"),
        )
        await self.store.put("op/config", configuration(4, *routes))
        await self.wait_until_version(4)
        for number, offer in enumerate((*OFFERS, *LAST_OFFERS)):
            for path in ("/near/1", "/far/1"):
                with self.subTest(offer=offer, path=path):
                    caller = await self.connect(near)
                    lines = [line.decode() for line in offer]
                    caller.writer.write(
                        request_bytes(
                            path, *lines, method="POST", body=BODY, attempt=f"{path[1]}{number}"
                        )
                    )
                    response = await caller.response()
                    if response.status == 100:
                        response = await caller.response()
                    self.assertEqual(response.status, 200)
                    target = near.target if path == "/near/1" else far.target
                    run = target.runs[-1]
                    self.assertEqual((run.method, run.target, run.body), ("POST", path, BODY))
                    self.assertIsNone(run.header("upgrade"))
                    self.assertIsNone(run.header("connection"))
                    self.assertIsNone(run.header("http2-settings"))
                    caller.close()
        self.assertEqual(len(near.target.runs) + len(far.target.runs), 2 * (number + 1))
        declined = near.node.state.metrics.render()
        self.assertIn(b"cottonlink_protocol_offers_declined_total 20", declined)


del ConnectionCase, FleetCase

if __name__ == "__main__":
    unittest.main()
