"""Finds the child process that opened a connection, for partitions between nodes (Linux only)."""

from __future__ import annotations

import contextlib
import os
from collections.abc import Mapping
from pathlib import Path

LOCAL_ADDRESS_FIELD = 1
INODE_FIELD = 9


def find_connecting_process(port: int, process_ids: Mapping[str, int]) -> str:
    """Return the name of the process with a socket on local TCP ``port``, or an empty string.

    ``process_ids`` maps names to process ids.
    """
    inode = _find_inode(port)
    if inode is None:
        return ""
    for name, process_id in process_ids.items():
        if f"socket:[{inode}]" in _list_open_files(process_id):
            return name
    return ""


def _find_inode(port: int) -> str | None:
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if int(fields[LOCAL_ADDRESS_FIELD].split(":")[1], 16) != port:
            continue
        if fields[INODE_FIELD] != "0":
            return fields[INODE_FIELD]
    return None


def _list_open_files(process_id: int) -> set[str]:
    files: set[str] = set()
    folder = f"/proc/{process_id}/fd"
    with contextlib.suppress(OSError):
        for number in os.listdir(folder):
            with contextlib.suppress(OSError):
                files.add(os.readlink(f"{folder}/{number}"))
    return files
