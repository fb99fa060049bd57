"""Define what is read of a table, from the store or from peers."""

from collections.abc import Mapping

from currantspur.messages.base import Message

FOREVER = float('inf')


class RowsRequest(Message):
    """Ask for the rows of a table that changed after a revision."""

    __slots__ = ('after', 'table')

    def __init__(self, *, table: str, after: int) -> None:
        """Take a negative revision to ask for the whole table."""
        self.table = table
        self.after = after


class Reading(Message):
    """Hold rows of a table; a value of None says that the row is gone."""

    __slots__ = ('by_key', 'changed', 'outage_ended_s_ago', 'revision')

    def __init__(
        self,
        *,
        by_key: Mapping[str, bytes | None],
        revision: int,
        changed: int = -1,
        outage_ended_s_ago: float = FOREVER,
    ) -> None:
        """Take the store's revision and that of the newest of these rows.

        A peer that answers for the store tells when an outage last ended.
        """
        self.by_key = by_key
        self.revision = revision
        self.changed = changed
        self.outage_ended_s_ago = outage_ended_s_ago
