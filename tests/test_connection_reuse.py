"""How long connections to targets are kept, over real sockets."""

import asyncio
from http import HTTPStatus
from itertools import repeat

import pytest

from currantspur.decisions.idle_connections import (
    DEFAULT_IDLE_S,
    MAX_LEARNED_TARGETS,
    IdleTimes,
)
from currantspur.errors import TargetError
from currantspur.standins.behaviours import Healthy
from currantspur.standins.fleet import (
    IDEMPOTENT_PREFIX,
    NON_IDEMPOTENT_PREFIX,
    wait_until,
)
from currantspur.standins.target import reset_connection
from currantspur.wire.pooled_connections import parse_idle_timeout_s
from tests.fleets import open_fleet, send_request
from tests.playback import HEAD, WHOLE, Playback, join

MAX_IDLE = 2
PAUSE_S = 0.6


class ClosingReused(Healthy):
    """Close a connection as its second request arrives, without executing it.

    That is what an instance sees if the target closed the connection while the
    request was on its way.
    """

    __slots__ = ('used',)

    def __init__(self):
        self.used = []

    async def respond(self, target, request):
        if request.writer in self.used:
            return False
        self.used.append(request.writer)
        return await super().respond(target, request)


def announce(timeout):
    if timeout is None:
        return WHOLE
    field = f'Keep-Alive: {timeout}\r\n'.encode()
    return join(HEAD, field, b'Content-Length: 4\r\n\r\nbody')


def count_connections(playback):
    """Return the requests over new and over reused connections."""
    return tuple(
        playback.metrics.registry.get_sample_value(
            'currantspur_target_connections_total', {'kind': kind}
        )
        or 0
        for kind in ('new', 'reused')
    )


@pytest.mark.parametrize(
    ('announced', 'pause_s', 'expected'),
    [
        # Guards against connections that are given up long before targets do.
        (None, 5.0, (1, 1)),
        ('timeout=3', 1.5, (1, 1)),
        # Guards against a request that meets the close of its connection.
        ('timeout=3, max=100', 2.2, (2, 0)),
        ('timeout=1', 0.0, (2, 0)),
    ],
)
async def test_idle_connection_is_kept(announced, pause_s, expected):
    answer = announce(announced)
    async with Playback(answer, answer) as playback:
        await playback.ask()
        await asyncio.sleep(pause_s)
        await playback.ask()
        assert count_connections(playback) == expected


@pytest.mark.parametrize(
    ('are_single_use', 'expected'),
    [
        ([False, False], (1, 1)),
        ([True, False], (1, 1)),
        # Guards against a request that may run only once on a used connection.
        ([False, True], (2, 0)),
        ([True, True, True, False], (3, 1)),
    ],
)
async def test_single_use_opens_connection(are_single_use, expected):
    async with Playback(*repeat(WHOLE, len(are_single_use))) as playback:
        for is_single_use in are_single_use:
            await playback.ask(is_single_use=is_single_use)
        assert count_connections(playback) == expected


async def test_longest_idle_close_beyond_bound():
    # Guards against running out of descriptors with many targets.
    async with Playback(*repeat(WHOLE, 5)) as playback:
        playback.client.sessions.pool.max_idle = MAX_IDLE
        for _ in range(5):
            await playback.ask(is_single_use=True)
        closed = [True, True, True, False, False]
        await wait_until(
            lambda: (
                closed
                == [
                    writer.transport.is_closing()
                    for writer in playback.target.writers
                ]
            )
        )


@pytest.mark.parametrize('is_single_use', [False, True])
async def test_request_cut_on_its_way_is_sent_once(is_single_use):
    # Guards against a second run that no retry budget counts.
    async with Playback(WHOLE, b'') as playback:
        await playback.ask()
        ask = asyncio.ensure_future(playback.ask(is_single_use=is_single_use))
        await wait_until(lambda: len(playback.target.received) == 2)
        playback.target.writers[-1].close()
        with pytest.raises(TargetError) as caught:
            await ask
        assert caught.value.may_have_run
        assert len(playback.target.received) == 2


@pytest.mark.parametrize(
    ('header', 'expected'),
    [
        (None, None),
        ('timeout=5', 5.0),
        ('max=3, Timeout = 12', 12.0),
        ('timeout=0', 0.0),
        ('timeout=-1', None),
        ('timeout=2.5', None),
        ('timeout=', None),
        ('timeout', None),
        ('max=9', None),
        ('timeout=9999999', None),
        ('timeout=٣', None),
    ],
)
def test_announced_timeout_is_read(header, expected):
    # Guards against a malformed header that ends the connection's response.
    assert parse_idle_timeout_s(header) == expected


