import asyncio
from random import Random
from types import SimpleNamespace

import pytest

from currantspur.decisions.peer_revisions import STALE_AFTER_S
from currantspur.errors import HistoryLostError, StoreAwayError
from currantspur.messages.table_rows import RowsResponse
from currantspur.pipelines.filter import Filter
from currantspur.tasks import Journal, Mailbox, Store, TableFollower
from currantspur.tasks.table_follower import (
    BATCH_DELAY_S,
    JITTER_FACTORS,
    LONG_POLL_S,
    SHORT_POLL_S,
)
from tests.test_admission import NullSink
from tests.virtual import VirtualClock, run_ready_tasks


class PassThrough(Filter):
    """Yield table snapshots unchanged."""

    def run(self, stream):
        return iter(stream)


class ScriptedStore(Store):
    """Respond to calls from a list, then leave all further calls waiting."""

    def __init__(self, clock, responses):
        self.clock = clock
        self.responses = list(responses)
        self.calls = []

    async def read(self, table):
        return await self.respond('read')

    async def read_range(self, table, from_key, to_key):
        raise AssertionError('a follower reads whole tables')

    async def poll_changes(self, table, *, after, wait_s):
        shortest_s = LONG_POLL_S * min(JITTER_FACTORS)
        assert wait_s == SHORT_POLL_S or shortest_s <= wait_s <= LONG_POLL_S
        return await self.respond(f'poll {after}')

    async def respond(self, call):
        self.calls.append(call)
        if not self.responses:
            await asyncio.Event().wait()
        response = self.responses.pop(0)
        if isinstance(response, Exception):
            raise response
        return response

    def report_stale(self, table, *, better_source):
        self.calls.append(f'stale {table}')

    async def write(self, table, rows):
        raise AssertionError

    async def close(self):
        raise AssertionError


def make_response(revision, newest_row_revision=None, **rows_by_key):
    return RowsResponse(
        rows_by_key=rows_by_key,
        revision=revision,
        newest_row_revision=revision
        if newest_row_revision is None
        else newest_row_revision,
    )


NO_RESPONSE = StoreAwayError('no response')
HISTORY_LOST = HistoryLostError('lost')


def make_follower(store, subscriber, clock):
    return TableFollower(
        table='op',
        store=store,
        decoder=PassThrough(),
        subscribers=(subscriber,),
        row_relay=Mailbox(),
        clock=clock,
        journal=Journal(sink=NullSink(), clock=clock),
        random=Random(1),
    )


async def follow(responses, *, seconds=5.0, keep_running=False):
    clock = VirtualClock()
    store = ScriptedStore(clock, responses)
    subscriber = Mailbox()
    follower = make_follower(store, subscriber, clock)
    task = asyncio.create_task(follower.run())
    await clock.advance(seconds)
    if not keep_running:
        task.cancel()
    return SimpleNamespace(
        follower=follower,
        store=store,
        subscriber=subscriber,
        clock=clock,
        task=task,
    )


@pytest.mark.parametrize(
    ('responses', 'calls', 'rows'),
    [
        ([make_response(3, a=b'1')], ['read', 'poll 3'], {'a': b'1'}),
        (
            [make_response(3, a=b'1'), make_response(5, b=b'2')],
            ['read', 'poll 3', 'poll 5'],
            {'a': b'1', 'b': b'2'},
        ),
        (
            [make_response(3, a=b'1', b=b'2'), make_response(5, a=None)],
            ['read', 'poll 3', 'poll 5'],
            {'b': b'2'},
        ),
        # A long poll without changes keeps rows and revision.
        (
            [make_response(3, a=b'1'), make_response(3)],
            ['read', 'poll 3', 'poll 3'],
            {'a': b'1'},
        ),
        # After an outage polls continue at the same revision.
        (
            [
                make_response(3, a=b'1'),
                NO_RESPONSE,
                NO_RESPONSE,
                make_response(5, a=b'2'),
            ],
            ['read', 'poll 3', 'poll 3', 'poll 3', 'poll 5'],
            {'a': b'2'},
        ),
        # After a lost history the whole table is read again and rows that it
        # lacks are dropped.
        (
            [make_response(3, a=b'1'), HISTORY_LOST, make_response(9, b=b'2')],
            ['read', 'poll 3', 'read', 'poll 9'],
            {'b': b'2'},
        ),
        (
            [NO_RESPONSE, make_response(3, a=b'1')],
            ['read', 'read', 'poll 3'],
            {'a': b'1'},
        ),
        # A response older than the known revision is ignored.
        (
            [make_response(9, a=b'2'), make_response(4, a=b'1')],
            ['read', 'poll 9', 'poll 9'],
            {'a': b'2'},
        ),
        (
            [
                make_response(9, a=b'2'),
                HISTORY_LOST,
                make_response(4, a=b'1'),
                make_response(9, a=b'2'),
            ],
            ['read', 'poll 9', 'read', 'stale op', 'read', 'poll 9'],
            {'a': b'2'},
        ),
    ],
)
async def test_responses_and_failures_give_current_rows(responses, calls, rows):
    result = await follow(responses)
    assert result.store.calls == calls
    assert result.follower.rows == rows


