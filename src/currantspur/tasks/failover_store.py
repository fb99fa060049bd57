"""Store that reads tables from the store itself or from peers."""

from abc import ABC, abstractmethod
from collections.abc import Iterator, Mapping

from currantspur.decisions.row_age import RowAges
from currantspur.decisions.table_sources import STORE_SOURCE
from currantspur.errors import StoreAwayError
from currantspur.messages.table_rows import RowsResponse
from currantspur.tasks.clock import Clock
from currantspur.tasks.journal import Journal
from currantspur.tasks.ports import Store

# A source that did not respond or was stale is not asked for this long, unless
# it is the preferred one and all others are in their cooldown too.
SOURCE_COOLDOWN_S = 2.0
# An instance that reads the store itself, or whose peers know nothing of it,
# asks it again so soon: nobody else tells that it is back.
STORE_COOLDOWN_S = 0.5
# The first poll of the store after a failure tells whether it is back, and from
# which copy; a long one might wait for a change instead.
FIRST_POLL_S = 0.2
# Long polls of the store in place of peers, and the wait for a whole table, are
# this short, so that the preferred source is soon used again.
PEER_LONG_POLL_S = 1.0

# Revision that asks for the whole table instead of changes after a revision.
WHOLE_TABLE = -1


class RelayPort(ABC):
    """Interface that reads rows of the store's tables from peers."""

    __slots__ = ()

    @abstractmethod
    async def fetch(
        self,
        address: str,
        table: str,
        *,
        after: int,
        wait_s: float,
        age_s: float,
    ) -> RowsResponse:
        """Return rows changed after a revision; empty if none within wait_s.

        The peer answers earlier if its rows are younger than age_s by enough.
        Raise HistoryLostError if the peer does not know the changes since that
        revision and StoreAwayError if it does not respond. A negative revision
        asks for the whole table.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections to peers."""


