import asyncio
from collections import Counter
from random import Random

import orjson
import pytest

from currantspur.decisions.claims import is_acceptable, name_claim
from currantspur.errors import ConflictError, PlatformAwayError
from currantspur.messages import (
    Claim,
    ClaimRequest,
    ClaimResult,
    Refusal,
    StoredAnswer,
)
from currantspur.platform import Platform, Transaction
from currantspur.standins import open_memory_platform
from currantspur.standins.faults import Fault, FaultTable, wrap_platform
from currantspur.standins.store import MemoryTable
from currantspur.tasks import ClaimSweep, ClaimTask, SystemClock, claims
from tests.carrying import open_site

DAY_S = 86_400
NOON_S = 1_780_000_000
ANSWERED = 200


async def see(site, entry, path='/submit', **options):
    response, body = await site.call(path, entry=entry, key='k', **options)
    if response.status == ANSWERED:
        return ANSWERED
    error = orjson.loads(body)['error']
    return error['code'], error['not_run']


def lost(*calls, count=None):
    return [Fault(kind='lost_answer', calls=calls, count=count)]


def away(*calls):
    return [Fault(kind='outage', calls=calls)]


AWAY = ('store_away', True)
UNKNOWN = ('outcome_unknown', False)


@pytest.mark.parametrize(
    ('target', 'faults', 'first', 'during', 'after'),
    [
        (None, [], ANSWERED, ANSWERED, ANSWERED),
        (None, lost('commit', count=1), ANSWERED, ANSWERED, ANSWERED),
        (None, lost('commit'), ANSWERED, ANSWERED, ANSWERED),
        (None, lost('commit') + away('read'), AWAY, UNKNOWN, ANSWERED),
        (None, away('commit'), AWAY, ANSWERED, ANSWERED),
        (None, away(), AWAY, ANSWERED, ANSWERED),
        ('shed', [], ('target_failed', True), ANSWERED, ANSWERED),
        ('reset_before_head', [], UNKNOWN, UNKNOWN, UNKNOWN),
        ('wrong_id', [], UNKNOWN, UNKNOWN, UNKNOWN),
        ('stream', [], ANSWERED, UNKNOWN, UNKNOWN),
    ],
)
async def test_duplicates_at_another_entry(
    target, faults, first, during, after, monkeypatch
):
    monkeypatch.setattr(claims, 'RETRY_S', 0.01)
    async with open_site(targets=1, entries=2) as site:
        table = FaultTable(SystemClock(), faults)
        site.entries[0].claims.platform = wrap_platform(
            site.platform, table, party='entry-1'
        )
        found = [await see(site, 0, fault=target)]
        await asyncio.sleep(0.05)
        found.append(await see(site, 1))
        table.replace([])
        await asyncio.sleep(0.05)
        found.append(await see(site, 1))
        assert found == [first, during, after]
        assert site.runs('k') == 1


async def test_many_duplicates_at_once():
    async with open_site(targets=2, entries=3, delay_s=0.02) as site:
        found = await asyncio.gather(
            *[see(site, index % 3) for index in range(30)]
        )
        assert site.runs('k') == 1
        assert set(found) == {ANSWERED, UNKNOWN}


@pytest.mark.parametrize(
    ('leaves_after_s', 'slots', 'runs'), [(0.1, 1, 1), (0.1, 0, 0)]
)
async def test_submissions_outlive_their_caller(leaves_after_s, slots, runs):
    async with open_site(targets=1, slots=slots) as site:
        call = asyncio.create_task(see(site, 0, method='POST', fault='slow'))
        await asyncio.sleep(leaves_after_s)
        call.cancel()
        while site.entries[0].busy():
            await asyncio.sleep(0.01)
        assert site.runs('k') == runs
        site.entries[0].pool.table.parts = {'target-0': 1}
        await asyncio.sleep(0.05)
        assert await see(site, 0, method='POST') == ANSWERED
        assert site.runs('k') == 1


async def test_one_key_for_two_requests():
    async with open_site() as site:
        assert await see(site, 0) == ANSWERED
        assert await see(site, 0, '/submit/2') == ('duplicate', True)


@pytest.mark.parametrize(
    ('key', 'at', 'accepted'),
    [
        ('any', 0, True),
        ('2026-05-28/a', 0, True),
        ('2026-05-29/a', 0, True),
        ('2026-05-30/a', 0, False),
        ('2026-05-21/a', 0, True),
        ('2026-05-20/a', 0, False),
        ('2026-05-20', 0, True),
        ('2026-99-20/a', 0, True),
        ('2026-05-28/a', 7 * DAY_S, True),
        ('2026-05-28/a', 8 * DAY_S, False),
    ],
)
def test_days_of_keys(key, at, accepted):
    assert is_acceptable(key, NOON_S + at) is accepted


def test_rows_of_a_day_stand_together():
    assert name_claim('t', '2026-05-28/a').startswith('claim/2026-05-28/t/')
    assert name_claim('t', 'a').startswith('claim/undated/t/')
    assert name_claim('t', 'a') != name_claim('u', 'a')


class LaterClock(SystemClock):
    __slots__ = ()

    def unix(self):
        return NOON_S


