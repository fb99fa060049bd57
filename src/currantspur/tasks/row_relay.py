"""Task that relays rows of the store's tables to peers."""

from collections.abc import Iterable

from currantspur.decisions.row_age import can_renew
from currantspur.messages import Message, TableConfirmation, TableSnapshot
from currantspur.messages.revisions import get_era
from currantspur.messages.table_rows import RowsRequest, RowsResponse
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Envelope
from currantspur.tasks.task import Task

# Peers that ask within this time for the same changes get the same response,
# which is encoded only once. Its age of the last outage is wrong by as much.
RESPONSE_REUSE_S = 0.5
# Keys of removed rows that are kept per table, so that peers learn of removals.
MAX_REMOVED_KEYS = 1000


class TableHistory:
    """Rows of a table; the revision at which each was first seen or changed."""

    __slots__ = (
        'oldest_revision',
        'removal_revision_by_key',
        'revision_by_key',
        'snapshot',
    )

    def __init__(self, snapshot: TableSnapshot) -> None:
        self.snapshot = snapshot
        # Changes before this revision are not known.
        self.oldest_revision = snapshot.revision
        self.revision_by_key = dict.fromkeys(
            snapshot.rows_by_key, snapshot.revision
        )
        self.removal_revision_by_key: dict[str, int] = {}

    def is_of_era_before(self, snapshot: TableSnapshot) -> bool:
        """Tell whether the store came back from a copy before a snapshot.

        What peers read before need not have been read here.
        """
        return get_era(self.snapshot.revision) != get_era(snapshot.revision)

    def update(self, snapshot: TableSnapshot) -> None:
        """Replace the rows by those of a newer snapshot; record changes."""
        before = self.snapshot.rows_by_key
        for key, value in snapshot.rows_by_key.items():
            if before.get(key) != value:
                self.revision_by_key[key] = snapshot.revision
                self.removal_revision_by_key.pop(key, None)
        for key in before:
            if key not in snapshot.rows_by_key:
                self.revision_by_key.pop(key)
                self.removal_revision_by_key[key] = snapshot.revision
        self.snapshot = snapshot
        while len(self.removal_revision_by_key) > MAX_REMOVED_KEYS:
            oldest = next(iter(self.removal_revision_by_key))
            self.oldest_revision = self.removal_revision_by_key.pop(oldest)

    def list_changed(self, after: int) -> dict[str, bytes | None]:
        """Return rows changed after a revision; None marks a removed row.

        A negative revision returns all rows.
        """
        changed: dict[str, bytes | None] = {
            key: self.snapshot.rows_by_key[key]
            for key, revision in self.revision_by_key.items()
            if revision > after
        }
        for key, revision in self.removal_revision_by_key.items():
            if after >= 0 and revision > after:
                changed[key] = None
        return changed


class CachedResponse(Message):
    """A response to peers that asked for the same changes, and its time."""

    __slots__ = ('made_at', 'response')

    def __init__(self, response: RowsResponse, at: float) -> None:
        self.response = response
        self.made_at = at


class WaitingRequest(Message):
    """A request that cannot be answered yet, and when it was received."""

    __slots__ = ('envelope', 'received_at', 'request')

    def __init__(
        self, envelope: Envelope, request: RowsRequest, at: float
    ) -> None:
        self.envelope = envelope
        self.request = request
        self.received_at = at

    def measure_age_s(self, at: float) -> float:
        """Return how long ago the store confirmed the rows of the reader."""
        return self.request.age_s + at - self.received_at


class RowRelay(Task):
    """Answer row requests of peers at once or when their table changes.

    The reply to a RowsRequest is a RowsResponse, or None if the changes since
    its revision are not known. A request waits until its sender cancels it or
    it can be answered: with changes, or without any once the store has
    confirmed the rows here more recently than those of the reader.
    """

    __slots__ = (
        'clock',
        'confirmed_at_by_table',
        'histories',
        'responses',
        'waiting_requests',
    )

    def __init__(self, *, clock: Clock) -> None:
        super().__init__()
        self.clock = clock
        self.histories: dict[str, TableHistory] = {}
        self.confirmed_at_by_table: dict[str, float] = {}
        self.waiting_requests: list[WaitingRequest] = []
        # By table and revision after which changes were requested.
        self.responses: dict[tuple[str, int], CachedResponse] = {}

    def receive(self, envelopes: Iterable[Envelope]) -> None:
        """Apply snapshots, then reply to all requests that can be answered."""
        for envelope in envelopes:
            message = envelope.message
            if isinstance(message, TableSnapshot):
                self._record_snapshot(message)
            elif isinstance(message, TableConfirmation):
                self.confirmed_at_by_table[message.table] = message.confirmed_at
            elif isinstance(message, RowsRequest):
                self.waiting_requests.append(
                    WaitingRequest(envelope, message, self.clock.now())
                )
        self.waiting_requests = [
            waiting
            for waiting in self.waiting_requests
            if not self._try_reply(waiting)
        ]

    def _record_snapshot(self, snapshot: TableSnapshot) -> None:
        self.responses.clear()
        history = self.histories.get(snapshot.table)
        if history is None or history.is_of_era_before(snapshot):
            self.histories[snapshot.table] = TableHistory(snapshot)
        else:
            history.update(snapshot)

    def _try_reply(self, waiting: WaitingRequest) -> bool:
        """Reply if possible; return whether the request is done."""
        envelope, request = waiting.envelope, waiting.request
        if envelope.reply_future is None or envelope.reply_future.done():
            return True
        history = self.histories.get(request.table)
        if history is None:
            return False
        if 0 <= request.after_revision < history.oldest_revision:
            # Changes since that revision are not known here.
            envelope.set_reply(None)
            return True
        response = self._find_response(request, history)
        is_unchanged = request.after_revision >= 0 and not response.rows_by_key
        if is_unchanged and not self._can_renew(waiting):
            return False
        envelope.set_reply(response)
        return True

    def _can_renew(self, waiting: WaitingRequest) -> bool:
        confirmed_at = self.confirmed_at_by_table.get(waiting.request.table)
        if confirmed_at is None:
            return False
        now = self.clock.now()
        return can_renew(now - confirmed_at, waiting.measure_age_s(now))

    def _find_response(
        self, request: RowsRequest, history: TableHistory
    ) -> RowsResponse:
        now = self.clock.now()
        key = (request.table, request.after_revision)
        cached = self.responses.get(key)
        if cached is not None and now - cached.made_at < RESPONSE_REUSE_S:
            return cached.response
        snapshot = history.snapshot
        response = RowsResponse(
            rows_by_key=history.list_changed(request.after_revision),
            revision=snapshot.revision,
            newest_row_revision=snapshot.newest_row_revision,
            outage_ended_s_ago=now - snapshot.outage_ended_at,
        )
        self.responses[key] = CachedResponse(response, now)
        return response
