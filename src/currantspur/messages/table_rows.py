"""Request to a peer for rows of a table, and rows from a peer or the store."""

from collections.abc import Mapping

from currantspur.messages.base import Message

NO_OUTAGE_S_AGO = float('inf')


class RowsRequest(Message):
    """Long poll of a peer for the rows that changed after a revision.

    A negative revision requests the whole table. ``age_s`` is how long ago, at
    the time of the request, the store confirmed the rows of the reader: it is
    answered without changes once the peer can tell of a later confirmation.
    """

    __slots__ = ('after_revision', 'age_s', 'table')

    def __init__(
        self, *, table: str, after_revision: int, age_s: float = 0.0
    ) -> None:
        self.table = table
        self.after_revision = after_revision
        self.age_s = age_s


class RowsResponse(Message):
    """Rows of a table by key; a value of None means that the row was removed.

    - ``revision``: the revision of the store at which the rows were read.
    - ``newest_row_revision``: the revision of the newest change among the
      rows, or of the newest known change if a peer responds; -1 if there is
      none.
    - ``outage_ended_s_ago``: seconds since the last outage of the store
      ended, as known to the peer that responds; infinite without an outage
      and in responses of the store.
    - ``age_s``: seconds since the store itself confirmed that these are the
      newest rows; 0 in its own responses.
    """

    __slots__ = (
        'age_s',
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
        outage_ended_s_ago: float = NO_OUTAGE_S_AGO,
        age_s: float = 0.0,
    ) -> None:
        self.age_s = age_s
        self.rows_by_key = rows_by_key
        self.revision = revision
        self.newest_row_revision = newest_row_revision
        self.outage_ended_s_ago = outage_ended_s_ago
