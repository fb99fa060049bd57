"""The followers of one instance, which read the same store."""

from collections.abc import Callable, Mapping

from currantspur.messages.revisions import get_era
from currantspur.tasks.table_follower import TableFollower


class FollowerGroup:
    """Tell each follower what the others and the peers have read."""

    __slots__ = ('by_table', 'era_listeners')

    def __init__(self) -> None:
        self.by_table: dict[str, TableFollower] = {}
        # Called with the era of the store when a table was read whole.
        self.era_listeners: list[Callable[[int], None]] = []

    def add(self, follower: TableFollower) -> None:
        """Add the follower of a table."""
        self.by_table[follower.table] = follower

    def list_newest_revisions(self) -> Mapping[str, int]:
        """Return the newest known row revision by table."""
        return {
            table: follower.newest_row_revision
            for table, follower in self.by_table.items()
        }

    def measure_age_s(self, table: str, at: float) -> float:
        """Return the seconds since the store confirmed the rows of a table."""
        return at - self.by_table[table].confirmed_at

    def get_era(self, table: str) -> int:
        """Return the era of the store in which a table was read, or -1."""
        return get_era(self.by_table[table].highest_revision)

    def check_peer_revisions(
        self, revisions: Mapping[str, int], at: float, peer: str
    ) -> None:
        """Compare the newest row revisions of a peer with those known here."""
        # The store returns to a copy of all tables at once.
        self.expect_era(max(map(get_era, revisions.values()), default=0))
        for table, follower in self.by_table.items():
            follower.check_peer_revision(
                revisions.get(table, -1), at, peer=peer
            )

    def record_era(self, era: int) -> None:
        """Tell the other followers and the listeners what one has read."""
        self.expect_era(era)
        for listener in self.era_listeners:
            listener(era)

    def poll_again(self) -> None:
        """Replace the polls of all tables, as calls of one succeed again."""
        for follower in self.by_table.values():
            follower.poll_again()

    def expect_era(self, era: int) -> None:
        """Let all tables be read again that are of an earlier era."""
        for follower in self.by_table.values():
            follower.expect_era(era)

    def follow_relays(self, *, is_relayed: bool, has_readers: bool) -> None:
        """Allow for the delay of relays if tables are read through some."""
        for follower in self.by_table.values():
            follower.follow_relays(
                is_relayed=is_relayed, has_readers=has_readers
            )