@pytest.mark.parametrize(
    ('closes', 'announced_s', 'at', 'expected_s'),
    [
        ([], None, 0.0, DEFAULT_IDLE_S),
        ([], 100.0, 0.0, 30.0),
        ([(4.0, 0.0)], None, 0.0, 2.0),
        # Guards against a target that stays at a short time for good.
        ([(4.0, 0.0)], None, 10.0, 3.0),
        ([(4.0, 0.0)], None, 100.0, DEFAULT_IDLE_S),
        ([(4.0, 0.0)], 3.0, 10.0, 2.0),
        ([(4.0, 0.0), (1.0, 10.0)], None, 10.0, 0.5),
        # A later close after a longer time does not undo what was learned.
        ([(1.0, 0.0), (4.0, 5.0)], None, 5.0, 1.0),
    ],
)
def test_learned_time_shortens_and_grows(closes, announced_s, at, expected_s):
    times = IdleTimes()
    for idle_s, closed_at in closes:
        times.record_early_close('t', idle_s=idle_s, at=closed_at)
    assert times.choose_s('t', announced_s=announced_s, at=at) == expected_s


def test_learned_times_are_bounded():
    # Guards against memory that grows with each new address of a target.
    times = IdleTimes()
    for number in range(2 * MAX_LEARNED_TARGETS):
        times.record_early_close(str(number), idle_s=1.0, at=0.0)
    assert len(times.learned) == MAX_LEARNED_TARGETS


def close(playback):
    playback.target.writers[0].close()


def reset(playback):
    reset_connection(playback.target.writers[0])


@pytest.mark.parametrize(
    ('end', 'is_asked', 'is_learned'),
    [
        (close, False, True),
        (reset, False, True),
        # A target that closed unseen resets the connection at the next request.
        (reset, True, True),
        # Guards against callers that disconnect and so shorten the idle time.
        (None, True, False),
    ],
)
async def test_early_close_shortens_idle_time(end, is_asked, is_learned):
    async with Playback(WHOLE, b'') as playback:
        pool = playback.client.sessions.pool
        started_at = asyncio.get_running_loop().time()
        await playback.ask()
        await asyncio.sleep(PAUSE_S)
        request = playback.ask() if is_asked else asyncio.sleep(0)
        ask = asyncio.ensure_future(request)
        await wait_until(lambda: len(playback.target.received) == 1 + is_asked)
        if end is None:
            ask.cancel()
        else:
            end(playback)
        await asyncio.gather(ask, return_exceptions=True)
        await wait_until(playback.target.was_closed.is_set)
        await wait_until(lambda: not pool.idle)
        learned = [idle_s for idle_s, _ in pool.idle_times.learned.values()]
        assert len(learned) == is_learned
        elapsed_s = asyncio.get_running_loop().time() - started_at
        assert all(PAUSE_S / 2 <= idle_s < elapsed_s / 2 for idle_s in learned)


@pytest.mark.parametrize(
    ('path', 'method', 'attempts'),
    [(IDEMPOTENT_PREFIX, 'GET', 2), (NON_IDEMPOTENT_PREFIX, 'POST', 1)],
)
async def test_close_on_the_way_runs_request_once(path, method, attempts):
    # Guards against a request that is lost, or runs twice, because its
    # connection is closed by the target at the same moment.
    async with open_fleet() as (fleet, session):
        for target in fleet.targets.values():
            target.behaviour = ClosingReused()
        daemon = fleet.daemons['entry-0']
        for request_id in ('r-1', 'r-2'):
            status, _, _ = await send_request(
                session,
                daemon,
                f'{path if request_id == "r-2" else IDEMPOTENT_PREFIX}1',
                method=method if request_id == 'r-2' else 'GET',
                headers={'X-Request-Id': request_id},
            )
            assert status == HTTPStatus.OK
        targets = fleet.targets.values()
        executed = [
            request_id
            for target in targets
            for request_id in target.executed_request_ids
        ]
        assert sorted(executed) == ['r-1', 'r-2']
        received = sum(len(target.received) for target in targets)
        assert received == 1 + attempts
