"""Count the calls to the platform by mechanism."""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable
from typing import Literal

from currantspur.messages import Instance
from currantspur.platform.ports import (
    InstanceList,
    ObjectStore,
    Platform,
    Row,
    Table,
    Transaction,
)

CallKind = Literal['read', 'write']


class CallCounter(ABC):
    """Take note of calls to the platform."""

    __slots__ = ()

    @abstractmethod
    def count(self, mechanism: str, kind: CallKind) -> None:
        """Count one call that a mechanism makes."""


class CallTally(CallCounter):
    """Keep the counts in a mapping."""

    __slots__ = ('calls',)

    def __init__(self) -> None:
        self.calls: Counter[tuple[str, str]] = Counter()

    def count(self, mechanism: str, kind: CallKind) -> None:
        """Count one call that a mechanism makes."""
        self.calls[mechanism, kind] += 1


class CountedTable(Table):
    """Count the calls to a table."""

    __slots__ = ('counter', 'mechanism', 'table')

    def __init__(
        self, table: Table, counter: CallCounter, mechanism: str
    ) -> None:
        self.table = table
        self.counter = counter
        self.mechanism = mechanism

    async def read(self, keys: Iterable[str]) -> dict[str, Row]:
        """Return the rows that exist, all as of one moment."""
        self.counter.count(self.mechanism, 'read')
        return await self.table.read(keys)

    async def scan(self, prefix: str, *, limit: int) -> list[Row]:
        """Return the first rows whose keys start with a prefix, in order."""
        self.counter.count(self.mechanism, 'read')
        return await self.table.scan(prefix, limit=limit)

    async def commit(self, transaction: Transaction) -> dict[str, int]:
        """Write all or nothing; return versions or raise ConflictError."""
        self.counter.count(self.mechanism, 'write')
        return await self.table.commit(transaction)


class CountedObjectStore(ObjectStore):
    """Count the calls to an object store."""

    __slots__ = ('counter', 'mechanism', 'store')

    def __init__(
        self, store: ObjectStore, counter: CallCounter, mechanism: str
    ) -> None:
        self.store = store
        self.counter = counter
        self.mechanism = mechanism

    async def put(self, name: str, body: bytes) -> None:
        """Store an object under a name."""
        self.counter.count(self.mechanism, 'write')
        await self.store.put(name, body)

    async def get(self, name: str) -> bytes:
        """Return an object or raise ObjectMissingError."""
        self.counter.count(self.mechanism, 'read')
        return await self.store.get(name)


class CountedInstanceList(InstanceList):
    """Count the calls to an instance list."""

    __slots__ = ('counter', 'instances', 'mechanism')

    def __init__(
        self, instances: InstanceList, counter: CallCounter, mechanism: str
    ) -> None:
        self.instances = instances
        self.counter = counter
        self.mechanism = mechanism

    async def announce(self, instance: Instance) -> None:
        """Say that an instance is live or leaving."""
        self.counter.count(self.mechanism, 'write')
        await self.instances.announce(instance)

    async def list(self) -> tuple[Instance, ...]:
        """Return the instances as the platform last saw them."""
        self.counter.count(self.mechanism, 'read')
        return await self.instances.list()


def count_calls(
    platform: Platform, counter: CallCounter, mechanism: str
) -> Platform:
    """Return a platform whose calls count for a mechanism."""
    return Platform(
        table=CountedTable(platform.table, counter, mechanism),
        object_store=CountedObjectStore(
            platform.object_store, counter, mechanism
        ),
        instances=CountedInstanceList(platform.instances, counter, mechanism),
    )
