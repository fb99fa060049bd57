"""Define what is read of a table, from the store or from peers."""

from collections.abc import Mapping

from currantspur.messages.base import Message

FOREVER = float('inf')


class RowsRequest(Message):
    """Ask for the rows of a table that changed after a revision."""

    __slots__ = ('after_revision', 'table')

    def __init__(self, *, table: str, after_revision: int) -> None:
        """Take a negative revision to ask for the whole table."""
        self.table = table
        self.after_revision = after_revision


class RowsResponse(Message):
    """Hold rows of a table; a value of None says that the row is gone."""

    __slots__ = (
        'newest_row_revision',
        'outage_ended_s_ago',
        'revision',
        'rows_by_key',
    )

    def __init__(
        self,
        *,
        rows_by_key: Mapping[str, bytes | None],
        revision: int,
        newest_row_revision: int = -1,
        outage_ended_s_ago: float = FOREVER,
    ) -> None:
        """Take the store's revision and that of the newest of these rows.

        A peer that answers for the store tells when an outage last ended.
        """
        self.rows_by_key = rows_by_key
        self.revision = revision
        self.newest_row_revision = newest_row_revision
        self.outage_ended_s_ago = outage_ended_s_ago
