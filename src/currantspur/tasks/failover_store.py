"""Read tables from the store, or from peers that read it."""

from abc import ABC, abstractmethod
from collections.abc import Mapping

from currantspur.decisions.table_sources import STORE
from currantspur.errors import StoreAwayError
from currantspur.messages.table_rows import RowsResponse
from currantspur.tasks.clock import Clock
from currantspur.tasks.ports import Store

# A source that gave no answer is left alone for this long.
SOURCE_COOLDOWN_S = 2.0
# A peer is asked again this often, so that the first choice is soon back.
PEER_LONG_POLL_S = 3.0

# Asks for a whole table instead of what changed after a revision.
WHOLE_TABLE = -1


class RelayPort(ABC):
    """Ask peers for rows of the store's tables."""

    __slots__ = ()

    @abstractmethod
    async def fetch(
        self, address: str, table: str, *, after: int, wait_s: float
    ) -> RowsResponse:
        """Return what changed, or nothing after a while.

        Raise HistoryLostError where the peer cannot tell and StoreAwayError
        where it gave no answer. A negative revision asks for the whole table.
        """

    @abstractmethod
    async def close(self) -> None:
        """Close all connections."""


class FailoverStore(Store):
    """Try sources in order; whoever answers is as good as the store."""

    __slots__ = (
        'avoided_until',
        'clock',
        'last_source_by_table',
        'relays',
        'source_order',
        'store',
    )

    def __init__(
        self, *, store: Store, relays: RelayPort, clock: Clock
    ) -> None:
        self.store = store
        self.relays = relays
        self.clock = clock
        self.source_order: tuple[str, ...] = (STORE,)
        # Whom each table was asked for last.
        self.last_source_by_table: dict[str, str] = {}
        self.avoided_until: dict[tuple[str, str], float] = {}

    async def read(self, table: str) -> RowsResponse:
        """Return all rows of a table; raise StoreAwayError."""
        return await self._try_all(table, WHOLE_TABLE, PEER_LONG_POLL_S)

    async def poll_changes(
        self, table: str, *, after: int, wait_s: float
    ) -> RowsResponse:
        """Return what changed after a revision, or nothing after a while."""
        return await self._try_all(table, after, wait_s)

    def report_stale(self, table: str) -> None:
        """Leave whoever was asked last alone for a while."""
        self._avoid(table, self.last_source_by_table.get(table, STORE))

    async def write(self, table: str, rows: Mapping[str, bytes | None]) -> None:
        """Write rows; only the store takes them."""
        await self.store.write(table, rows)

    async def close(self) -> None:
        """Close all connections."""
        await self.store.close()
        await self.relays.close()

    async def _try_all(
        self, table: str, after: int, wait_s: float
    ) -> RowsResponse:
        failure = StoreAwayError('every source is avoided')
        for source in self._list_sources(table):
            try:
                return await self._ask(source, table, after, wait_s)
            except StoreAwayError as error:
                failure = error
                self._avoid(table, source)
        raise failure

    def _avoid(self, table: str, source: str) -> None:
        self.avoided_until[table, source] = self.clock.now() + SOURCE_COOLDOWN_S

    async def _ask(
        self, source: str, table: str, after: int, wait_s: float
    ) -> RowsResponse:
        self.last_source_by_table[table] = source
        if source != STORE:
            shorter_s = min(wait_s, PEER_LONG_POLL_S)
            return await self.relays.fetch(
                source, table, after=after, wait_s=shorter_s
            )
        if after == WHOLE_TABLE:
            return await self.store.read(table)
        return await self.store.poll_changes(table, after=after, wait_s=wait_s)

    def _list_sources(self, table: str) -> tuple[str, ...]:
        """Return those not avoided; where all are, the first choice."""
        now = self.clock.now()
        usable = tuple(
            source
            for source in self.source_order
            if self.avoided_until.get((table, source), now) <= now
        )
        return usable or self.source_order[:1]
