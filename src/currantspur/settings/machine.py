"""Find how much memory the machine of this process has."""

import os

BYTES_PER_MB = 1_000_000
# Instances are sized for small machines: more than this is used only if the
# settings say so.
MAX_DEFAULT_MEMORY_MB = 300.0
# That of the smallest machine that instances run on, where the system does not
# tell.
MIN_DEFAULT_MEMORY_MB = 152.0


def find_memory_mb() -> float:
    """Return the memory that an instance may use without a setting."""
    try:
        pages = os.sysconf('SC_PHYS_PAGES')
    except (OSError, ValueError):
        pages = 0
    return bound_memory_mb(pages * os.sysconf('SC_PAGE_SIZE'))


def bound_memory_mb(machine_bytes: int) -> float:
    """Return the memory to use on a machine; 0 bytes stand for unknown."""
    if machine_bytes <= 0:
        return MIN_DEFAULT_MEMORY_MB
    return min(MAX_DEFAULT_MEMORY_MB, machine_bytes / BYTES_PER_MB)
