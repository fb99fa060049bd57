"""Bound how old the rows are that an instance reads through relays.

The age of rows is the time since the store itself said that they are the
newest. An answer of a relay does not renew it, unless the relay has heard from
the store since.
"""

from currantspur.messages.table_updates import NEVER

# Relays ask the store about once a second. Rows older than this are asked of
# the store itself: the relays may have lost it, or be lost themselves.
MAX_AGE_S = 1.4
# An instance with a further relay before it gives that one time to do so.
MAX_AGE_PER_RELAY_S = 0.2
# A relay is given at least so long to answer.
MIN_PATIENCE_S = 0.1
# A relay answers a waiting reader without a change once it can make the rows
# younger by so much.
MIN_RENEWAL_S = 0.5


class RowAges:
    """When the store confirmed the rows of each table, in monotonic seconds.

    Rows of an instance behind relays are too old from ``max_age_s`` on.
    """

    __slots__ = ('confirmed_at_by_table', 'max_age_s')

    def __init__(self) -> None:
        self.max_age_s = MAX_AGE_S
        self.confirmed_at_by_table: dict[str, float] = {}

    def set_relay_count(self, relay_count: int) -> None:
        """Set how many relays are between this instance and the store."""
        further_relays = max(0, relay_count - 1)
        self.max_age_s = MAX_AGE_S + MAX_AGE_PER_RELAY_S * further_relays

    def record(self, table: str, confirmed_at: float) -> None:
        """Record that the rows were the newest at a time."""
        self.confirmed_at_by_table[table] = max(
            self.confirmed_at_by_table.get(table, NEVER), confirmed_at
        )

    def measure_s(self, table: str, at: float) -> float:
        """Return the age of the rows, infinite if they were never read."""
        return at - self.confirmed_at_by_table.get(table, NEVER)

    def is_too_old(self, table: str, at: float) -> bool:
        """Tell whether rows that were read are too old."""
        is_known = table in self.confirmed_at_by_table
        return is_known and self.measure_s(table, at) >= self.max_age_s

    def find_patience_s(self, table: str, at: float) -> float:
        """Return how long a relay may take to renew the rows."""
        return max(MIN_PATIENCE_S, self.max_age_s - self.measure_s(table, at))


def can_renew(age_s: float, reader_age_s: float) -> bool:
    """Tell whether rows of this age are of use to a reader without a change."""
    return reader_age_s - age_s >= MIN_RENEWAL_S
