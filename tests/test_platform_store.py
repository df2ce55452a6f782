"""The emulated store returns from a copy as the platform's store does."""

from __future__ import annotations

import asyncio
import json
import unittest

from emulator.platform_store import PlatformStore


class TestReturnFromACopy(unittest.IsolatedAsyncioTestCase):
    """Without these, no test of a node could show how it follows a store that lost changes."""

    async def asyncSetUp(self) -> None:
        self.store = PlatformStore()
        await self.store.start()
        self.addAsyncCleanup(self.store.stop)

    async def get(self, target: str) -> tuple[int, str, dict]:
        """Return status, era and body of the answer to a call."""
        reader, writer = await asyncio.open_connection(*self.store.address.split(":"))
        self.addCleanup(writer.close)
        writer.write(f"GET {target} HTTP/1.1\r\nHost: store\r\n\r\n".encode())
        head = (await reader.readuntil(b"\r\n\r\n")).decode().split("\r\n")
        headers = dict(line.split(": ", 1) for line in head[1:] if line)
        body = await reader.readexactly(int(headers["Content-Length"]))
        return int(head[0].split()[1]), headers["Store-Era"], json.loads(body)

    async def test_later_changes_are_gone_and_revisions_are_given_out_again(self) -> None:
        """A copy that kept later items would hide what a node must unlearn."""
        await self.store.put("servers/i-1", b"old")
        copy = self.store.take_copy()
        await self.store.put("servers/i-1", b"new")
        _, era, lost = await self.get("/-/kv-key?key=servers/i-1")
        self.store.return_from_copy(copy)
        _, next_era, item = await self.get("/-/kv-key?key=servers/i-1")
        self.assertEqual(int(next_era), int(era) + 1)
        self.assertEqual(item["revision"], lost["revision"] - 1)
        await self.store.put("servers/i-2", b"other")
        _, _, other = await self.get("/-/kv-key?key=servers/i-2")
        self.assertEqual(other["revision"], lost["revision"])

    async def test_watch_from_a_revision_that_is_gone_is_refused_at_once(self) -> None:
        """A watch that waited instead would hide that the node has missed changes."""
        copy = self.store.take_copy()
        await self.store.put("servers/i-1", b"lost")
        watch = "/-/kv-watch?prefix=&after=2&wait_ms=30000"
        waiting = asyncio.create_task(self.get(watch))
        await asyncio.sleep(0.05)
        self.store.return_from_copy(copy)
        self.assertEqual((await waiting)[0], 410)
        self.assertEqual((await self.get(watch))[0], 410)

    async def test_refusal_carries_the_era(self) -> None:
        """The era is part of all answers, also of those that tell nothing else."""
        self.store.fault = "busy"
        self.assertEqual((await self.get("/-/kv-key?key=op/config"))[:2], (503, "1"))


if __name__ == "__main__":
    unittest.main()