@pytest.mark.parametrize(
    ('seconds', 'calls'), [(0.1, 2), (BATCH_DELAY_S, 3), (2 * BATCH_DELAY_S, 4)]
)
async def test_batch_delay_spaces_polls_after_changes(seconds, calls):
    responses = [
        make_response(3, a=b'1'),
        make_response(5, a=b'2'),
        make_response(6, a=b'3'),
    ]
    result = await follow(responses, seconds=seconds)
    assert len(result.store.calls) == calls


@pytest.mark.parametrize(
    ('failed_calls', 'may_expire_rows'), [(1, False), (3, False), (9, True)]
)
async def test_snapshot_after_outage_says_when_it_ended(
    failed_calls, may_expire_rows
):
    responses = [
        make_response(3, a=b'1'),
        *(NO_RESPONSE for _ in range(failed_calls)),
        make_response(5, a=b'2'),
    ]
    result = await follow(responses, seconds=9.0)
    snapshots = [
        envelope.message for envelope in result.subscriber.get_all_nowait()
    ]
    assert snapshots[0].outage_ended_at == float('-inf')
    is_ended = 0 < snapshots[1].outage_ended_at <= snapshots[1].read_at
    assert is_ended is may_expire_rows


@pytest.mark.parametrize(
    ('peer_revision', 'after_s', 'polls'),
    [(3, 1.0, 1), (5, 0.1, 1), (5, STALE_AFTER_S + 0.1, 2)],
)
async def test_follower_behind_peer_asks_again(peer_revision, after_s, polls):
    result = await follow([make_response(3, a=b'1')], keep_running=True)
    now = result.clock.now()
    result.follower.check_peer_revision(peer_revision, now, peer='p:1')
    result.follower.check_peer_revision(
        peer_revision, now + after_s, peer='p:1'
    )
    await run_ready_tasks()
    result.task.cancel()
    # Only the changes are asked for: a whole table would fill narrow links.
    assert result.store.calls.count('read') == 1
    assert result.store.calls.count('poll 3') == polls
    # Each further call reports its source as stale, so that it is avoided.
    assert result.store.calls.count('stale op') == polls - 1


async def test_call_begun_while_behind_is_not_cancelled():
    result = await follow([make_response(3, a=b'1')], keep_running=True)
    check = result.follower.check_peer_revision
    now = result.clock.now()
    for number in range(20):
        result.clock.at = now + number * STALE_AFTER_S
        check(5, result.clock.at, peer='p:1')
        await run_ready_tasks()
    result.task.cancel()
    # The transfer of a large configuration takes longer than STALE_AFTER_S.
    assert result.store.calls.count('stale op') == 1


async def test_source_without_newer_rows_is_changed():
    result = await follow(
        [make_response(3, a=b'1')],
        keep_running=True,
    )
    now = result.clock.now()
    nothing_new = RowsResponse(rows_by_key={}, revision=3)
    result.store.responses = [nothing_new, nothing_new]
    for seconds in (0.0, STALE_AFTER_S + 0.1):
        result.follower.check_peer_revision(5, now + seconds, peer='p:1')
    await run_ready_tasks()
    result.task.cancel()
    assert result.store.calls.count('stale op') == 3


async def test_first_read_is_not_cancelled():
    result = await follow([], keep_running=True)
    now = result.clock.now()
    for seconds in (0.0, STALE_AFTER_S + 0.1, 9.0):
        result.follower.check_peer_revision(5, now + seconds, peer='p:1')
    await run_ready_tasks()
    result.task.cancel()
    assert result.store.calls == ['read']
