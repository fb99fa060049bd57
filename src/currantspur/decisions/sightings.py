"""Count how the last exchanges with a target ended."""

from collections import deque
from typing import Literal

KEPT = 20
LEAST = 4
YOUNG_S = 10.0
FAILING_SHARE = 0.5
WORKING_SHARE = 0.9


class Sightings:
    """Keep the ends of the last exchanges with their times."""

    __slots__ = ('ends',)

    def __init__(self) -> None:
        self.ends: deque[tuple[float, bool]] = deque(maxlen=KEPT)

    def add(self, at: float, *, succeeded: bool) -> None:
        """Note the end of an exchange."""
        self.ends.append((at, succeeded))

    def judge(self, at: float) -> Literal['failing', 'working', 'few']:
        """Say what the young ends show."""
        young = [good for seen_at, good in self.ends if at - seen_at <= YOUNG_S]
        if len(young) < LEAST:
            return 'few'
        share = sum(young) / len(young)
        if share <= FAILING_SHARE:
            return 'failing'
        return 'working' if share >= WORKING_SHARE else 'few'
