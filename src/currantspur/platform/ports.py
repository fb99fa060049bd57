"""Define what the platform offers: a table, objects, a list of instances."""

from abc import ABC, abstractmethod
from collections.abc import Iterable, Mapping

from currantspur.messages import Instance, Message

ABSENT = 0


class Row(Message):
    """Hold a row's text and the version that its last write gave it."""

    __slots__ = ('key', 'text', 'version')

    def __init__(self, *, key: str, text: str, version: int) -> None:
        self.key = key
        self.text = text
        self.version = version


class Transaction(Message):
    """Write rows together if every condition holds."""

    __slots__ = ('conditions', 'writes')

    def __init__(
        self,
        *,
        conditions: Mapping[str, int],
        writes: Mapping[str, str | None],
    ) -> None:
        """Take the row versions expected (ABSENT: none) and texts to write."""
        self.conditions = dict(conditions)
        self.writes = dict(writes)


class Table(ABC):
    """Read and write rows; every method may raise PlatformAwayError."""

    __slots__ = ()

    @abstractmethod
    async def read(self, keys: Iterable[str]) -> dict[str, Row]:
        """Return the rows that exist, all as of one moment."""

    @abstractmethod
    async def scan(self, prefix: str, *, limit: int) -> list[Row]:
        """Return the first rows whose keys start with a prefix, in order."""

    @abstractmethod
    async def commit(self, transaction: Transaction) -> dict[str, int]:
        """Write all or nothing; return versions or raise ConflictError."""


class ObjectStore(ABC):
    """Keep immutable objects; every method may raise PlatformAwayError."""

    __slots__ = ()

    @abstractmethod
    async def put(self, name: str, body: bytes) -> None:
        """Store an object under a name."""

    @abstractmethod
    async def get(self, name: str) -> bytes:
        """Return an object or raise ObjectMissingError."""


class InstanceList(ABC):
    """List live and leaving instances, late; may raise PlatformAwayError."""

    __slots__ = ()

    @abstractmethod
    async def announce(self, instance: Instance) -> None:
        """Say that an instance is live or leaving."""

    @abstractmethod
    async def list(self) -> tuple[Instance, ...]:
        """Return the instances as the platform last saw them."""


class Platform(Message):
    """Hold the three ports of one platform."""

    __slots__ = ('instances', 'object_store', 'table')

    def __init__(
        self,
        *,
        table: Table,
        object_store: ObjectStore,
        instances: InstanceList,
    ) -> None:
        self.table = table
        self.object_store = object_store
        self.instances = instances
