"""Send the shots of a load run and note the hits."""

import asyncio
from collections import Counter
from collections.abc import AsyncIterator, Iterable, Sequence
from hashlib import sha256
from ipaddress import ip_address
from typing import Any

import aiohttp
import orjson

from currantspur.errors import LoadError
from currantspur.load.arrivals import draw_shots
from currantspur.load.checks import (
    AtMostOnce,
    Check,
    RightAnswer,
    TrueNotRun,
    WithinRate,
    run_checks,
)
from currantspur.load.messages import Hit, LoadSpec, Shot
from currantspur.load.report import LoadReport, summarise
from currantspur.settings import split_address
from currantspur.tasks import Clock, SystemClock

NO_ANSWER = 0


class LoadRun:
    """Send each shot at its planned time, whatever the others do."""

    __slots__ = ('clock', 'hits', 'moved', 'session', 'spec', 'started_at')

    def __init__(self, spec: LoadSpec, session: aiohttp.ClientSession) -> None:
        self.spec = spec
        self.session = session
        self.clock: Clock = SystemClock()
        self.started_at = self.clock.now()
        self.hits: list[Hit] = []
        # A caller that looks up again uses another entry from then on.
        self.moved: dict[str, str] = {}

    async def run(self) -> None:
        """Send every shot and wait for all of them to end."""
        async with asyncio.TaskGroup() as group:
            async for shot in self._wait_for(draw_shots(self.spec)):
                group.create_task(self._send(shot))

    async def _wait_for(self, shots: Iterable[Shot]) -> AsyncIterator[Shot]:
        for shot in shots:
            await self.clock.sleep(max(0.0, shot.at_s - self._passed_s()))
            yield shot

    async def _send(self, shot: Shot) -> None:
        sent_s = self._passed_s()
        hit = Hit(shot=shot, sent_s=sent_s, ended_s=sent_s)
        try:
            await self._exchange(shot, hit)
        except (aiohttp.ClientError, TimeoutError) as error:
            hit.status = NO_ANSWER
            hit.code = type(error).__name__
        hit.ended_s = self._passed_s()
        self.hits.append(hit)

    async def _exchange(self, shot: Shot, hit: Hit) -> None:
        body = shot.request_id.encode() if _method(shot) == 'POST' else None
        entry = self.moved.get(shot.entry, shot.entry)
        async with self.session.request(
            _method(shot),
            f'http://{entry}{shot.path}',
            headers=dict(_headers(shot)),
            data=body,
        ) as response:
            hit.status = response.status
            answer = _decode(await response.read())
        error = answer.get('error')
        if isinstance(error, dict):
            hit.code = error['code']
            hit.not_run = error['not_run']
        else:
            hit.is_right = _belongs(answer, shot, body)

    def _passed_s(self) -> float:
        return self.clock.now() - self.started_at


async def run_load(spec: LoadSpec) -> LoadReport:
    """Run a load and check its promises; raise LoadError off loopback."""
    check_loopback((*spec.entries, *spec.targets))
    async with aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(limit=0),
        timeout=aiohttp.ClientTimeout(total=spec.timeout_s),
    ) as session:
        run = LoadRun(spec, session)
        await run.run()
        seconds = run.clock.now() - run.started_at
        runs = await count_runs(session, spec.targets)
    checks = choose_checks(spec, runs)
    return LoadReport(
        seed=spec.seed,
        seconds=seconds,
        teams=tuple(summarise(run.hits)),
        tried={type(check).__name__: check.tried(run.hits) for check in checks},
        violations=tuple(run_checks(checks, run.hits)),
    )


def choose_checks(spec: LoadSpec, runs: Counter[str]) -> list[Check]:
    """Return the checks that a run allows."""
    checks: list[Check] = [RightAnswer()]
    if spec.targets:
        checks += [AtMostOnce(runs), TrueNotRun(runs)]
    return checks + [WithinRate(allowance) for allowance in spec.allowances]


def count_tried(checks: Sequence[Check], hits: Sequence[Hit]) -> Counter[str]:
    """Return how many hits could have broken each promise."""
    tried: Counter[str] = Counter()
    for check in checks:
        tried[type(check).__name__] += check.tried(hits)
    return tried


async def count_runs(
    session: aiohttp.ClientSession, targets: Iterable[str]
) -> Counter[str]:
    """Return how often the targets ran each request."""
    runs: Counter[str] = Counter()
    for target in targets:
        async with session.get(f'http://{target}/-/runs') as response:
            runs.update(orjson.loads(await response.read()))
    return runs


def check_loopback(addresses: Iterable[str]) -> None:
    """Raise LoadError for an address outside the loopback range."""
    for address in addresses:
        if not ip_address(split_address(address)[0]).is_loopback:
            raise LoadError(f'{address}: not a loopback address')


def _method(shot: Shot) -> str:
    return shot.mix.method if shot.mix else 'GET'


def _headers(shot: Shot) -> Iterable[tuple[str, str]]:
    yield 'X-Request-Id', shot.request_id
    if shot.mix and shot.mix.key:
        yield 'Authorization', f'Bearer {shot.mix.key}'
    if shot.submission:
        yield 'Idempotency-Key', shot.submission


def _decode(body: bytes) -> dict[str, Any]:
    try:
        plain = orjson.loads(body)
    except orjson.JSONDecodeError:
        return {}
    return plain if isinstance(plain, dict) else {}


def _belongs(answer: dict[str, Any], shot: Shot, body: bytes | None) -> bool:
    digest = sha256(body or b'').hexdigest()
    if shot.submission:
        # A doubled submission may get the answer stored for the first one.
        return answer.get('path') == shot.path
    wanted = (shot.request_id, shot.path, digest)
    found = (answer.get('request_id'), answer.get('path'), answer.get('digest'))
    return wanted == found
