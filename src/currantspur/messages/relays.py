"""Define what instances pass on to each other of what the store said."""

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


class RowsAnswer(Message):
    """Hold changed rows; a value of None says that the row is gone."""

    __slots__ = (
        'by_key',
        'changed',
        'is_known',
        'outage_ended_s_ago',
        'revision',
    )

    def __init__(
        self,
        *,
        by_key: Mapping[str, bytes | None],
        revision: int,
        changed: int = -1,
        outage_ended_s_ago: float = FOREVER,
        is_known: bool = True,
    ) -> None:
        """Take the store's revision and the newest one of these rows.

        An answer that is not known says that this instance cannot tell what
        changed after the revision asked for.
        """
        self.by_key = by_key
        self.revision = revision
        self.changed = changed
        self.outage_ended_s_ago = outage_ended_s_ago
        self.is_known = is_known


class SourceOrder(Message):
    """Name whom to read from, first choice first."""

    __slots__ = ('sources',)

    def __init__(self, *, sources: tuple[str, ...]) -> None:
        """Take addresses of peers; the empty text is the store itself."""
        self.sources = sources
