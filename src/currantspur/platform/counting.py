"""Count the calls to a platform by kind and outcome."""

from collections import Counter
from collections.abc import Awaitable, Callable, Iterable
from typing import TypeVar

from currantspur.errors import (
    ConflictError,
    ObjectMissingError,
    PlatformError,
)
from currantspur.messages import Instance
from currantspur.platform.ports import (
    InstanceList,
    ObjectStore,
    Platform,
    Row,
    Table,
    Transaction,
)

Outcome = TypeVar('Outcome')
ANSWERED = (ConflictError, ObjectMissingError)


class CallCounts:
    """Hold how many calls were answered and how many were not."""

    __slots__ = ('answered', 'failed')

    def __init__(self) -> None:
        self.answered: Counter[str] = Counter()
        self.failed: Counter[str] = Counter()

    async def run(
        self, call: str, work: Callable[[], Awaitable[Outcome]]
    ) -> Outcome:
        """Do the work of a call and count how it ended."""
        try:
            outcome = await work()
        except PlatformError as error:
            counts = self.answered
            if not isinstance(error, ANSWERED):
                counts = self.failed
            counts[call] += 1
            raise
        self.answered[call] += 1
        return outcome


class CountedTable(Table):
    """Pass calls to a table on and count them."""

    __slots__ = ('counts', 'table')

    def __init__(self, table: Table, counts: CallCounts) -> None:
        self.table = table
        self.counts = counts

    async def read(self, keys: Iterable[str]) -> dict[str, Row]:
        """Return the rows that exist, all as of one moment."""
        return await self.counts.run('read', lambda: self.table.read(keys))

    async def scan(self, prefix: str, *, limit: int) -> list[Row]:
        """Return the first rows whose keys start with a prefix, in order."""
        return await self.counts.run(
            'scan', lambda: self.table.scan(prefix, limit=limit)
        )

    async def commit(self, transaction: Transaction) -> dict[str, int]:
        """Write all or nothing; return versions or raise ConflictError."""
        return await self.counts.run(
            'commit', lambda: self.table.commit(transaction)
        )


class CountedObjectStore(ObjectStore):
    """Pass calls to an object store on and count them."""

    __slots__ = ('counts', 'store')

    def __init__(self, store: ObjectStore, counts: CallCounts) -> None:
        self.store = store
        self.counts = counts

    async def put(self, name: str, body: bytes) -> None:
        """Store an object under a name."""
        await self.counts.run('put', lambda: self.store.put(name, body))

    async def get(self, name: str) -> bytes:
        """Return an object or raise ObjectMissingError."""
        return await self.counts.run('get', lambda: self.store.get(name))


class CountedInstanceList(InstanceList):
    """Pass calls to an instance list on and count them."""

    __slots__ = ('counts', 'instances')

    def __init__(self, instances: InstanceList, counts: CallCounts) -> None:
        self.instances = instances
        self.counts = counts

    async def announce(self, instance: Instance) -> None:
        """Say that an instance is live or leaving."""
        await self.counts.run(
            'announce', lambda: self.instances.announce(instance)
        )

    async def list(self) -> tuple[Instance, ...]:
        """Return the instances as the platform last saw them."""
        return await self.counts.run('list', self.instances.list)


def count_calls(platform: Platform, counts: CallCounts) -> Platform:
    """Return a platform whose calls are counted."""
    return Platform(
        table=CountedTable(platform.table, counts),
        object_store=CountedObjectStore(platform.object_store, counts),
        instances=CountedInstanceList(platform.instances, counts),
    )
