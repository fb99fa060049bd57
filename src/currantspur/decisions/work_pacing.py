"""Limit the part of the processor that costly clients take together."""

# Parsing of one chunk, and of one byte of a body that nobody needs.
CHUNK_COST_S = 1e-5
BYTE_COST_S = 4e-9
# Costly work takes at most one part in so many of the processor.
PAUSE_FACTOR = 4


class WorkPacer:
    """Space steps of costly work, in the order in which they are asked for."""

    __slots__ = ('next_at',)

    def __init__(self) -> None:
        self.next_at = 0.0

    def plan_delay_s(self, *, chunks: int, size: int, at: float) -> float:
        """Return how long the client that caused this work has to wait."""
        cost_s = chunks * CHUNK_COST_S + size * BYTE_COST_S
        self.next_at = max(self.next_at, at) + cost_s * PAUSE_FACTOR
        return self.next_at - at
