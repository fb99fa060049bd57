"""Keep the platform's rows, objects and instances in memory."""

from collections.abc import Iterable

from currantspur.errors import ConflictError, ObjectMissingError
from currantspur.messages import Instance
from currantspur.platform import (
    ABSENT,
    InstanceList,
    ObjectStore,
    Platform,
    Row,
    Table,
    Transaction,
)


class MemoryTable(Table):
    """Keep rows in a mapping; one transaction at a time."""

    __slots__ = ('counts', 'rows', 'version')

    def __init__(self) -> None:
        self.rows: dict[str, Row] = {}
        self.version = 0
        self.counts = {'read': 0, 'write': 0}

    async def read(self, keys: Iterable[str]) -> dict[str, Row]:
        """Return the rows that exist, all as of one moment."""
        self.counts['read'] += 1
        return {key: self.rows[key] for key in keys if key in self.rows}

    async def scan(self, prefix: str, *, limit: int) -> list[Row]:
        """Return the first rows whose keys start with a prefix, in order."""
        self.counts['read'] += 1
        matched = sorted(key for key in self.rows if key.startswith(prefix))
        return [self.rows[key] for key in matched[:limit]]

    async def commit(self, transaction: Transaction) -> dict[str, int]:
        """Write all or nothing; return versions or raise ConflictError."""
        self.counts['write'] += 1
        for key, expected in transaction.conditions.items():
            row = self.rows.get(key)
            found = row.version if row else ABSENT
            if found != expected:
                raise ConflictError(f'{key} has changed')
        self.version += 1
        for key, text in transaction.writes.items():
            self._write(key, text)
        return dict.fromkeys(transaction.writes, self.version)

    def _write(self, key: str, text: str | None) -> None:
        if text is None:
            self.rows.pop(key, None)
        else:
            self.rows[key] = Row(key=key, text=text, version=self.version)


class MemoryObjectStore(ObjectStore):
    """Keep objects in a mapping."""

    __slots__ = ('bodies', 'counts')

    def __init__(self) -> None:
        self.bodies: dict[str, bytes] = {}
        self.counts = {'read': 0, 'write': 0}

    async def put(self, name: str, body: bytes) -> None:
        """Store an object under a name."""
        self.counts['write'] += 1
        self.bodies[name] = body

    async def get(self, name: str) -> bytes:
        """Return an object or raise ObjectMissingError."""
        self.counts['read'] += 1
        if name not in self.bodies:
            raise ObjectMissingError(name)
        return self.bodies[name]


class MemoryInstanceList(InstanceList):
    """Keep the instances that were announced."""

    __slots__ = ('known',)

    def __init__(self) -> None:
        self.known: dict[str, Instance] = {}

    async def announce(self, instance: Instance) -> None:
        """Say that an instance is live or leaving."""
        self.known[instance.name] = instance

    async def list(self) -> tuple[Instance, ...]:
        """Return the instances as the platform last saw them."""
        return tuple(self.known[name] for name in sorted(self.known))


def open_memory_platform() -> Platform:
    """Return an empty platform."""
    return Platform(
        table=MemoryTable(),
        object_store=MemoryObjectStore(),
        instances=MemoryInstanceList(),
    )
