import asyncio

import aiohttp
import pytest

from currantspur.standins.fleet import (
    IDEMPOTENT_PREFIX,
    KEY,
    NON_IDEMPOTENT_PREFIX,
    wait_until,
)
from currantspur.standins.target import (
    BODY,
    Duplicating,
    Failing,
    Resetting,
    Shedding,
    Silent,
    Truncating,
    Unframed,
)
from tests.fleets import call, first, open_fleet


async def test_a_whole_answer_comes_back():
    async with open_fleet() as (fleet, session):
        status, headers, body = await call(session, first(fleet.daemons))
        assert (status, body) == (200, BODY)
        assert headers['X-Server-Stamp'] in fleet.targets
        assert headers['X-Request-Id'] == 'r-1'


async def test_what_a_target_gets():
    async with open_fleet(targets=('north-1',)) as (fleet, session):
        await call(
            session,
            first(fleet.daemons),
            f'{IDEMPOTENT_PREFIX}a%2Fb?c=d',
            method='POST',
            data=b'body',
            headers={
                'X-Tenant-Name': 'somebody',
                'X-Expect-Instance': 'somebody',
                'X-Other': 'kept',
                'Connection': 'X-Dropped',
                'X-Dropped': 'gone',
            },
        )
        asked = first(fleet.targets).received[0]
        assert (asked.method, asked.path) == (
            'POST',
            f'{IDEMPOTENT_PREFIX}a%2Fb?c=d',
        )
        assert asked.body == b'body'
        assert asked.headers['x-tenant-name'] == 'one'
        assert asked.headers['x-expect-instance'] == 'target-0'
        assert asked.headers['x-other'] == 'kept'
        assert asked.headers['x-request-id'] == 'r-1'
        assert 0 < int(asked.headers['x-request-deadline']) <= 900
        assert 'x-dropped' not in asked.headers
        assert 'authorization' not in asked.headers
        assert KEY not in str(asked.headers)


@pytest.mark.parametrize(
    ('path', 'headers', 'status'),
    [
        (f'{IDEMPOTENT_PREFIX}1', {'Authorization': 'Bearer wrong'}, 401),
        (f'{IDEMPOTENT_PREFIX}1', {'Authorization': None}, 401),
        (f'{IDEMPOTENT_PREFIX}1', {'Authorization': 'bearer key-of-one'}, 200),
        ('/none/', {}, 404),
        (f'{IDEMPOTENT_PREFIX}1', {'Host': 'other.example'}, 404),
        (f'{IDEMPOTENT_PREFIX}1', {'X-Request-Deadline': '0'}, 503),
        (f'{IDEMPOTENT_PREFIX}1', {'X-Request-Deadline': None}, 200),
        (f'{IDEMPOTENT_PREFIX}1', {'X-Request-Deadline': 'soon'}, 200),
    ],
)
async def test_refusals(path, headers, status):
    async with open_fleet() as (fleet, session):
        found, _, _ = await call(
            session, first(fleet.daemons), path, headers=headers
        )
        assert found == status


async def stream(size):
    yield b'x' * size


@pytest.mark.parametrize('chunked', [True, False])
@pytest.mark.parametrize(('size', 'status'), [(4096, 200), (4097, 413)])
async def test_the_limit_of_bodies(chunked, size, status):
    data = stream(size) if chunked else b'x' * size
    async with open_fleet() as (fleet, session):
        found, _, _ = await call(
            session, first(fleet.daemons), method='POST', data=data
        )
        assert found == status


# What the caller gets where one target misbehaves and another is sound, by
# whether the request may run twice, and how often it arrived in all.
BEHAVIOURS = [
    (Failing(), 200, 500, 2),
    (Shedding(), 200, 200, 2),
    (Resetting(), 200, 502, 2),
    (Truncating(), 200, 502, 2),
    (Unframed(is_reset=True), 200, 502, 2),
    (Unframed(is_reset=False), 200, 200, 1),
    (Duplicating(), 200, 200, 1),
    (Silent(), 504, 504, 1),
]


@pytest.mark.parametrize('is_idempotent', [True, False])
@pytest.mark.parametrize(
    ('behaviour', 'repeated', 'once', 'arrivals'), BEHAVIOURS
)
async def test_a_target_that_misbehaves(
    is_idempotent, behaviour, repeated, once, arrivals
):
    async with open_fleet(targets=()) as (fleet, session):
        await fleet.open_target('bad', 'north-1', behaviour)
        await fleet.open_target('sound', 'north-2')
        daemon = first(fleet.daemons)
        await wait_until(lambda: len(daemon.dispatcher.target_states) == 2)
        path = (
            f'{IDEMPOTENT_PREFIX}1'
            if is_idempotent
            else f'{NON_IDEMPOTENT_PREFIX}1'
        )
        daemon.dispatcher.target_states['bad'].record_success(
            daemon.clock.now(), '17'
        )
        status, _, body = await call(session, daemon, path)
        assert status == {True: repeated, False: once}[is_idempotent]
        assert status != 200 or body == BODY
        refused = fleet.sinks['entry-0'].find('refused')
        assert bool(refused) is (status in {502, 503, 504})
        counts = [len(one.received) for one in fleet.targets.values()]
        may_repeat = is_idempotent or isinstance(behaviour, Shedding)
        assert sum(counts) == {True: arrivals, False: 1}[may_repeat]
        assert counts[0] == 1


