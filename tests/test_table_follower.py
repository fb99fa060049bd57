import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from currantspur.errors import HistoryLostError, StoreAwayError
from currantspur.messages.table_rows import RowsResponse
from currantspur.pipelines.filter import Filter
from currantspur.tasks import Journal, Mailbox, Store, TableFollower
from currantspur.tasks.table_follower import (
    BATCH_DELAY_S,
    LONG_POLL_S,
    STALE_AFTER_S,
)
from tests.test_admission import NoSink
from tests.virtual import VirtualClock, run_ready_tasks


class Pass(Filter):
    def run(self, stream):
        return iter(stream)


class Script(Store):
    """Answer calls from a list; then wait for ever."""

    def __init__(self, clock, steps):
        self.clock = clock
        self.steps = list(steps)
        self.calls = []

    async def read(self, table):
        return await self.next('read')

    async def poll_changes(self, table, *, after, wait_s):
        assert wait_s == LONG_POLL_S
        return await self.next(f'follow {after}')

    async def next(self, call):
        self.calls.append(call)
        if not self.steps:
            await asyncio.Event().wait()
        step = self.steps.pop(0)
        if isinstance(step, Exception):
            raise step
        return step

    def report_stale(self, table):
        self.calls.append(f'distrust {table}')

    async def write(self, table, rows):
        raise AssertionError

    async def close(self):
        raise AssertionError


def change(revision, changed=None, **by_key):
    return RowsResponse(
        rows_by_key=by_key,
        revision=revision,
        newest_row_revision=revision if changed is None else changed,
    )


AWAY = StoreAwayError('away')
LOST = HistoryLostError('lost')


async def follow(steps, *, seconds=5.0, keep=False):
    clock = VirtualClock()
    store = Script(clock, steps)
    reader = Mailbox()
    follower = TableFollower(
        table='op',
        store=store,
        decoder=Pass(),
        subscribers=(reader,),
        row_relay=Mailbox(),
        clock=clock,
        journal=Journal(sink=NoSink(), clock=clock),
        random=Random(1),
    )
    job = asyncio.create_task(follower.run())
    await clock.advance(seconds)
    if not keep:
        job.cancel()
    return SimpleNamespace(
        follower=follower, store=store, reader=reader, clock=clock, job=job
    )


@pytest.mark.parametrize(
    ('steps', 'calls', 'rows'),
    [
        ([change(3, a=b'1')], ['read', 'follow 3'], {'a': b'1'}),
        (
            [change(3, a=b'1'), change(5, b=b'2')],
            ['read', 'follow 3', 'follow 5'],
            {'a': b'1', 'b': b'2'},
        ),
        (
            [change(3, a=b'1', b=b'2'), change(5, a=None)],
            ['read', 'follow 3', 'follow 5'],
            {'b': b'2'},
        ),
        # Nothing happened for a while.
        (
            [change(3, a=b'1'), change(3)],
            ['read', 'follow 3', 'follow 3'],
            {'a': b'1'},
        ),
        # An outage does not lose the place.
        (
            [change(3, a=b'1'), AWAY, AWAY, change(5, a=b'2')],
            ['read', 'follow 3', 'follow 3', 'follow 3', 'follow 5'],
            {'a': b'2'},
        ),
        # A lost history does: all is read again, what is not there is gone.
        (
            [change(3, a=b'1'), LOST, change(9, b=b'2')],
            ['read', 'follow 3', 'read', 'follow 9'],
            {'b': b'2'},
        ),
        ([AWAY, change(3, a=b'1')], ['read', 'read', 'follow 3'], {'a': b'1'}),
        # An answer older than what is known changes nothing.
        (
            [change(9, a=b'2'), change(4, a=b'1')],
            ['read', 'follow 9', 'follow 9'],
            {'a': b'2'},
        ),
        (
            [change(9, a=b'2'), LOST, change(4, a=b'1'), change(9, a=b'2')],
            ['read', 'follow 9', 'read', 'read', 'follow 9'],
            {'a': b'2'},
        ),
    ],
)
async def test_steps(steps, calls, rows):
    end = await follow(steps)
    assert end.store.calls == calls
    assert end.follower.rows == rows


@pytest.mark.parametrize(
    ('seconds', 'calls'), [(0.1, 2), (BATCH_DELAY_S, 3), (2 * BATCH_DELAY_S, 4)]
)
async def test_changes_that_come_together_take_one_call(seconds, calls):
    steps = [change(3, a=b'1'), change(5, a=b'2'), change(6, a=b'3')]
    end = await follow(steps, seconds=seconds)
    assert len(end.store.calls) == calls


async def test_the_end_of_an_outage_is_told():
    steps = [change(3, a=b'1'), AWAY, change(5, a=b'2')]
    end = await follow(steps)
    told = [envelope.message for envelope in end.reader.get_all_nowait()]
    assert told[0].outage_ended_at == float('-inf')
    assert 0 < told[1].outage_ended_at <= told[1].read_at


@pytest.mark.parametrize(
    ('seen', 'after_s', 'reads'),
    [(3, 1.0, 1), (5, 0.1, 1), (5, STALE_AFTER_S + 0.1, 2)],
)
async def test_a_call_is_given_up_when_behind(seen, after_s, reads):
    end = await follow([change(3, a=b'1')], keep=True)
    now = end.clock.now()
    end.follower.check_peer_revision(seen, now)
    end.follower.check_peer_revision(seen, now + after_s)
    await run_ready_tasks()
    end.job.cancel()
    assert end.store.calls.count('read') == reads
    # Whoever told what is old is asked last from then on.
    assert end.store.calls.count('distrust op') == reads - 1
