"""Define what is done to real daemons, and the promise that each row tries."""

import asyncio
import signal
from abc import ABC, abstractmethod
from collections.abc import Iterator, Sequence

import orjson

from bench.processes import Process, ProcessFleet
from currantspur.load import Hit, Violation
from currantspur.load.caller import LoadRun
from currantspur.load.checks import is_served
from currantspur.messages import Configuration, Drain
from currantspur.messages.base import Message

BEFORE_S = 3.0
FAULT_S = 4.0
IN_FORCE_S = 3.0
DRAINED = 'status-1'


class Stage(Message):
    """Hold what a row may disturb."""

    __slots__ = ('configuration', 'fleet', 'run')

    def __init__(
        self,
        *,
        fleet: ProcessFleet,
        configuration: Configuration,
        run: LoadRun,
    ) -> None:
        self.fleet = fleet
        self.configuration = configuration
        self.run = run

    @property
    def victim(self) -> Process:
        """The daemon that faults strike."""
        return self.fleet.daemons[-1]

    def passed_s(self) -> float:
        """Return the seconds since the load began."""
        return self.run.clock.now() - self.run.started_at

    async def set_faults(self, *faults: dict[str, object]) -> None:
        """Put faults of the platform into effect."""
        url = f'http://{self.fleet.platform_address}/-/faults'
        body = orjson.dumps(list(faults))
        async with self.fleet.session.put(url, data=body) as response:
            response.raise_for_status()


class Scenario(ABC):
    """Disturb a fleet under load."""

    __slots__ = ('done_s',)

    name: str
    promise: str
    load_s = 14.0

    def __init__(self) -> None:
        self.done_s = float('inf')

    @abstractmethod
    async def disturb(self, stage: Stage) -> None:
        """Do what the row is about."""

    def find(self, stage: Stage, hits: Sequence[Hit]) -> Iterator[Violation]:
        """Yield violations of what only this row promises."""
        yield from iter(())


class Quiet(Scenario):
    """Do nothing."""

    __slots__ = ()
    name = 'quiet'
    promise = 'every answer right'

    async def disturb(self, stage: Stage) -> None:
        """Let the load pass."""


class Kill(Scenario):
    """Kill a daemon without notice."""

    __slots__ = ()
    name = 'kill'
    promise = 'at most once, rate over all instances'

    async def disturb(self, stage: Stage) -> None:
        """Kill the last daemon in the middle of the load."""
        await asyncio.sleep(BEFORE_S)
        stage.victim.send(signal.SIGKILL)


class Freeze(Scenario):
    """Stop a daemon past every lapse, then let it go on."""

    __slots__ = ()
    name = 'stop and continue'
    promise = 'at most once, rate over all instances'

    async def disturb(self, stage: Stage) -> None:
        """Pause the last daemon."""
        await asyncio.sleep(BEFORE_S)
        stage.victim.send(signal.SIGSTOP)
        await asyncio.sleep(FAULT_S)
        stage.victim.send(signal.SIGCONT)


class StoreFault(Scenario):
    """Let the platform fail for a while."""

    __slots__ = ('fault', 'name')
    promise = 'at most once, true refusals'

    def __init__(self, name: str, fault: dict[str, object]) -> None:
        super().__init__()
        self.name = name
        self.fault = fault

    async def disturb(self, stage: Stage) -> None:
        """Put the fault into effect and take it away again."""
        await asyncio.sleep(BEFORE_S)
        await stage.set_faults(self.fault)
        await asyncio.sleep(FAULT_S)
        await stage.set_faults()


class Withdraw(Scenario):
    """Withdraw a key while its team sends."""

    __slots__ = ('paused',)
    promise = 'a withdrawn key stops within 3 s'
    team = 'team-5'

    def __init__(self, *, paused: bool) -> None:
        super().__init__()
        self.paused = paused

    @property
    def name(self) -> str:  # type: ignore[override]
        """The name of the row."""
        return (
            'withdrawal while one is stopped' if self.paused else 'withdrawal'
        )

    async def disturb(self, stage: Stage) -> None:
        """Withdraw the key; a paused daemon wakes long after."""
        await asyncio.sleep(BEFORE_S)
        if self.paused:
            stage.victim.send(signal.SIGSTOP)
        stage.configuration.keys = tuple(
            key for key in stage.configuration.keys if key.team != self.team
        )
        await stage.fleet.apply(stage.configuration)
        self.done_s = stage.passed_s()
        if self.paused:
            await asyncio.sleep(FAULT_S)
            stage.victim.send(signal.SIGCONT)

    def find(self, stage: Stage, hits: Sequence[Hit]) -> Iterator[Violation]:
        """Yield requests served with the key after the bound."""
        latest_s = self.done_s + IN_FORCE_S
        for hit in hits:
            mix = hit.shot.mix
            is_late = hit.sent_s > latest_s and is_served(hit)
            if mix is not None and mix.team == self.team and is_late:
                yield Violation(
                    promise=self.promise,
                    example=f'sent {hit.sent_s - self.done_s:.2f} s after',
                )