async def test_a_late_answer_is_nobodys():
    async with open_fleet(targets=()) as (fleet, session):
        await fleet.open_target('bad', 'north-1', Duplicating())
        daemon = first(fleet.daemons)
        await wait_until(daemon.is_ready)
        for number in range(6):
            headers = {'X-Request-Id': f'r-{number}'}
            status, found, _ = await call(session, daemon, headers=headers)
            if status == 200:
                assert found['X-Request-Id'] == f'r-{number}'
            await asyncio.sleep(0.05)


async def test_another_target_has_the_address():
    async with open_fleet(targets=('north-1',)) as (fleet, session):
        target = first(fleet.targets)
        target.name = 'somebody-else'
        path = f'{NON_IDEMPOTENT_PREFIX}1'
        status, headers, _ = await call(session, first(fleet.daemons), path)
        assert status == 503
        assert float(headers['Retry-After']) > 0


async def test_the_log_says_why_no_other_was_tried():
    async with open_fleet(targets=('north-1',)) as (fleet, session):
        fleet.targets['target-0'].behaviour = Shedding()
        await call(session, first(fleet.daemons))
        refused = fleet.sinks['entry-0'].find('refused')
        assert refused[0]['no_other'] == 'no target may run it'


async def test_a_caller_that_leaves_ends_the_work():
    async with open_fleet(targets=()) as (fleet, session):
        target = await fleet.open_target('slow', 'north-1', Silent())
        daemon = first(fleet.daemons)
        await wait_until(daemon.is_ready)
        with pytest.raises(TimeoutError):
            await call(
                session, daemon, timeout=aiohttp.ClientTimeout(total=0.2)
            )
        await wait_until(lambda: not target.tasks)
        assert not daemon.listener.active_requests
        assert daemon.dispatcher.target_states['slow'].own_in_flight == 0


@pytest.mark.parametrize(
    ('change', 'deadline_ms', 'least_s', 'most_s'),
    [({}, '300', 0.28, 0.5), ({'timeout_s': 0.2}, '900', 0.18, 0.4)],
)
async def test_the_time_of_caller_and_route_bind(
    change, deadline_ms, least_s, most_s
):
    async with open_fleet(targets=()) as (fleet, session):
        await fleet.open_target('slow', 'north-1', Silent())
        fleet.configure(repeat=change)
        daemon = first(fleet.daemons)
        await wait_until(lambda: daemon.admission.state.version == 2)
        began = asyncio.get_running_loop().time()
        status, _, _ = await call(
            session, daemon, headers={'X-Request-Deadline': deadline_ms}
        )
        took_s = asyncio.get_running_loop().time() - began
        assert status == 504
        assert least_s <= took_s <= most_s


async def test_pipelined_requests_are_answered_in_order():
    async with open_fleet() as (fleet, _):
        host, port = first(fleet.daemons).settings.listen.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        for number in range(3):
            writer.write(
                f'GET {IDEMPOTENT_PREFIX}{number} HTTP/1.1\r\n'
                f'Host: service.example\r\n'
                f'X-Request-Id: p-{number}\r\n'
                f'Authorization: Bearer {KEY}\r\n\r\n'.encode()
            )
        answered = []
        while len(answered) < 3:
            line = (await reader.readuntil(b'\n')).decode().strip()
            if line.lower().startswith('x-request-id'):
                answered.append(line.split(': ')[1])
        writer.close()
        assert answered == ['p-0', 'p-1', 'p-2']


async def test_an_answer_teaches_who_knows_an_object():
    async with open_fleet() as (fleet, session):
        daemon = first(fleet.daemons)
        for number in range(4):
            headers = {'X-Request-Id': f'r-{number}'}
            await call(session, daemon, headers=headers)
        counts = [len(one.received) for one in fleet.targets.values()]
        assert sorted(counts) == [0, 4]
        known = [
            one.warm_keys for one in daemon.dispatcher.target_states.values()
        ]
        assert sum('17' in one for one in known) == 1
        await wait_until(
            lambda: (
                not any(
                    one.own_in_flight
                    for one in daemon.dispatcher.target_states.values()
                )
            )
        )
        exchanges = fleet.sinks['entry-0'].find('exchange')
        assert {one['outcome'] for one in exchanges} == {'answered'}
