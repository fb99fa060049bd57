"""Decide which clients may hold bytes, which wait and which are closed."""

from collections.abc import Iterator

BYTES_PER_MB = 1_000_000
# A process without clients takes 31 to 39 MB; the rest is for the garbage of
# the allocator and for rows of tables that are being read.
RESERVED_MB = 56
# Task, parser and buffers of a connection that sends nothing.
CONNECTION_BYTES = 24_000
# Freed memory is not returned at once.
USABLE_SHARE = 0.6
# Half of the descriptors are for callers, the rest for targets and other
# servers, the store and peers.
CLIENT_FD_SHARE = 0.5
# Holders of no more than this may use the whole budget, others only a part of
# it: ordinary requests are served beside large bodies.
SMALL_BYTES = 65_536
LARGE_SHARE = 0.75
# A client that sends or reads fewer bytes makes no progress.
MIN_PROGRESS_BYTES = 1024
# Longer than a retransmission takes; counts only while the budget is used up.
MIN_STALL_S = 1.0


def size_budget(memory_mb: float, max_fds: float) -> int:
    """Return the bytes that clients may hold on a machine of this size."""
    usable = (memory_mb - RESERVED_MB) * BYTES_PER_MB
    connections = max_fds * CLIENT_FD_SHARE * CONNECTION_BYTES
    return max(SMALL_BYTES, int((usable - connections) * USABLE_SHARE))


class ByteHolder:
    """Bytes held for one client, and when it last made progress.

    ``is_awaited`` is true while the instance waits for the client to send or
    to read.
    """

    __slots__ = ('held', 'is_awaited', 'progress_at', 'progress_bytes')

    def __init__(self, at: float) -> None:
        self.held = 0
        self.is_awaited = False
        self.progress_at = at
        self.progress_bytes = 0

    def record_progress(self, size: int, at: float) -> None:
        """Record bytes that the client sent or read."""
        self.progress_bytes += size
        if self.progress_bytes >= MIN_PROGRESS_BYTES:
            self.progress_at = at
            self.progress_bytes = 0

    def is_stalled(self, at: float) -> bool:
        """Return whether the client holds bytes and makes no progress."""
        has_stopped = at - self.progress_at >= MIN_STALL_S
        return bool(self.held) and self.is_awaited and has_stopped

    def restart(self, at: float) -> None:
        """Begin to measure progress anew, as the client is awaited again."""
        self.progress_at = at
        self.progress_bytes = 0


class ByteBudget:
    """Bytes held for all clients together, against a limit."""

    __slots__ = ('held', 'holders', 'limit_bytes')

    def __init__(self, limit_bytes: int) -> None:
        self.limit_bytes = limit_bytes
        self.held = 0
        self.holders: set[ByteHolder] = set()

    @property
    def is_full(self) -> bool:
        """Whether new requests should be refused."""
        return self.held >= self.limit_bytes

    def open(self, at: float) -> ByteHolder:
        """Return a holder for a client that has just connected."""
        holder = ByteHolder(at)
        self.holders.add(holder)
        return holder

    def close(self, holder: ByteHolder) -> None:
        """Return all bytes of a client that is gone."""
        self.take(holder, -holder.held)
        self.holders.discard(holder)

    def take(self, holder: ByteHolder, size: int) -> None:
        """Count bytes as held, or as returned if the size is negative.

        Bytes of a closed holder do not count any more.
        """
        if holder in self.holders:
            holder.held += size
            self.held += size

    def may_take(self, holder: ByteHolder, size: int) -> bool:
        """Return whether a client may hold so many bytes more.

        A client that alone holds many may exceed the limit: a single request
        within the limits of the configuration is always served.
        """
        if holder.held + size <= SMALL_BYTES:
            return self.held + size <= self.limit_bytes
        if self.held + size <= self.limit_bytes * LARGE_SHARE:
            return True
        return not any(
            other.held > SMALL_BYTES
            for other in self.holders
            if other is not holder
        )

    def list_stalled(self, size: int, at: float) -> Iterator[ByteHolder]:
        """Yield clients to close for so many bytes, the most stalled first."""
        excess = self.held + size - self.limit_bytes * LARGE_SHARE
        stalled = (holder for holder in self.holders if holder.is_stalled(at))
        for holder in sorted(stalled, key=lambda each: each.progress_at):
            if excess <= 0:
                return
            excess -= holder.held
            yield holder
