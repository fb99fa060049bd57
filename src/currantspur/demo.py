"""Run a small fleet on loopback and check what callers see."""

import asyncio
import sys
from collections import Counter
from collections.abc import AsyncIterator
from contextlib import AsyncExitStack
from typing import Any

import aiohttp
import orjson

from currantspur.decisions.identity import mint_key
from currantspur.messages import Drain, Message
from currantspur.standins.fleet import Fleet
from currantspur.standins.workloads import (
    ETIQUETA_CLARA,
    describe_workload,
    name_targets,
)

TEAM = 'team-8'
DRAINED = 'status-1'
OK = 200
UNAUTHORIZED = 401
TOO_MANY = 429
FLOOD = 60
READS = 24


class Step(Message):
    """Say what was tried, what was expected and what came."""

    __slots__ = ('came', 'expected', 'held', 'tried')

    def __init__(
        self, *, tried: str, expected: str, came: str, held: bool
    ) -> None:
        self.tried = tried
        self.expected = expected
        self.came = came
        self.held = held


async def run_demo() -> int:
    """Print what happened; return 0 only if every expectation held."""
    async with AsyncExitStack() as stack:
        fleet = Fleet(stack)
        session = await stack.enter_async_context(aiohttp.ClientSession())
        steps = [step async for step in run_steps(fleet, session)]
    for step in steps:
        sys.stdout.write(_print_step(step))
    return 0 if all(step.held for step in steps) else 1


async def run_steps(
    fleet: Fleet, session: aiohttp.ClientSession
) -> AsyncIterator[Step]:
    """Drive the fleet as callers and operators would."""
    names = name_targets(ETIQUETA_CLARA)
    configuration = describe_workload(
        ETIQUETA_CLARA, await fleet.open_targets(names)
    )
    secret, kept = mint_key(TEAM)
    configuration.keys = (kept,)
    await fleet.open_daemons(('north-1', 'south-1'))
    await fleet.apply(configuration)
    caller = Caller(session, secret)
    base = f'http://{fleet.daemons[0].settings.listen}'
    other = f'http://{fleet.daemons[1].settings.listen}'

    found = await caller.look_up(base, '10.1.2.3')
    yield _expect('look-up from 10.1.2.3', 'entry-1', found[0]['instance'])
    status, answer = await caller.call(f'{base}/status/7')
    yield _expect('keyed request', OK, status)
    yield _expect('its answer', '/status/7', answer.get('path'))
    status, _ = await caller.call(f'{base}/varieties/pais', keyed=False)
    yield _expect('open request without key', OK, status)
    status, _ = await caller.call(f'{base}/status/7', keyed=False)
    yield _expect('keyed route without key', UNAUTHORIZED, status)
    async for step in _submit_twice(fleet, caller, (base, other)):
        yield step
    flood = await caller.flood(f'{base}/status/8')
    yield _expect_that('flood over the rate', '429', flood, TOO_MANY in flood)
    configuration.drains = (Drain(drain_id='d1', scope='target', name=DRAINED),)
    await fleet.apply(configuration)
    before = sum(fleet.targets[DRAINED].runs.values())
    for _ in range(READS):
        await caller.call(f'{base}/varieties/pais', keyed=False)
    after = sum(fleet.targets[DRAINED].runs.values())
    yield _expect('new work on a drained target', 0, after - before)
    configuration.keys = ()
    await fleet.apply(configuration)
    status, answer = await caller.call(f'{base}/status/7')
    yield _expect('withdrawn key', UNAUTHORIZED, status)
    yield _expect('it says not run', True, answer['error']['not_run'])
    seen = [
        line
        for target in fleet.targets.values()
        for line in target.headers_seen
        if secret in line
    ]
    yield _expect('targets that saw the key', 0, len(seen))
    admin = fleet.daemons[0].settings.admin
    async for step in _explain(
        session, admin, fleet.operator.version, fleet.operator_key
    ):
        yield step


class Caller:
    """Send requests with a team's key."""

    __slots__ = ('secret', 'session')

    def __init__(self, session: aiohttp.ClientSession, secret: str) -> None:
        self.session = session
        self.secret = secret

    async def look_up(self, base: str, client: str) -> list[Any]:
        """Return the entries for a client."""
        url = f'{base}/-/entries?client={client}'
        async with self.session.get(url) as response:
            entries: list[Any] = orjson.loads(await response.read())['entries']
            return entries

    async def call(
        self,
        url: str,
        *,
        keyed: bool = True,
        method: str = 'GET',
        submission: str | None = None,
    ) -> tuple[int, Any]:
        """Return the status and the JSON body of an answer."""
        headers = {}
        if keyed:
            headers['Authorization'] = f'Bearer {self.secret}'
        if submission:
            headers['Idempotency-Key'] = submission
        async with self.session.request(
            method, url, headers=headers
        ) as response:
            return response.status, orjson.loads(await response.read())

    async def flood(self, url: str) -> Counter[int]:
        """Send many requests at once and count their statuses."""
        calls = [self.call(url) for _ in range(FLOOD)]
        answers = await asyncio.gather(*calls)
        return Counter(status for status, _ in answers)


async def _submit_twice(
    fleet: Fleet, caller: Caller, bases: tuple[str, str]
) -> AsyncIterator[Step]:
    statuses = []
    for base in bases:
        status, _ = await caller.call(
            f'{base}/submission/label', method='POST', submission='filing-1'
        )
        statuses.append(status)
    yield _expect('submission', OK, statuses[0])
    runs = await fleet.count_runs('filing-1')
    yield _expect('runs of a doubled submission', 1, runs)


async def _explain(
    session: aiohttp.ClientSession,
    admin: str,
    version: int,
    operator_key: str,
) -> AsyncIterator[Step]:
    subject = f'version {version}'
    url = f'http://{admin}/v1/explain'
    async with session.get(
        url,
        params={'subject': subject},
        headers={'Authorization': f'Bearer {operator_key}'},
    ) as response:
        decisions = orjson.loads(await response.read())
    shown = [
        f'{one["subject"]} {one["action"]}: {one["reason"]}'
        f' (author {one["author"]})'
        for one in decisions
    ]
    yield _expect_that(
        'decision explained', subject, shown, len(decisions) == 1
    )


def _expect(tried: str, expected: object, came: object) -> Step:
    return _expect_that(tried, expected, came, expected == came)


def _expect_that(
    tried: str, expected: object, came: object, held: object
) -> Step:
    return Step(
        tried=tried, expected=str(expected), came=str(came), held=bool(held)
    )


def _print_step(step: Step) -> str:
    mark = 'ok  ' if step.held else 'FAIL'
    return f'{mark} {step.tried:32} {step.expected:12} {step.came}\n'
