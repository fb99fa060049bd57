"""Inject faults from a table into the ports of a platform."""

from collections.abc import Awaitable, Callable, Iterable
from typing import Literal, TypeVar

from currantspur.errors import PlatformAwayError
from currantspur.messages import Instance, Message
from currantspur.platform import (
    InstanceList,
    ObjectStore,
    Platform,
    Row,
    Table,
    Transaction,
)
from currantspur.tasks.clock import Clock

FaultKind = Literal['outage', 'slow', 'slow_answer', 'lost_answer', 'lagging']
Outcome = TypeVar('Outcome')


class Fault(Message):
    """Say what fails, for which callers and calls, and how often."""

    __slots__ = ('calls', 'count', 'kind', 'parties', 'seconds')

    def __init__(
        self,
        *,
        kind: FaultKind,
        parties: Iterable[str] = (),
        calls: Iterable[str] = (),
        seconds: float = 0.0,
        count: int | None = None,
    ) -> None:
        """Take callers and calls (none: all), delay, uses (None: endless)."""
        self.kind = kind
        self.parties = tuple(parties)
        self.calls = tuple(calls)
        self.seconds = seconds
        self.count = count

    def matches(self, kind: str, party: str, call: str) -> bool:
        """Tell whether the fault strikes a call."""
        return (
            self.kind == kind
            and self.count != 0
            and (not self.parties or party in self.parties)
            and (not self.calls or call in self.calls)
        )


class Snapshot(Message):
    """Hold the instance list as it was at a time."""

    __slots__ = ('at', 'instances')

    def __init__(self, *, at: float, instances: Iterable[Instance]) -> None:
        self.at = at
        self.instances = tuple(copy_instance(one) for one in instances)


class FaultTable:
    """Hold the faults in effect and what the instance list said before."""

    __slots__ = ('clock', 'faults', 'snapshots')

    def __init__(self, clock: Clock, faults: Iterable[Fault] = ()) -> None:
        self.clock = clock
        self.faults = list(faults)
        self.snapshots: list[Snapshot] = []

    def replace(self, faults: Iterable[Fault]) -> None:
        """Put other faults into effect."""
        self.faults = list(faults)

    def strike(self, kind: str, party: str, call: str) -> Fault | None:
        """Return a fault that strikes a call and count its use."""
        for fault in self.faults:
            if fault.matches(kind, party, call):
                if fault.count is not None:
                    fault.count -= 1
                return fault
        return None

    def remember(self, instances: Iterable[Instance]) -> None:
        """Keep a copy of the list as it is now."""
        taken = Snapshot(at=self.clock.now(), instances=instances)
        self.snapshots.append(taken)

    def recall(self, seconds: float) -> tuple[Instance, ...]:
        """Return the list as it was that many seconds ago."""
        latest = self.clock.now() - seconds
        found: tuple[Instance, ...] = ()
        for snapshot in self.snapshots:
            if snapshot.at <= latest:
                found = snapshot.instances
        return found


class FaultGate:
    """Apply the faults of a table to the calls of one party."""

    __slots__ = ('party', 'table')

    def __init__(self, table: FaultTable, party: str) -> None:
        self.table = table
        self.party = party

    async def run(
        self, call: str, work: Callable[[], Awaitable[Outcome]]
    ) -> Outcome:
        """Do the work of a call unless a fault strikes it."""
        await self._delay('slow', call)
        if self.table.strike('outage', self.party, call):
            raise PlatformAwayError(f'outage of {call}')
        outcome = await work()
        await self._delay('slow_answer', call)
        if self.table.strike('lost_answer', self.party, call):
            raise PlatformAwayError(f'answer of {call} lost')
        return outcome

    async def _delay(self, kind: FaultKind, call: str) -> None:
        slow = self.table.strike(kind, self.party, call)
        if slow is not None:
            await self.table.clock.sleep(slow.seconds)


class FaultyTable(Table):
    """Pass calls to a table through a gate."""

    __slots__ = ('gate', 'table')

    def __init__(self, table: Table, gate: FaultGate) -> None:
        self.table = table
        self.gate = gate

    async def read(self, keys: Iterable[str]) -> dict[str, Row]:
        """Return the rows that exist, all as of one moment."""
        wanted = list(keys)
        return await self.gate.run('read', lambda: self.table.read(wanted))

    async def scan(self, prefix: str, *, limit: int) -> list[Row]:
        """Return the first rows whose keys start with a prefix, in order."""
        return await self.gate.run(
            'scan', lambda: self.table.scan(prefix, limit=limit)
        )

    async def commit(self, transaction: Transaction) -> dict[str, int]:
        """Write all or nothing; return versions or raise ConflictError."""
        return await self.gate.run(
            'commit', lambda: self.table.commit(transaction)
        )


class FaultyObjectStore(ObjectStore):
    """Pass calls to an object store through a gate."""

    __slots__ = ('gate', 'store')

    def __init__(self, store: ObjectStore, gate: FaultGate) -> None:
        self.store = store
        self.gate = gate

    async def put(self, name: str, body: bytes) -> None:
        """Store an object under a name."""
        await self.gate.run('put', lambda: self.store.put(name, body))

    async def get(self, name: str) -> bytes:
        """Return an object or raise ObjectMissingError."""
        return await self.gate.run('get', lambda: self.store.get(name))


class FaultyInstanceList(InstanceList):
    """Pass calls to an instance list through a gate; it may lag."""

    __slots__ = ('gate', 'instances')

    def __init__(self, instances: InstanceList, gate: FaultGate) -> None:
        self.instances = instances
        self.gate = gate

    async def announce(self, instance: Instance) -> None:
        """Say that an instance is live or leaving."""
        await self.gate.run(
            'announce', lambda: self.instances.announce(instance)
        )
        self.gate.table.remember(await self.instances.list())

    async def list(self) -> tuple[Instance, ...]:
        """Return the instances, as they were if the list lags."""
        listed = await self.gate.run('list', self.instances.list)
        lag = self.gate.table.strike('lagging', self.gate.party, 'list')
        if lag is None:
            return listed
        return self.gate.table.recall(lag.seconds)


def wrap_platform(
    platform: Platform, faults: FaultTable, *, party: str
) -> Platform:
    """Return a platform as one party sees it through the faults."""
    gate = FaultGate(faults, party)
    return Platform(
        table=FaultyTable(platform.table, gate),
        object_store=FaultyObjectStore(platform.object_store, gate),
        instances=FaultyInstanceList(platform.instances, gate),
    )


def copy_instance(instance: Instance) -> Instance:
    """Return an equal instance."""
    return Instance(
        name=instance.name,
        address=instance.address,
        peer=instance.peer,
        availability_zone=instance.availability_zone,
        state=instance.state,
    )