class DrainTarget(Scenario):
    """Drain a target while it works."""

    __slots__ = ('runs_before',)
    name = 'drain of a target'
    promise = 'no new work on it after 3 s'

    def __init__(self) -> None:
        super().__init__()
        self.runs_before = 0

    async def disturb(self, stage: Stage) -> None:
        """Start the drain and count what ran until it must be in force."""
        await asyncio.sleep(BEFORE_S)
        stage.configuration.drains = (
            Drain(drain_id='d', scope='target', name=DRAINED),
        )
        await stage.fleet.apply(stage.configuration)
        await asyncio.sleep(IN_FORCE_S)
        self.runs_before = self._count(stage)

    def find(self, stage: Stage, hits: Sequence[Hit]) -> Iterator[Violation]:
        """Yield new work on the target."""
        late = self._count(stage) - self.runs_before
        if late:
            yield Violation(promise=self.promise, example=f'{late} requests')

    def _count(self, stage: Stage) -> int:
        return stage.fleet.targets[DRAINED].runs.total()


class Leave(Scenario):
    """Stop a daemon gracefully."""

    __slots__ = ('exit_code',)
    name = 'planned stop'
    promise = 'no request is cut'

    def __init__(self) -> None:
        super().__init__()
        self.exit_code = 0

    async def disturb(self, stage: Stage) -> None:
        """Ask the last daemon to leave; callers that ask again move away."""
        await asyncio.sleep(BEFORE_S)
        leaving = stage.victim.address
        stop = asyncio.create_task(stage.victim.stop())
        others = [entry for entry in stage.run.spec.entries if entry != leaving]
        stage.run.spec.entries = tuple(others)
        stage.run.moved = {leaving: others[0]}
        self.exit_code = await stop

    def find(self, stage: Stage, hits: Sequence[Hit]) -> Iterator[Violation]:
        """Yield cut requests and a failed exit."""
        if self.exit_code:
            yield Violation(promise='exit 0', example=str(self.exit_code))
        for hit in hits:
            if hit.status == 0:
                yield Violation(
                    promise=self.promise,
                    example=f'{hit.code} sent at {hit.sent_s:.2f} s',
                )


class Together(Scenario):
    """Let two scenarios happen at once."""

    __slots__ = ('first', 'name', 'promise', 'second')

    def __init__(self, first: Scenario, second: Scenario) -> None:
        super().__init__()
        self.first = first
        self.second = second
        self.name = f'{first.name} and {second.name}'
        self.promise = f'{first.promise}; {second.promise}'

    async def disturb(self, stage: Stage) -> None:
        """Do both."""
        await asyncio.gather(
            self.first.disturb(stage), self.second.disturb(stage)
        )

    def find(self, stage: Stage, hits: Sequence[Hit]) -> Iterator[Violation]:
        """Yield what either finds."""
        yield from self.first.find(stage, hits)
        yield from self.second.find(stage, hits)


def list_scenarios() -> Iterator[Scenario]:
    """Yield every row of the table."""
    outage: dict[str, object] = {'kind': 'outage'}
    slow: dict[str, object] = {'kind': 'slow', 'seconds': 1.0}
    lost: dict[str, object] = {'kind': 'lost_answer', 'calls': ['commit']}
    cut: dict[str, object] = {'kind': 'outage', 'parties': ['entry-3']}
    yield Quiet()
    yield Kill()
    yield Freeze()
    yield StoreFault('store outage', outage)
    yield StoreFault('slow store', slow)
    yield StoreFault('lost store answers', lost)
    yield StoreFault('one instance cut from the platform', cut)
    yield Withdraw(paused=False)
    yield Withdraw(paused=True)
    yield DrainTarget()
    yield Leave()
    yield Together(Freeze(), StoreFault('store outage', outage))
    yield Together(Kill(), StoreFault('lost store answers', lost))
