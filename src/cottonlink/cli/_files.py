"""Reads the files named on the command line."""

from __future__ import annotations

from pathlib import Path

from cottonlink.errors import CottonlinkError, Step


def read_text(path: str) -> str:
    """Return the text of the UTF-8 file ``path``.

    Raises ``CottonlinkError`` with code ``file_unreadable``.
    """
    try:
        return Path(path).read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        raise CottonlinkError(
            "file_unreadable", str(error), step=Step.SETTINGS, peer=path
        ) from error