@pytest.mark.parametrize(
    ('day', 'is_kept'),
    [
        ('2026-05-28', True),
        ('2026-05-20', True),
        ('2026-05-19', True),
        ('2026-05-18', False),
        ('2026-05-06', False),
    ],
)
async def test_sweeps_delete_what_is_refused(day, is_kept):
    table = MemoryTable()
    rows = [name_claim('t', f'{day}/{index}') for index in range(300)]
    rows.append(name_claim('t', 'undated'))
    await table.commit(
        Transaction(conditions={}, writes=dict.fromkeys(rows, 'x'))
    )
    sweep = ClaimSweep(table=table, clock=LaterClock(), random=Random(1))
    await sweep.sweep()
    assert len(table.rows) == 1 + 300 * is_kept
    assert is_kept or not is_acceptable(f'{day}/0', NOON_S)


def ask(task, key, attempt):
    return task.mailbox.ask(
        ClaimRequest(
            team='t', idempotency_key=key, attempt_id=attempt, fingerprint='f'
        )
    )


async def test_claims_share_transactions():
    platform = open_memory_platform()
    task = ClaimTask(platform=platform, clock=SystemClock())
    asks = [
        asyncio.create_task(ask(task, f'k-{one}', f'a-{one}'))
        for one in range(50)
    ]
    asks.append(asyncio.create_task(ask(task, 'k-7', 'again')))
    await asyncio.sleep(0)
    task.receive(await task.mailbox.take())
    await task.flush()
    granted = await asyncio.gather(*asks)
    assert sum(isinstance(one, Claim) for one in granted) == 50
    assert isinstance(granted[-1], Refusal)
    assert platform.table.counts['write'] == 2


@pytest.mark.parametrize('size', [0, 4_096, 4_097, 1_000_000])
async def test_answers_of_any_size_come_back(size):
    platform = open_memory_platform()
    task = ClaimTask(platform=platform, clock=SystemClock())
    job = asyncio.create_task(task.run())
    answer = StoredAnswer(
        status=201, headers=(('A', 'b'),), body=bytes([7]) * size
    )
    claim = await ask(task, 'k', 'first')
    task.mailbox.post(ClaimResult(claim=claim, answer=answer))
    await asyncio.sleep(0.05)
    assert await ask(task, 'k', 'second') == answer
    job.cancel()


class LateTable(MemoryTable):
    """Lose answers and let some writes take effect much later."""

    __slots__ = ('random',)

    def __init__(self, random):
        super().__init__()
        self.random = random

    async def read(self, keys):
        await asyncio.sleep(0)
        if self.random.randrange(10) < 2:
            raise PlatformAwayError('read')
        return await super().read(keys)

    async def commit(self, transaction):
        await asyncio.sleep(0)
        fate = self.random.randrange(10)
        if fate < 1:
            raise PlatformAwayError('before')
        if fate < 3:
            delay_s = self.random.random() * 0.01
            asyncio.get_running_loop().call_later(
                delay_s, self.commit_late, transaction
            )
            raise PlatformAwayError('late')
        versions = await super().commit(transaction)
        if fate < 4:
            raise PlatformAwayError('after')
        return versions

    def commit_late(self, transaction):
        work = MemoryTable.commit(self, transaction)
        try:
            work.send(None)
        except (ConflictError, StopIteration):
            return


async def submit(random, task, key, number, runs, said):
    claimed = await ask(task, key, f'attempt-{number}')
    if not isinstance(claimed, Claim):
        not_run = isinstance(claimed, Refusal) and claimed.not_run
        said[key] += not not_run
        return
    fate = random.randrange(10)
    await asyncio.sleep(random.random() * 0.003)
    if fate < 3:
        task.mailbox.post(ClaimResult(claim=claimed))
        return
    runs[key] += 1
    said[key] += 1
    if fate < 8:
        answer = StoredAnswer(status=200, headers=(), body=key.encode())
        task.mailbox.post(ClaimResult(claim=claimed, answer=answer))


@pytest.mark.parametrize('seed', range(12))
async def test_at_most_once_whatever_the_store_does(seed, monkeypatch):
    monkeypatch.setattr(claims, 'RETRY_S', 0.002)
    random = Random(seed)
    platform = open_memory_platform()
    shared = Platform(
        table=LateTable(random),
        object_store=platform.object_store,
        instances=platform.instances,
    )
    tasks = [ClaimTask(platform=shared, clock=SystemClock()) for _ in range(3)]
    jobs = [asyncio.create_task(task.run()) for task in tasks]
    runs, said = Counter(), Counter()
    for batch in range(10):
        await asyncio.gather(
            *[
                submit(
                    random,
                    random.choice(tasks),
                    f'k-{random.randrange(8)}',
                    f'{batch}-{number}',
                    runs,
                    said,
                )
                for number in range(12)
            ]
        )
    assert {job.done() for job in jobs} == {False}
    for job in jobs:
        job.cancel()
    assert runs
    assert max(runs.values()) == 1
    # Whoever heard nothing but "not run" was told the truth.
    assert set(runs) <= {key for key, count in said.items() if count}
