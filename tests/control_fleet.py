"""Run the control tasks of a fleet in one process and in virtual time."""

import asyncio

from currantspur.decisions.identity import mint_key
from currantspur.errors import PeerAwayError, PlatformAwayError
from currantspur.messages import (
    Arrival,
    Change,
    Configuration,
    InForce,
    Instance,
    Part,
    Parts,
    Route,
    Team,
)
from currantspur.platform import Platform
from currantspur.platform.versions import HEAD_KEY
from currantspur.settings import print_configuration
from currantspur.standins.faults import FaultTable, wrap_platform
from currantspur.standins.store import (
    MemoryInstanceList,
    MemoryObjectStore,
    MemoryTable,
)
from currantspur.tasks import AdmissionTask, Control, Journal, Task
from currantspur.tasks.clock import Clock
from currantspur.tasks.peers import PeerPort
from currantspur.wire.peer_codec import decode, encode
from tests.virtual import LoopClock

FRESH_S = 1.5
POLL_S = 0.4
HOP_S = 0.005
STORE_S = 0.035
KEPT_SECRET, KEPT = mint_key('team-1')
WITHDRAWN_SECRET, WITHDRAWN = mint_key('team-1')


def describe(*keys):
    return Configuration(
        routes=(Route(prefix='/status', service='status'),),
        teams=(Team(name='team-1', rate=1e6, burst=1e6),),
        keys=keys,
    )


class TimedTable(MemoryTable):
    """Note when each version landed."""

    def __init__(self, clock) -> None:
        super().__init__()
        self.clock = clock
        self.landed = []

    async def read(self, keys):
        await self.clock.sleep(STORE_S)
        return await super().read(keys)

    async def commit(self, transaction):
        await self.clock.sleep(STORE_S / 2)
        versions = await super().commit(transaction)
        if HEAD_KEY in transaction.writes:
            self.landed.append(self.clock.now())
        await self.clock.sleep(STORE_S / 2)
        return versions


class PausableClock(Clock):
    """Let nothing of one instance go on while it is paused."""

    def __init__(self, clock) -> None:
        self.clock = clock
        self.resumed = asyncio.Event()
        self.resumed.set()

    def now(self) -> float:
        return self.clock.now()

    def unix(self) -> float:
        return self.clock.unix()

    async def sleep(self, seconds: float) -> None:
        await self.clock.sleep(seconds)
        await self.resumed.wait()


class PausableFaults(FaultTable):
    """Share the fleet's faults; delays are those of the instance."""

    def __init__(self, clock, fleet) -> None:
        super().__init__(clock)
        self.fleet = fleet

    def strike(self, kind, party, call):
        return self.fleet.faults.strike(kind, party, call)


class FakePeers(PeerPort):
    """Carry questions through a network with cuts, as encoded messages."""

    def __init__(self, fleet, name, clock) -> None:
        self.fleet = fleet
        self.name = name
        self.clock = clock

    async def ask(self, peer, message, *, timeout_s):
        try:
            async with asyncio.timeout(timeout_s):
                return await self.carry(peer, message)
        except TimeoutError:
            raise PeerAwayError(peer.name) from None
        finally:
            await self.clock.resumed.wait()

    async def carry(self, peer, message):
        node = self.fleet.find(peer.peer)
        await asyncio.sleep(HOP_S)
        if node is None:
            raise PeerAwayError(peer.peer)
        if frozenset((self.name, node.name)) in self.fleet.cuts:
            await asyncio.Event().wait()
        await node.clock.resumed.wait()
        question = decode(type(message), encode(message))
        mailbox = node.control.questions()[type(message)]
        answer = await mailbox.ask(question)
        await asyncio.sleep(HOP_S)
        return decode(type(answer), encode(answer))


