"""Measure one daemon process under requests and look-ups over HTTP."""

import asyncio
import time
from collections.abc import AsyncIterator, Iterator
from http import HTTPStatus
from statistics import median

import aiohttp
import uvloop

from bench.case import Case, Figure
from bench.processes import ProcessFleet, open_process_fleet
from currantspur.decisions.identity import mint_key
from currantspur.messages import Team
from currantspur.standins.workloads import ETIQUETA_CLARA

CALLS = 2_000
AT_ONCE = 16
WARM = 200
MS_PER_S = 1_000
PLENTY = 1e6
SETTLE_S = 8.0
PERCENT = 100


class HttpCase(Case):
    """Send calls to one daemon and read the processor time it spends."""

    __slots__ = ('name', 'path')

    def __init__(self, name: str, path: str) -> None:
        self.name = name
        self.path = path

    def run(self, seed: int) -> Iterator[Figure]:
        """Yield processor time a call and calls a second for one core."""
        yield from uvloop.run(self._collect())

    async def _collect(self) -> list[Figure]:
        return [figure async for figure in self._measure()]

    async def _measure(self) -> AsyncIterator[Figure]:
        async with open_process_fleet(ETIQUETA_CLARA, ('north-1',)) as opened:
            fleet, configuration = opened
            secret, kept = mint_key('team-1')
            configuration.keys = (kept,)
            configuration.teams = (
                Team(name='team-1', rate=PLENTY, burst=PLENTY),
            )
            for region in configuration.regions:
                region.intake_rate = PLENTY
                region.intake_burst = PLENTY
            await fleet.apply(configuration)
            await fleet.wait_ready()
            await asyncio.sleep(SETTLE_S)
            daemon = fleet.daemons[0]
            headers = {'Authorization': f'Bearer {secret}'}
            url = f'http://{daemon.address}{self.path}'
            await send_calls(url, headers, WARM)
            before_s = daemon.spent_s()
            seconds = await send_calls(url, headers, CALLS)
            spent_s = daemon.spent_s() - before_s
            yield Figure(
                name='processor time a call',
                reading=spent_s / CALLS * MS_PER_S,
                unit='ms',
            )
            yield Figure(
                name='calls a second for one core',
                reading=CALLS / spent_s,
                unit='/s',
            )
            yield Figure(
                name='median latency', reading=median_ms(seconds), unit='ms'
            )
            yield Figure(name='p99 latency', reading=p99_ms(seconds), unit='ms')
            yield Figure(
                name='resident memory', reading=daemon.resident_kb(), unit='KB'
            )


class IdleCase(Case):
    """Let daemons run without callers and read what control costs."""

    __slots__ = ('daemons', 'name', 'zones')

    def __init__(self, *, daemons: int, zones: tuple[str, ...]) -> None:
        self.daemons = daemons
        self.zones = zones
        self.name = f'control of {daemons} daemons in {len(zones)} zones'

    def run(self, seed: int) -> Iterator[Figure]:
        """Yield the share of a core and the memory of a daemon."""
        yield from uvloop.run(self._collect())

    async def _collect(self) -> list[Figure]:
        zones = tuple(
            self.zones[index % len(self.zones)] for index in range(self.daemons)
        )
        async with open_process_fleet(ETIQUETA_CLARA, zones) as opened:
            fleet, configuration = opened
            await fleet.apply(configuration)
            await fleet.wait_ready()
            await asyncio.sleep(SETTLE_S)
            return await self._watch(fleet)

    async def _watch(self, fleet: ProcessFleet) -> list[Figure]:
        watched_s = 10.0
        before = [daemon.spent_s() for daemon in fleet.daemons]
        await asyncio.sleep(watched_s)
        shares = [
            (daemon.spent_s() - spent_s) / watched_s * PERCENT
            for daemon, spent_s in zip(fleet.daemons, before, strict=True)
        ]
        resident = [daemon.resident_kb() for daemon in fleet.daemons]
        return [
            Figure(name='most of a core', reading=max(shares), unit='%'),
            Figure(name='median of a core', reading=median(shares), unit='%'),
            Figure(name='memory of one', reading=max(resident), unit='KB'),
        ]


async def send_calls(
    url: str, headers: dict[str, str], calls: int
) -> list[float]:
    """Send calls, some at once, and return how long each took."""
    left = iter(range(calls))
    seconds: list[float] = []
    async with (
        aiohttp.ClientSession(headers=headers) as session,
        asyncio.TaskGroup() as group,
    ):
        for _ in range(AT_ONCE):
            group.create_task(_call_on(session, url, left, seconds))
    return seconds


async def _call_on(
    session: aiohttp.ClientSession,
    url: str,
    left: Iterator[int],
    seconds: list[float],
) -> None:
    for _ in left:
        began = time.perf_counter()
        async with session.get(url) as response:
            await response.read()
            if response.status != HTTPStatus.OK:
                raise AssertionError(response.status)
        seconds.append(time.perf_counter() - began)


def median_ms(seconds: list[float]) -> float:
    """Return the median in milliseconds."""
    return sorted(seconds)[len(seconds) // 2] * MS_PER_S


def p99_ms(seconds: list[float]) -> float:
    """Return the 99th percentile in milliseconds."""
    return sorted(seconds)[int(len(seconds) * 0.99)] * MS_PER_S


CASES = (
    HttpCase('look-up over HTTP', '/-/entries?client=10.1.2.3'),
    HttpCase('keyed request over HTTP', '/status/7'),
    IdleCase(daemons=1, zones=('north-1',)),
    IdleCase(daemons=6, zones=('north-1', 'south-1')),
    IdleCase(daemons=12, zones=('north-1',)),
)
