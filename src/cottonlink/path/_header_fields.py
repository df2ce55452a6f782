"""Header fields that are held for a while, and what they need."""

from __future__ import annotations

from array import array
from collections.abc import Iterable, Iterator

from cottonlink.overload import FIELD_BYTES

# Above this number, the header fields of a message that is arriving, or of a response that waits to
# be written, are kept in one buffer. As objects, short ones take over ten times their length.
PACKED_FIELDS = 64
# A packed field's lengths.
PACKED_FIELD_BYTES = 8


def fields_bytes(fields: Iterable[tuple[bytes, bytes]]) -> int:
    """Return what header fields need as objects."""
    return sum(FIELD_BYTES + len(name) + len(value) for name, value in fields)


class PackedFields:
    """Header fields in one buffer."""

    def __init__(self, fields: Iterable[tuple[bytes, bytes]] = ()) -> None:
        self._text = bytearray()
        self._lengths = array("I")
        self.extend(fields)

    def __iter__(self) -> Iterator[tuple[bytes, bytes]]:
        return iter(self.unpack())

    @property
    def held_bytes(self) -> int:
        """What the buffer takes."""
        return len(self._text) + PACKED_FIELD_BYTES * len(self._lengths) // 2

    def extend(self, fields: Iterable[tuple[bytes, bytes]]) -> None:
        """Add fields."""
        for name, value in fields:
            self._text += name
            self._text += value
            self._lengths.append(len(name))
            self._lengths.append(len(value))

    def unpack(self) -> list[tuple[bytes, bytes]]:
        """Return the fields in their order."""
        text, start = bytes(self._text), 0
        parts = []
        for length in self._lengths:
            parts.append(text[start : start + length])
            start += length
        return list(zip(parts[::2], parts[1::2], strict=True))
