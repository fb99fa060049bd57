"""Measure what carrying a request adds, holds and keeps fair."""

import asyncio
import time
from collections.abc import AsyncGenerator, Iterator
from contextlib import AsyncExitStack, asynccontextmanager

import aiohttp
import uvloop

from bench.case import Case, Figure
from bench.processes import ProcessFleet, open_process_fleet
from bench.queues import Crowd, Service, Simulation, quantile
from currantspur.decisions.identity import mint_key
from currantspur.decisions.latency_queue import LatencyQueue
from currantspur.decisions.queueing import ArrivalQueue, FairQueue
from currantspur.messages import Configuration, Steering, Team
from currantspur.standins.workloads import ETIQUETA_CLARA

WARM = 200
CALLS = 2_000
CONNECTIONS = 1_000
KEEP_ALIVE_CALLERS = 1_000
PAUSE_S = 1.0
CACHE_S = 2.0
MS_PER_S = 1_000
PERCENT = 100
PLENTY = 1e6
SETTLE_S = 8.0
P99 = 0.99
OK = 200
PATH = '/status/7'
OPEN_PATH = '/varieties/pais'


class Stage:
    """Hold a running fleet and a caller with a key."""

    __slots__ = ('configuration', 'fleet', 'headers', 'session')

    def __init__(
        self,
        fleet: ProcessFleet,
        configuration: Configuration,
        headers: dict[str, str],
        session: aiohttp.ClientSession,
    ) -> None:
        self.fleet = fleet
        self.configuration = configuration
        self.headers = headers
        self.session = session

    async def call(self, address: str, path: str) -> float:
        """Return the seconds that one request took."""
        began = time.perf_counter()
        async with self.session.get(
            f'http://{address}{path}', headers=self.headers
        ) as response:
            await response.read()
            if response.status != OK:
                raise AssertionError(response.status)
        return time.perf_counter() - began


@asynccontextmanager
async def open_stage(*zones: str) -> AsyncGenerator[Stage, None]:
    """Start daemons with one team that may send as much as it likes."""
    async with AsyncExitStack() as stack:
        opened = open_process_fleet(ETIQUETA_CLARA, zones)
        fleet, configuration = await stack.enter_async_context(opened)
        secret, kept = mint_key('team-1')
        configuration.keys = (kept,)
        configuration.teams = (Team(name='team-1', rate=PLENTY, burst=PLENTY),)
        configuration.steering = Steering(cache_s=CACHE_S)
        await fleet.apply(configuration)
        await fleet.wait_ready()
        await asyncio.sleep(SETTLE_S)
        session = await stack.enter_async_context(
            aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0)),
        )
        headers = {'Authorization': f'Bearer {secret}'}
        yield Stage(fleet, configuration, headers, session)


class AddedLatencyCase(Case):
    """Send one request after another, by turns straight and through."""

    __slots__ = ()

    name = 'added latency of an entry'

    def run(self, seed: int) -> Iterator[Figure]:
        """Yield medians and 99th percentiles."""
        yield from uvloop.run(self._measure())

    async def _measure(self) -> list[Figure]:
        async with open_stage('north-1') as stage:
            entry = stage.fleet.daemons[0].address
            target = stage.configuration.targets[0].address
            straight: list[float] = []
            through: list[float] = []
            for number in range(WARM + CALLS):
                direct_s = await stage.call(target, PATH)
                carried_s = await stage.call(entry, PATH)
                if number >= WARM:
                    straight.append(direct_s)
                    through.append(carried_s)
        return [
            _in_ms('straight, median', quantile(straight, 0.5)),
            _in_ms('straight, p99', quantile(straight, P99)),
            _in_ms('through an entry, median', quantile(through, 0.5)),
            _in_ms('through an entry, p99', quantile(through, P99)),
        ]


class ConnectionMemoryCase(Case):
    """Open many connections that each carried one request."""

    __slots__ = ()

    name = 'memory of a connection'

    def run(self, seed: int) -> Iterator[Figure]:
        """Yield the resident memory for each connection."""
        yield from uvloop.run(self._measure())

    async def _measure(self) -> list[Figure]:
        async with open_stage('north-1') as stage:
            daemon = stage.fleet.daemons[0]
            for _ in range(WARM):
                await stage.call(daemon.address, PATH)
            before_kb = daemon.resident_kb()
            kept = await self._open(stage, daemon.address)
            grown_kb = daemon.resident_kb() - before_kb
            for writer in kept:
                writer.close()
        return [
            Figure(name='resident', reading=grown_kb / CONNECTIONS, unit='KB')
        ]

    async def _open(
        self, stage: Stage, address: str
    ) -> list[asyncio.StreamWriter]:
        kept = []
        host, _, port = address.rpartition(':')
        key = stage.headers['Authorization']
        lines = (
            f'GET {PATH} HTTP/1.1\r\nHost: x\r\nAuthorization: {key}\r\n\r\n'
        )
        for _ in range(CONNECTIONS):
            reader, writer = await asyncio.open_connection(host, int(port))
            writer.write(lines.encode())
            head = await reader.readuntil(b'\r\n\r\n')
            if f' {OK} '.encode() not in head:
                raise AssertionError(head)
            kept.append(writer)
        return kept


