"""Follower that keeps a table in memory and publishes every change."""

import asyncio
from collections.abc import Callable, Coroutine, Iterable, Iterator
from random import Random
from typing import Any

from currantspur.decisions.peer_revisions import (
    RELAYED_STALE_AFTER_S,
    STALE_AFTER_S,
    PeerRevisions,
)
from currantspur.decisions.store_outage import StoreOutage
from currantspur.errors import HistoryLostError, StoreAwayError
from currantspur.messages import Message, TableConfirmation, TableSnapshot
from currantspur.messages.revisions import get_era, get_version, make_revision
from currantspur.messages.table_rows import RowsResponse
from currantspur.messages.table_updates import NEVER
from currantspur.pipelines.filter import Filter
from currantspur.tasks.clock import Clock
from currantspur.tasks.journal import Journal
from currantspur.tasks.mailbox import Mailbox
from currantspur.tasks.ports import Store

# A long poll returns without changes after this time. A store that was silent
# never answers the polls that it received meanwhile, nor those whose answer was
# due: with the margin of its client, this bounds how long they are waited for.
LONG_POLL_S = 2.2
# Of relays that read the store: with BATCH_DELAY_S and a slow store, less than
# the age from which their readers ask the store themselves.
RELAY_LONG_POLL_S = 0.8
# A source that has a change answers a poll at once. While that is what matters,
# or whether the source answers at all, it is asked no longer than this.
SHORT_POLL_S = 0.2
# Changes come in groups; the next call fetches all that follow within this
# time. It is less than STALE_AFTER_S, and only a tenth of the time that a
# change may take.
BATCH_DELAY_S = 0.25
# Factors of the waits: the polls of a fleet that learns of a change at once
# must not all meet the same failure of the store.
JITTER_FACTORS = (0.8, 1.0)
# Bounds of the backoff, which doubles with each failed call in a row.
MIN_BACKOFF_S = 0.1
MAX_BACKOFF_S = 0.8


def no_listener(_era: int) -> None:
    """Ignore the era of the store."""


def no_recovery_listener() -> None:
    """Ignore that calls succeed again."""