class FailoverStore(Store):
    """Store that asks its sources in order until one responds.

    The next source is asked after a StoreAwayError, but not after a
    HistoryLostError, and the store itself as soon as the rows of a table are
    too old, whatever relays answer.
    """

    __slots__ = (
        'better_source_by_table',
        'clock',
        'cooldown_until',
        'failed_tables',
        'journal',
        'last_source_by_table',
        'relay_client',
        'row_ages',
        'source_order',
        'store',
    )

    def __init__(
        self,
        *,
        store: Store,
        relay_client: RelayPort,
        clock: Clock,
        journal: Journal,
    ) -> None:
        self.store = store
        self.relay_client = relay_client
        self.clock = clock
        self.journal = journal
        self.row_ages = RowAges()
        # Addresses of peers and STORE_SOURCE, preferred source first.
        self.source_order: tuple[str, ...] = (STORE_SOURCE,)
        # Source of the latest call for each table.
        self.last_source_by_table: dict[str, str] = {}
        # A peer that had newer rows of a table, asked first in the next call.
        self.better_source_by_table: dict[str, str] = {}
        # End of the cooldown by table and source, in monotonic seconds.
        self.cooldown_until: dict[tuple[str, str], float] = {}
        # Tables for which the latest call of the store failed.
        self.failed_tables: set[str] = set()

    async def read(self, table: str) -> RowsResponse:
        """Return all rows of a table; raise StoreAwayError if unreachable."""
        return await self._fetch_with_failover(
            table, WHOLE_TABLE, PEER_LONG_POLL_S
        )

    async def read_range(
        self, table: str, from_key: str, to_key: str
    ) -> RowsResponse:
        """Return rows of the store itself; peers serve whole tables only."""
        return await self.store.read_range(table, from_key, to_key)

    async def poll_changes(
        self, table: str, *, after: int, wait_s: float
    ) -> RowsResponse:
        """Return rows changed after a revision; empty if none within wait_s.

        Peers are left as much time as the age of the rows allows, or
        STORE_COOLDOWN_S where they stand in for the store.
        """
        return await self._fetch_with_failover(table, after, wait_s)

    def report_stale(self, table: str, *, better_source: str) -> None:
        """Start the cooldown of a table's latest source; ask another first."""
        self._start_cooldown(
            table, self.last_source_by_table.get(table, STORE_SOURCE)
        )
        self.better_source_by_table[table] = better_source

    async def write(self, table: str, rows: Mapping[str, bytes | None]) -> None:
        """Write rows to the store; peers accept no writes."""
        await self.store.write(table, rows)

    async def close(self) -> None:
        """Close all connections to the store and to peers."""
        await self.store.close()
        await self.relay_client.close()

    async def _fetch_with_failover(
        self, table: str, after: int, wait_s: float
    ) -> RowsResponse:
        failure = StoreAwayError('no source of the table is known')
        for source in self._iterate_sources(table):
            try:
                return await self._fetch_from(source, table, after, wait_s)
            except StoreAwayError as error:
                failure = error
                self._start_cooldown(table, source)
        raise failure

    def _iterate_sources(self, table: str) -> Iterator[str]:
        """Yield the first usable source; then the store, if rows are too old.

        What is usable, and their age, is found anew after each source, as it
        may have taken long to fail.
        """
        tried: set[str] = set()
        while True:
            usable = [
                source
                for source in self._list_usable_sources(table)
                if source not in tried
            ]
            if not usable:
                return
            source = usable[0]
            is_store_due = tried and self._is_too_old(table)
            if is_store_due and STORE_SOURCE in usable:
                age_s = self.row_ages.measure_s(table, self.clock.now())
                self.journal.note(
                    'source_silent',
                    table=table,
                    source=self.last_source_by_table[table],
                    age_s=round(age_s, 3),
                )
                source = STORE_SOURCE
            tried.add(source)
            yield source

    def _is_too_old(self, table: str) -> bool:
        # An instance that prefers the store learns of changes at once.
        return not self._prefers_store() and self.row_ages.is_too_old(
            table, self.clock.now()
        )

    def _start_cooldown(self, table: str, source: str) -> None:
        is_needed = self._prefers_store() or self._is_too_old(table)
        is_store = source == STORE_SOURCE
        cooldown_s = (
            STORE_COOLDOWN_S if is_store and is_needed else SOURCE_COOLDOWN_S
        )
        self.cooldown_until[table, source] = self.clock.now() + cooldown_s
        if source == STORE_SOURCE:
            self.failed_tables.add(table)

    def _prefers_store(self) -> bool:
        return self.source_order[0] == STORE_SOURCE

    async def _fetch_from(
        self, source: str, table: str, after: int, wait_s: float
    ) -> RowsResponse:
        self.last_source_by_table[table] = source
        if source != STORE_SOURCE:
            return await self._fetch_from_peer(source, table, after, wait_s)
        response = await self._fetch_from_store(table, after, wait_s)
        self.failed_tables.discard(table)
        self.row_ages.record(table, self.clock.now() - response.age_s)
        return response

    async def _fetch_from_peer(
        self, source: str, table: str, after: int, wait_s: float
    ) -> RowsResponse:
        """Return what a peer answers; raise StoreAwayError if that is too old.

        Changed rows are of use, however old.
        """
        called_at = self.clock.now()
        # The age does not matter to a relay that is asked for all rows.
        is_poll = after != WHOLE_TABLE
        age_s = self.row_ages.measure_s(table, called_at) if is_poll else 0.0
        longest_s = (
            STORE_COOLDOWN_S
            if self._prefers_store()
            else self.row_ages.find_patience_s(table, called_at)
        )
        response = await self.relay_client.fetch(
            source,
            table,
            after=after,
            wait_s=min(wait_s, longest_s),
            age_s=age_s,
        )
        self.row_ages.record(table, self.clock.now() - response.age_s)
        if self._is_too_old(table) and not response.rows_by_key:
            raise StoreAwayError('peer: no news of the store')
        return response

    async def _fetch_from_store(
        self, table: str, after: int, wait_s: float
    ) -> RowsResponse:
        if after == WHOLE_TABLE:
            return await self.store.read(table)
        if not self._prefers_store():
            wait_s = min(wait_s, PEER_LONG_POLL_S)
        if table in self.failed_tables:
            wait_s = min(wait_s, FIRST_POLL_S)
        return await self.store.poll_changes(table, after=after, wait_s=wait_s)

    def _list_usable_sources(self, table: str) -> tuple[str, ...]:
        """Return sources not in cooldown; if all are, the preferred one."""
        now = self.clock.now()
        better = self.better_source_by_table.pop(table, None)
        order = self.source_order
        if better is not None:
            order = tuple(dict.fromkeys((better, *order)))
        usable = tuple(
            source
            for source in order
            if self.cooldown_until.get((table, source), now) <= now
        )
        return usable or self.source_order[:1]