class FloodCase(Case):
    """Let one team send five times its rate, on a simulated clock."""

    __slots__ = ()

    name = 'flood of one team'

    def run(self, seed: int) -> Iterator[Figure]:
        """Yield what the other teams see under each policy."""
        rates = {'large': 60.0, 'middle': 30.0, 'small': 4.0, 'tiny': 2.0}
        crowd = Crowd(rates=rates, flooder='large', excess=5)
        service = Service(slots=12, seconds=0.1, deadline_s=1)
        for policy in (ArrivalQueue(), FairQueue(), LatencyQueue()):
            simulation = Simulation(policy=policy, crowd=crowd, service=service)
            tallies = simulation.run(seed=seed, seconds=60)
            others = [
                tally
                for team, tally in tallies.items()
                if team != crowd.flooder
            ]
            named = type(policy).__name__
            waits = max(quantile(tally.waits, P99) for tally in others)
            refused = max(tally.refused_share for tally in others)
            yield _in_ms(f'{named}, worst p99 of others', waits)
            yield Figure(
                name=f'{named}, worst refused of others',
                reading=refused * PERCENT,
                unit='%',
            )


class LeavingCase(Case):
    """Stop instances one after another under keep-alive callers."""

    __slots__ = ()

    name = 'leaving under keep-alive callers'

    def run(self, seed: int) -> Iterator[Figure]:
        """Yield how many requests were sent and how many cut."""
        yield from uvloop.run(self._measure())

    async def _measure(self) -> list[Figure]:
        zones = ('north-1', 'north-1', 'north-1')
        async with open_stage(*zones) as stage:
            addresses = [one.address for one in stage.fleet.daemons]
            stopped = asyncio.Event()
            callers = [
                KeepAliveCaller(stage, addresses, number)
                for number in range(KEEP_ALIVE_CALLERS)
            ]
            async with asyncio.TaskGroup() as group:
                for caller in callers:
                    group.create_task(caller.run(stopped))
                codes = [
                    await daemon.stop() for daemon in stage.fleet.daemons[:2]
                ]
                stopped.set()
        return [
            _count('sent', sum(caller.sent for caller in callers)),
            _count('cut', sum(caller.cut for caller in callers)),
            _count('exits other than 0', sum(map(bool, codes))),
        ]


class KeepAliveCaller:
    """Keep a connection and an answer to a look-up as long as told."""

    __slots__ = ('addresses', 'cut', 'entry', 'sent', 'stage', 'until')

    def __init__(self, stage: Stage, addresses: list[str], number: int) -> None:
        self.stage = stage
        first = number % len(addresses)
        self.addresses = addresses[first:] + addresses[:first]
        self.entry = ''
        self.until = 0.0
        self.sent = 0
        self.cut = 0

    async def run(self, stopped: asyncio.Event) -> None:
        """Send a request after each pause until told to stop."""
        while not stopped.is_set():
            await self._look_up()
            self.sent += 1
            try:
                await self.stage.call(self.entry, OPEN_PATH)
            except (aiohttp.ClientError, AssertionError):
                self.cut += 1
            await asyncio.sleep(PAUSE_S)

    async def _look_up(self) -> None:
        now = time.monotonic()
        if now < self.until:
            return
        for address in self.addresses:
            url = f'http://{address}/-/entries?client=10.1.0.1'
            try:
                async with self.stage.session.get(url) as response:
                    answer = await response.json()
            except aiohttp.ClientError:
                continue
            self.entry = answer['entries'][0]['address']
            self.until = now + answer['cache_s']
            return


def _in_ms(name: str, seconds: float) -> Figure:
    return Figure(name=name, reading=seconds * MS_PER_S, unit='ms')


def _count(name: str, number: int) -> Figure:
    return Figure(name=name, reading=number, unit='')


CASES = (
    AddedLatencyCase(),
    ConnectionMemoryCase(),
    FloodCase(),
    LeavingCase(),
)
