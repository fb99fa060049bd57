"""Pass rows of the store on to peers that ask."""

from collections.abc import Iterable

from currantspur.messages import Rows
from currantspur.messages.relays import Reading, RowsRequest
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Letter
from currantspur.tasks.task import Task

# Keys of removed rows that are remembered, so that peers hear of the removal.
REMOVED_LIMIT = 1000


class KnownTable:
    """Hold the rows of a table and at which revision each changed."""

    __slots__ = ('first_revision', 'removed', 'revisions', 'rows')

    def __init__(self, rows: Rows) -> None:
        self.rows = rows
        self.first_revision = rows.revision
        self.revisions = dict.fromkeys(rows.by_key, rows.revision)
        self.removed: dict[str, int] = {}

    def renew(self, rows: Rows) -> None:
        """Take newer rows and note what changed."""
        before = self.rows.by_key
        for key, value in rows.by_key.items():
            if before.get(key) != value:
                self.revisions[key] = rows.revision
                self.removed.pop(key, None)
        for key in before:
            if key not in rows.by_key:
                self.revisions.pop(key)
                self.removed[key] = rows.revision
        self.rows = rows
        while len(self.removed) > REMOVED_LIMIT:
            oldest = next(iter(self.removed))
            self.first_revision = self.removed.pop(oldest)

    def list_changed(self, after: int) -> dict[str, bytes | None]:
        """Return the rows that changed after a revision."""
        changed: dict[str, bytes | None] = {
            key: self.rows.by_key[key]
            for key, revision in self.revisions.items()
            if revision > after
        }
        for key, revision in self.removed.items():
            if after >= 0 and revision > after:
                changed[key] = None
        return changed


class RowRelay(Task):
    """Answer peers at once, or as soon as something changes."""

    __slots__ = ('clock', 'known', 'waiting')

    def __init__(self, *, clock: Clock) -> None:
        super().__init__()
        self.clock = clock
        self.known: dict[str, KnownTable] = {}
        self.waiting: list[tuple[Letter, RowsRequest]] = []

    def receive(self, letters: Iterable[Letter]) -> None:
        """Take rows and questions, then answer whom it can."""
        for letter in letters:
            message = letter.message
            if isinstance(message, Rows):
                self._learn(message)
            elif isinstance(message, RowsRequest):
                self.waiting.append((letter, message))
        self.waiting = [
            pair for pair in self.waiting if not self._answer(*pair)
        ]

    def _learn(self, rows: Rows) -> None:
        known = self.known.get(rows.table)
        if known is None:
            self.known[rows.table] = KnownTable(rows)
        else:
            known.renew(rows)

    def _answer(self, letter: Letter, request: RowsRequest) -> bool:
        """Answer a question; tell whether it needs no more waiting."""
        if letter.reply is None or letter.reply.done():
            return True
        known = self.known.get(request.table)
        if known is None:
            return False
        if 0 <= request.after < known.first_revision:
            # What changed since then is not known here.
            letter.answer(None)
            return True
        changed = known.list_changed(request.after)
        if request.after >= 0 and not changed:
            return False
        rows = known.rows
        letter.answer(
            Reading(
                by_key=changed,
                revision=rows.revision,
                changed=rows.changed,
                outage_ended_s_ago=self.clock.now() - rows.outage_ended_at,
            )
        )
        return True
