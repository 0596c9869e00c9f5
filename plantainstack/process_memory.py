"""Adjust how the C library manages the memory of the process."""

import ctypes

from plantainstack import log

# Parameter of `mallopt` of the GNU C library, and the value that it begins with.
M_MMAP_THRESHOLD = -3
MMAP_THRESHOLD_BYTES = 128 * 1024


def return_large_blocks() -> bool:
    """Have large blocks returned to the system when they are freed.

    By default, the GNU C library raises the size of such blocks to that of the largest
    one that was freed, up to 32 MB, and keeps the smaller ones for later use. Returns
    whether that could be changed.
    """
    try:
        done = ctypes.CDLL(None).mallopt(M_MMAP_THRESHOLD, MMAP_THRESHOLD_BYTES) == 1
    except (AttributeError, OSError):
        done = False
    if not done:
        log.event("memory.large_blocks_kept")
    return done
