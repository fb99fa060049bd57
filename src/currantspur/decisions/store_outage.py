"""Tell an outage of the store from one of a source of its tables."""

from currantspur.messages.table_updates import NEVER

# A target writes its row every 1.5 s, and the row expires after three of these
# intervals: a shorter outage of the store removes none.
MIN_OUTAGE_S = 3.0


class StoreOutage:
    """The end of the last outage of the store, in monotonic seconds.

    An instance that lost the store alone, or reads through one that did,
    learns of changes meanwhile: no row expires in such an outage.
    """

    __slots__ = ('ended_at', 'last_change_at')

    def __init__(self) -> None:
        self.ended_at = NEVER
        self.last_change_at = NEVER

    def record_end(self, at: float) -> None:
        """Record that calls succeed again here or at a source."""
        if at - self.last_change_at >= MIN_OUTAGE_S:
            self.ended_at = max(self.ended_at, at)

    def record_change(self, at: float) -> None:
        """Record that changed rows arrived."""
        self.last_change_at = at