class TableFollower:
    """Follow one table by long polls; published revisions never decrease."""

    __slots__ = (
        'call_started_at',
        'clock',
        'confirmed_at',
        'decoder',
        'direct_long_poll_s',
        'highest_revision',
        'journal',
        'long_poll_s',
        'newest_row_revision',
        'on_era',
        'on_recovery',
        'outage_since',
        'peers',
        'pending_call',
        'random',
        'revision',
        'row_relay',
        'rows',
        'store',
        'store_outage',
        'subscribers',
        'table',
    )

    def __init__(
        self,
        *,
        table: str,
        store: Store,
        decoder: Filter[TableSnapshot, Message],
        subscribers: Iterable[Mailbox],
        row_relay: Mailbox,
        clock: Clock,
        journal: Journal,
        random: Random,
        on_era: Callable[[int], None] = no_listener,
        on_recovery: Callable[[], None] = no_recovery_listener,
        direct_long_poll_s: float = LONG_POLL_S,
    ) -> None:
        """Start without rows; the decoder turns snapshots into messages.

        Subscribers get these messages. The row relay gets the snapshots
        themselves, for peers. on_era is called with the era of the store when
        the whole table was read, on_recovery when calls succeed again.
        """
        self.table = table
        self.store = store
        self.decoder = decoder
        self.subscribers = tuple(subscribers)
        self.row_relay = row_relay
        self.clock = clock
        self.journal = journal
        self.random = random
        self.on_era = on_era
        self.on_recovery = on_recovery
        # When the store itself last said that the rows are the newest.
        self.confirmed_at = NEVER
        # Negative where the next call must read the whole table.
        self.revision = -1
        self.highest_revision = -1
        # Revision of the newest row known, to compare with peers; -1 if none.
        self.newest_row_revision = -1
        self.rows: dict[str, bytes] = {}
        self.outage_since: float | None = None
        self.store_outage = StoreOutage()
        self.peers = PeerRevisions()
        # Seconds of a long poll where no peers read through this instance.
        self.direct_long_poll_s = direct_long_poll_s
        self.long_poll_s = direct_long_poll_s
        self.pending_call: asyncio.Task[RowsResponse] | None = None
        self.call_started_at = clock.now()

    async def run_after(self, preparation: Coroutine[Any, Any, None]) -> None:
        """Follow the table once the preparation is done."""
        await preparation
        await self.run()

    async def run(self) -> None:
        """Read the table and follow it until cancelled.

        Outages are retried after a jittered exponential backoff.
        """
        backoff_s = MIN_BACKOFF_S
        while True:
            try:
                await self._poll_once()
            except HistoryLostError:
                self.journal.note('history_lost', table=self.table)
                self.revision = -1
            except StoreAwayError as error:
                self._record_outage(error)
                await self.clock.sleep(backoff_s * self.random.uniform(0.5, 1))
                backoff_s = min(MAX_BACKOFF_S, backoff_s * 2)
            else:
                backoff_s = MIN_BACKOFF_S

    def follow_relays(self, *, is_relayed: bool, has_readers: bool) -> None:
        """Allow for the delay of relays if the table is read through some.

        An instance that reads the store for others polls often enough to tell
        them that their rows are the newest; relays pass that on at once.
        """
        is_first_relay = has_readers and not is_relayed
        self.long_poll_s = (
            RELAY_LONG_POLL_S if is_first_relay else self.direct_long_poll_s
        )
        self.peers.stale_after_s = (
            RELAYED_STALE_AFTER_S if is_relayed else STALE_AFTER_S
        )

    def check_peer_revision(
        self, peer_newest_row_revision: int, at: float, *, peer: str
    ) -> None:
        """Compare the newest row revision of a peer with that of this follower.

        If this one stays behind for long, and its call began before it was,
        cancel the call and ask the peer instead.
        """
        self.peers.record(
            peer_newest_row_revision,
            peer=peer,
            is_outage=self.outage_since is not None,
        )
        self.peers.update(at, is_behind=self.is_behind)
        is_stale = self.peers.is_stale_call(self.call_started_at, at)
        if is_stale and self.pending_call is not None:
            self._change_source()
            self.pending_call.cancel()

    def expect_era(self, era: int) -> None:
        """Ask for the rows of a later era of the store than that of the rows.

        Another table or a peer has seen it; a long poll would not tell.
        """
        first_revision = make_revision(era=era, version=0)
        if first_revision <= self.peers.newest:
            return
        self.peers.newest = first_revision
        if self.is_behind and self.pending_call is not None:
            self.peers.behind_since = self.clock.now()
            self.pending_call.cancel()

    def poll_again(self) -> None:
        """Replace a poll, as calls of that time may stay unanswered.

        A call that reads the whole table is known to be lost soon enough.
        """
        if self.revision >= 0 and self.pending_call is not None:
            self.pending_call.cancel()

    @property
    def is_behind(self) -> bool:
        """Whether a peer has newer rows than this follower has read."""
        # Rows read at a later revision contain the change, removals too.
        newest = max(self.revision, self.newest_row_revision)
        return self.revision >= 0 and newest < self.peers.newest

    def _change_source(self) -> None:
        self.journal.note(
            'source_behind',
            table=self.table,
            known=get_version(self.newest_row_revision),
            newest=get_version(self.peers.newest),
            peer=self.peers.peer,
        )
        self.store.report_stale(self.table, better_source=self.peers.peer)

    async def _poll_once(self) -> None:
        if self.revision < 0:
            response = await self._wait_for_call(self.store.read(self.table))
            if response is not None:
                self._replace(response)
            return
        is_behind = self.peers.behind_since is not None and self.is_behind
        # The end of an outage must not be taken from the next change.
        is_short = is_behind or self.outage_since is not None
        response = await self._wait_for_call(
            self.store.poll_changes(
                self.table,
                after=self.revision,
                wait_s=SHORT_POLL_S
                if is_short
                else _vary(self.long_poll_s, self.random),
            )
        )
        if response is None:
            return
        self._merge(response)
        if response.rows_by_key:
            await self.clock.sleep(_vary(BATCH_DELAY_S, self.random))
        elif is_behind and self.is_behind:
            self._change_source()

    async def _wait_for_call(
        self, call: Coroutine[Any, Any, RowsResponse]
    ) -> RowsResponse | None:
        """Wait for a call; return None if check_peer_revision cancelled it."""
        self.call_started_at = self.clock.now()
        self.pending_call = asyncio.ensure_future(call)
        try:
            await asyncio.wait((self.pending_call,))
        except asyncio.CancelledError:
            self.pending_call.cancel()
            raise
        if self.pending_call.cancelled():
            return None
        response = self.pending_call.result()
        self._record_recovery()
        now = self.clock.now()
        self.confirmed_at = max(self.confirmed_at, now - response.age_s)
        # Changed rows follow before the relay gets its turn.
        self.row_relay.post(
            TableConfirmation(table=self.table, confirmed_at=self.confirmed_at)
        )
        self.store_outage.record_end(now - response.outage_ended_s_ago)
        if response.newest_row_revision > self.newest_row_revision:
            self.store_outage.record_change(now)
        return response

    def _replace(self, response: RowsResponse) -> None:
        if response.revision < self.highest_revision:
            # A relay that lost the store gives a whole table at once. Without a
            # cooldown it would be asked again, and not the store.
            self._change_source()
            raise StoreAwayError('the response is older than the known rows')
        known_era = get_era(self.highest_revision)
        if 0 <= known_era < get_era(response.revision):
            # The store came back from a copy.
            self.journal.note(
                'store_restored',
                table=self.table,
                era=get_era(response.revision),
                revision=get_version(response.revision),
                known=get_version(self.highest_revision),
            )
        self.rows = dict(_existing_rows(response))
        self.revision = response.revision
        self.highest_revision = response.revision
        self.newest_row_revision = max(
            self.newest_row_revision, response.newest_row_revision
        )
        self.on_era(get_era(response.revision))
        self._publish()

    def _merge(self, response: RowsResponse) -> None:
        if response.revision < self.revision:
            return
        self.revision = response.revision
        self.highest_revision = response.revision
        if not response.rows_by_key:
            return
        self.newest_row_revision = max(
            self.newest_row_revision, response.newest_row_revision
        )
        for key, value in response.rows_by_key.items():
            if value is None:
                self.rows.pop(key, None)
            else:
                self.rows[key] = value
        self._publish()

    def _publish(self) -> None:
        snapshot = TableSnapshot(
            table=self.table,
            rows_by_key=dict(self.rows),
            revision=self.revision,
            read_at=self.clock.now(),
            newest_row_revision=self.newest_row_revision,
            outage_ended_at=self.store_outage.ended_at,
        )
        self.row_relay.post(snapshot)
        for message in self.decoder.run((snapshot,)):
            for subscriber in self.subscribers:
                subscriber.post(message)

    def _record_outage(self, error: StoreAwayError) -> None:
        if self.peers.behind_since is not None and self.is_behind:
            # Calls that fail at once are never found stale.
            self._change_source()
        if self.outage_since is None:
            self.outage_since = self.clock.now()
            self.journal.note(
                'dependency_lost', table=self.table, cause=str(error)
            )

    def _record_recovery(self) -> None:
        if self.outage_since is None:
            return
        now = self.clock.now()
        self.journal.note(
            'dependency_regained',
            table=self.table,
            away_s=round(now - self.outage_since, 3),
            # A long poll may have waited for a change for most of that time.
            called_s_ago=round(now - self.call_started_at, 3),
        )
        self.outage_since = None
        self.store_outage.record_end(now)
        self.on_recovery()


def _existing_rows(response: RowsResponse) -> Iterator[tuple[str, bytes]]:
    for key, value in response.rows_by_key.items():
        if value is not None:
            yield key, value


def _vary(longest_s: float, random: Random) -> float:
    return longest_s * random.uniform(*JITTER_FACTORS)
