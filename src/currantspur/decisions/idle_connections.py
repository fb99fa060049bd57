"""Decide how long idle connections to targets are kept, and how many."""

# Targets that announce nothing close idle connections after 10 s.
DEFAULT_IDLE_S = 9.0
# A request that is sent as the target closes the connection is lost, so a
# connection is given up this long before the announced time.
MARGIN_S = 1.0
# Longer idle times save few connections and hold descriptors.
MAX_IDLE_S = 30.0
# A quarter of the 1,535 descriptors of the smallest machine; the others are for
# callers, busy targets and peers.
MAX_IDLE_CONNECTIONS = 383


def choose_idle_s(announced_s: float | None) -> float:
    """Return for how many seconds an idle connection is kept, 0 for not at all.

    `announced_s` is the idle timeout that the target announced, if any.
    """
    if announced_s is None:
        return DEFAULT_IDLE_S
    return min(MAX_IDLE_S, max(0.0, announced_s - MARGIN_S))
