"""Frames about the store between nodes of this build and of the one before it.

The former build knows no eras. It reads its frames by position and drops the connection on any
further field or unknown type code; ``decode_as_former_build`` and the bytes sent as it does repeat
its layout.
"""

from __future__ import annotations

import unittest
from typing import Any

import msgpack

from cottonlink.path.peers._frame_reader import FrameReader
from cottonlink.path.peers._frames import (
    SnapshotRequestFrame,
    StoreChangesFrame,
    StoreSnapshotFrame,
    encode,
)

STORE_CHANGES, SNAPSHOT_REQUEST, STORE_SNAPSHOT = 9, 10, 11
ITEMS = (("servers/i-1", 7, b"{}"), ("servers/i-2", 8, None))


def decode(data: bytes) -> Any:
    """Return the only frame in ``data``, as this build reads it."""
    (frame,) = FrameReader().feed(data)
    return frame


def decode_as_former_build(data: bytes) -> dict[str, Any]:
    """Return the fields that the former build reads; fails if it would drop the connection."""
    fields = msgpack.unpackb(data, use_list=False, raw=False)
    if fields[0] == STORE_CHANGES:
        _, after, revision, items = fields
        return {"after": after, "revision": revision, "items": _use_as_former_build(items)}
    if fields[0] == STORE_SNAPSHOT:
        _, revision, items = fields
        return {"revision": revision, "items": _use_as_former_build(items)}
    raise KeyError(fields[0])


def _use_as_former_build(items: tuple) -> tuple:
    """Return the items that the former build acts on: those whose keys it knows."""
    used = []
    for key, revision, value in items:
        if not isinstance(key, str) or not isinstance(revision, int):
            raise TypeError(f"expected a string and an integer, got {key!r} and {revision!r}")
        if key == "op/config" or key.startswith("servers/"):
            used.append((key, revision, value))
    return tuple(used)


class TestStoreFrames(unittest.TestCase):
    """A fleet in which half of the nodes have been replaced by a new build."""

    def test_frames_keep_their_era(self) -> None:
        """Without the era, a node could take revisions of another history for its own."""
        changes = StoreChangesFrame(6, 8, ITEMS, era=3)
        snapshot = StoreSnapshotFrame(8, ITEMS[:1], era=3)
        heartbeat = StoreChangesFrame(8, 8, (), era=0)
        for frame in (changes, snapshot, heartbeat):
            self.assertEqual(decode(encode(frame)), frame)

    def test_former_build_reads_frames_with_an_era(self) -> None:
        """The former build must neither drop the connection nor act on the era as on an item."""
        changes = encode(StoreChangesFrame(6, 8, ITEMS, era=3))
        expected = {"after": 6, "revision": 8, "items": ITEMS}
        self.assertEqual(decode_as_former_build(changes), expected)
        snapshot = encode(StoreSnapshotFrame(8, ITEMS[:1], era=3))
        expected = {"revision": 8, "items": ITEMS[:1]}
        self.assertEqual(decode_as_former_build(snapshot), expected)

    def test_former_build_does_not_hand_the_era_on(self) -> None:
        """A snapshot of the former build must not name the era of an earlier frame.

        It hands on all items that it was sent and that have a value.
        """
        sent = msgpack.unpackb(encode(StoreSnapshotFrame(8, ITEMS[:1], era=3)), use_list=False)
        handed_on = tuple(item for item in sent[2] if item[2] is not None)
        frame = decode(msgpack.packb((STORE_SNAPSHOT, 8, handed_on)))
        self.assertEqual(frame, StoreSnapshotFrame(8, ITEMS[:1], era=None))

    def test_former_build_understands_a_request_with_a_position(self) -> None:
        """The former build must answer the request; its own, which tells nothing, is for all."""
        request = SnapshotRequestFrame(3, 8)
        self.assertEqual(decode(encode(request)), request)
        self.assertEqual(msgpack.unpackb(encode(request))[0], SNAPSHOT_REQUEST)
        self.assertEqual(decode(msgpack.packb((SNAPSHOT_REQUEST,))), SnapshotRequestFrame())

    def test_frames_of_the_former_build_have_no_era(self) -> None:
        """A frame of the former build must not be taken for one of the first era."""
        changes = decode(msgpack.packb((STORE_CHANGES, 6, 8, ITEMS)))
        self.assertEqual(changes, StoreChangesFrame(6, 8, ITEMS, era=None))
        snapshot = decode(msgpack.packb((STORE_SNAPSHOT, 8, ITEMS[:1])))
        self.assertEqual(snapshot, StoreSnapshotFrame(8, ITEMS[:1], era=None))


if __name__ == "__main__":
    unittest.main()