class FixedShares(Task):
    """Give admission a part that never runs out, with each version."""

    def __init__(self, *, admission) -> None:
        super().__init__()
        self.admission = admission

    def receive(self, letters):
        part = Part(rate=1e6, burst=1e6)
        for letter in letters:
            if isinstance(letter.message, InForce):
                version = letter.message.head.version
                self.admission.post(
                    Parts(by_limit={'team/team-1': part}, version=version)
                )


class Node:
    """Run one instance: its control tasks and its admission."""

    def __init__(self, fleet, name, zone, number) -> None:
        self.name = name
        self.fleet = fleet
        self.clock = PausableClock(fleet.clock)
        self.instance = Instance(
            name=name,
            address=f'10.0.0.{number}:80',
            peer=f'10.0.0.{number}:81',
            availability_zone=zone,
        )
        self.admission = AdmissionTask(clock=self.clock, freshness_s=FRESH_S)
        shares = FixedShares(admission=self.admission.mailbox)
        journal = Journal()
        self.control = Control(
            platform=wrap_platform(
                fleet.platform, PausableFaults(self.clock, fleet), party=name
            ),
            peers=FakePeers(fleet, name, self.clock),
            instance=self.instance,
            clock=self.clock,
            poll_s=POLL_S,
            journal=journal.mailbox,
            readers=[shares.mailbox, self.admission.mailbox],
            seeds=fleet.seeds,
        )
        works = [task.run() for task in (self.admission, shares, journal)]
        works.extend(self.control.runs())
        self.jobs = [asyncio.create_task(work) for work in works]

    async def admits(self, secret) -> bool:
        arrival = Arrival(
            request_id='r', at=0, method='GET', path='/status', key=secret
        )
        passage = await self.admission.mailbox.ask(arrival)
        return passage.refusal is None

    def crash(self) -> None:
        for job in self.jobs:
            job.cancel()


class ControlFleet:
    """Hold the platform, the network and the instances."""

    def __init__(self, zones) -> None:
        self.clock = LoopClock()
        self.faults = FaultTable(self.clock)
        self.table = TimedTable(self.clock)
        self.platform = Platform(
            table=self.table,
            object_store=MemoryObjectStore(),
            instances=MemoryInstanceList(),
        )
        self.cuts = set()
        self.seeds = ()
        self.nodes = {}
        self.zones = {}
        for number, zone in enumerate(zones, start=1):
            self.start(f'entry-{number}', zone, number)
        self.seeds = tuple(
            Instance(
                name='',
                address='',
                peer=node.instance.peer,
                availability_zone='',
            )
            for node in self.nodes.values()
        )

    def start(self, name, zone, number) -> None:
        self.zones[name] = (zone, number)
        self.nodes[name] = Node(self, name, zone, number)

    def restart(self, name) -> None:
        self.nodes[name].crash()
        self.start(name, *self.zones[name])

    def crash(self, name) -> None:
        self.nodes.pop(name).crash()

    def find(self, peer):
        for node in self.nodes.values():
            if node.instance.peer == peer:
                return node
        return None

    def cut(self, names, others) -> None:
        for name in names:
            self.cuts.update(frozenset((name, other)) for other in others)

    def close(self) -> None:
        for name in list(self.nodes):
            self.crash(name)

    def versions(self):
        return {
            name: node.control.follower.version
            for name, node in self.nodes.items()
        }

    def newest_head(self):
        heads = [node.control.follower.head for node in self.nodes.values()]
        return max(heads, key=lambda head: head.version)

    async def commit(self, name, configuration, *, base, change_id, author='a'):
        body = print_configuration(configuration).encode()
        change = Change(
            change_id=change_id,
            base_version=base,
            sections={'configuration': body},
            author=author,
        )
        return await self.nodes[name].control.committer.commit(change)

    async def commit_until_accepted(self, name, configuration, **change):
        """Repeat a change under its id, as an operator would."""
        while True:
            try:
                return await self.commit(name, configuration, **change)
            except PlatformAwayError:
                await self.clock.sleep(1)
