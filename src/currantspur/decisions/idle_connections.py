"""Decide how long idle connections to targets are kept, and how many."""

from collections import OrderedDict

# Targets that announce nothing close idle connections after 10 s.
DEFAULT_IDLE_S = 9.0
# A request that is sent as the target closes the connection is lost, so a
# connection is given up this long before the announced time.
MARGIN_S = 1.0
# Longer idle times save few connections and hold descriptors.
MAX_IDLE_S = 30.0
# Of the descriptors that the process may open; the others are for callers, busy
# targets, the store and peers.
IDLE_FD_SHARE = 0.25
# Part of the idle time at which a target closed a connection. Its timer may
# run from its last byte, and for a connection that it opened long before.
LEARNED_FACTOR = 0.5
# Seconds that a learned time grows by in a second: a target that was restarted
# has its usual time again within 90 s.
GROWTH_PER_S = 0.1
# The targets of a large service.
MAX_LEARNED_TARGETS = 1024
# A connection that was closed while it was idle is reset by the first bytes of
# a request, after one round trip. A later end has another cause.
MAX_RESET_S = 0.35


def choose_idle_s(announced_s: float | None) -> float:
    """Return for how many seconds an idle connection is kept, 0 for not at all.

    `announced_s` is the idle timeout that the target announced, if any.
    """
    if announced_s is None:
        return DEFAULT_IDLE_S
    return min(MAX_IDLE_S, max(0.0, announced_s - MARGIN_S))


def bound_idle_connections(max_fds: float) -> int:
    """Return how many connections may be idle in a process."""
    return max(1, int(IDLE_FD_SHARE * max_fds))


class IdleTimes:
    """Learn by address for how long a target keeps idle connections."""

    __slots__ = ('learned',)

    def __init__(self) -> None:
        # Learned seconds and when they were learned, the oldest first.
        self.learned: OrderedDict[str, tuple[float, float]] = OrderedDict()

    def choose_s(
        self, address: str, *, announced_s: float | None, at: float
    ) -> float:
        """Return for how many seconds to keep an idle connection."""
        return min(choose_idle_s(announced_s), self._get_learned_s(address, at))

    def record_early_close(
        self, address: str, *, idle_s: float, at: float
    ) -> bool:
        """Learn from a connection that the target closed after `idle_s`.

        Return whether nothing was learned of the target before.
        """
        previous_s = self._get_learned_s(address, at)
        is_new = address not in self.learned
        self.learned[address] = (min(previous_s, LEARNED_FACTOR * idle_s), at)
        self.learned.move_to_end(address)
        if len(self.learned) > MAX_LEARNED_TARGETS:
            self.learned.popitem(last=False)
        return is_new

    def _get_learned_s(self, address: str, at: float) -> float:
        """Return the learned seconds, infinite if there are none any more."""
        learned = self.learned.get(address)
        if learned is None:
            return float('inf')
        learned_s, learned_at = learned
        current_s = learned_s + GROWTH_PER_S * (at - learned_at)
        if current_s < MAX_IDLE_S:
            return current_s
        self.learned.pop(address)
        return float('inf')
