"""Settings of the C library's allocator, so that freed memory goes back to the system."""

from __future__ import annotations

import ctypes
import functools

# From malloc.h of glibc.
_M_MMAP_THRESHOLD = -3
# Larger blocks, such as bodies, are mapped on their own and unmapped when they are freed. Left to
# itself, glibc raises the threshold to the largest block that was freed, up to 32 MB, and keeps
# what bodies leave in its heap.
MAPPED_BLOCK_BYTES = 64 * 1024


def map_large_blocks() -> None:
    """Let large blocks be mapped on their own, if the C library can."""
    mallopt = _c_function("mallopt")
    if mallopt is not None:
        mallopt(_M_MMAP_THRESHOLD, MAPPED_BLOCK_BYTES)


def release_free_memory() -> None:
    """Return free pages of the heap to the system, if the C library can."""
    malloc_trim = _c_function("malloc_trim")
    if malloc_trim is not None:
        malloc_trim(0)


@functools.cache
def _c_function(name: str) -> ctypes._CFuncPtr | None:
    return getattr(ctypes.CDLL(None), name, None)
