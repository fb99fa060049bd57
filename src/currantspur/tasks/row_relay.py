"""Pass rows of the store on to peers that ask."""

from collections.abc import Iterable

from currantspur.messages import TableSnapshot
from currantspur.messages.table_rows import RowsRequest, RowsResponse
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Envelope
from currantspur.tasks.task import Task

# Keys of removed rows that are remembered, so that peers hear of the removal.
REMOVED_LIMIT = 1000


class TableHistory:
    """Hold the rows of a table and at which revision each changed."""

    __slots__ = (
        'oldest_revision',
        'removal_revision_by_key',
        'revision_by_key',
        'rows',
    )

    def __init__(self, rows: TableSnapshot) -> None:
        self.rows = rows
        self.oldest_revision = rows.revision
        self.revision_by_key = dict.fromkeys(rows.rows_by_key, rows.revision)
        self.removal_revision_by_key: dict[str, int] = {}

    def update(self, rows: TableSnapshot) -> None:
        """Take newer rows and note what changed."""
        before = self.rows.rows_by_key
        for key, value in rows.rows_by_key.items():
            if before.get(key) != value:
                self.revision_by_key[key] = rows.revision
                self.removal_revision_by_key.pop(key, None)
        for key in before:
            if key not in rows.rows_by_key:
                self.revision_by_key.pop(key)
                self.removal_revision_by_key[key] = rows.revision
        self.rows = rows
        while len(self.removal_revision_by_key) > REMOVED_LIMIT:
            oldest = next(iter(self.removal_revision_by_key))
            self.oldest_revision = self.removal_revision_by_key.pop(oldest)

    def list_changed(self, after: int) -> dict[str, bytes | None]:
        """Return the rows that changed after a revision."""
        changed: dict[str, bytes | None] = {
            key: self.rows.rows_by_key[key]
            for key, revision in self.revision_by_key.items()
            if revision > after
        }
        for key, revision in self.removal_revision_by_key.items():
            if after >= 0 and revision > after:
                changed[key] = None
        return changed


class RowRelay(Task):
    """Answer peers at once, or as soon as something changes."""

    __slots__ = ('clock', 'histories', 'waiting')

    def __init__(self, *, clock: Clock) -> None:
        super().__init__()
        self.clock = clock
        self.histories: dict[str, TableHistory] = {}
        self.waiting: list[tuple[Envelope, RowsRequest]] = []

    def receive(self, envelopes: Iterable[Envelope]) -> None:
        """Take rows and questions, then answer whom it can."""
        for envelope in envelopes:
            message = envelope.message
            if isinstance(message, TableSnapshot):
                self._learn(message)
            elif isinstance(message, RowsRequest):
                self.waiting.append((envelope, message))
        self.waiting = [
            pair for pair in self.waiting if not self._answer(*pair)
        ]

    def _learn(self, rows: TableSnapshot) -> None:
        known = self.histories.get(rows.table)
        if known is None:
            self.histories[rows.table] = TableHistory(rows)
        else:
            known.update(rows)

    def _answer(self, envelope: Envelope, request: RowsRequest) -> bool:
        """Answer a question; tell whether it needs no more waiting."""
        if envelope.reply_future is None or envelope.reply_future.done():
            return True
        known = self.histories.get(request.table)
        if known is None:
            return False
        if 0 <= request.after_revision < known.oldest_revision:
            # What changed since then is not known here.
            envelope.set_reply(None)
            return True
        changed = known.list_changed(request.after_revision)
        if request.after_revision >= 0 and not changed:
            return False
        rows = known.rows
        envelope.set_reply(
            RowsResponse(
                rows_by_key=changed,
                revision=rows.revision,
                newest_row_revision=rows.newest_row_revision,
                outage_ended_s_ago=self.clock.now() - rows.outage_ended_at,
            )
        )
        return True
