import asyncio

import aiohttp
import pytest

from currantspur.settings.document import split_address
from currantspur.standins.behaviours import (
    RESPONSE_BODY,
    Duplicating,
    Failing,
    Resetting,
    Shedding,
    Silent,
    Truncating,
    Unframed,
)
from currantspur.standins.fleet import (
    API_KEY,
    IDEMPOTENT_PREFIX,
    NON_IDEMPOTENT_PREFIX,
    ROUTE_HOST,
    wait_until,
)
from tests.fleets import (
    OBJECT_PATH,
    first_value,
    open_fleet,
    send_request,
)


async def test_request_returns_whole_target_response():
    async with open_fleet() as (fleet, session):
        status, headers, body = await send_request(
            session, first_value(fleet.daemons)
        )
        assert (status, body) == (200, RESPONSE_BODY)
        assert headers['X-Server-Stamp'] in fleet.targets
        assert headers['X-Request-Id'] == 'r-1'


async def test_target_receives_headers_without_the_key():
    async with open_fleet(targets=('north-1',)) as (fleet, session):
        await send_request(
            session,
            first_value(fleet.daemons),
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
        received = first_value(fleet.targets).received[0]
        assert (received.method, received.path) == (
            'POST',
            f'{IDEMPOTENT_PREFIX}a%2Fb?c=d',
        )
        assert received.body == b'body'
        assert received.headers['x-tenant-name'] == 'one'
        assert received.headers['x-expect-instance'] == 'target-0'
        assert received.headers['x-other'] == 'kept'
        assert received.headers['x-request-id'] == 'r-1'
        assert 0 < int(received.headers['x-request-deadline']) <= 900
        assert 'x-dropped' not in received.headers
        assert 'authorization' not in received.headers
        assert API_KEY not in str(received.headers)


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
async def test_bad_key_route_or_deadline_is_refused(path, headers, status):
    async with open_fleet() as (fleet, session):
        received, _, _ = await send_request(
            session, first_value(fleet.daemons), path, headers=headers
        )
        assert received == status


async def stream(size):
    yield b'x' * size


@pytest.mark.parametrize('chunked', [True, False])
@pytest.mark.parametrize(('size', 'status'), [(4096, 200), (4097, 413)])
async def test_body_over_the_limit_is_refused(chunked, size, status):
    data = stream(size) if chunked else b'x' * size
    async with open_fleet() as (fleet, session):
        received, _, _ = await send_request(
            session, first_value(fleet.daemons), method='POST', data=data
        )
        assert received == status


# Behaviour of one target beside a healthy one, then idempotent_status,
# non_idempotent_status and total_arrivals: the requests that arrive at both
# targets together if a retry is allowed.
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
    (
        'behaviour',
        'idempotent_status',
        'non_idempotent_status',
        'total_arrivals',
    ),
    BEHAVIOURS,
)
async def test_failed_attempt_is_retried_only_if_safe(
    is_idempotent,
    behaviour,
    idempotent_status,
    non_idempotent_status,
    total_arrivals,
):
    async with open_fleet(targets=()) as (fleet, session):
        await fleet.open_target('bad', 'north-1', behaviour)
        await fleet.open_target('sound', 'north-2')
        daemon = first_value(fleet.daemons)
        await wait_until(lambda: len(daemon.dispatcher.target_states) == 2)
        path = (
            f'{IDEMPOTENT_PREFIX}1'
            if is_idempotent
            else f'{NON_IDEMPOTENT_PREFIX}1'
        )
        daemon.dispatcher.target_states['bad'].record_success(
            daemon.clock.now(), '17'
        )
        status, _, body = await send_request(session, daemon, path)
        assert (
            status
            == {True: idempotent_status, False: non_idempotent_status}[
                is_idempotent
            ]
        )
        assert status != 200 or body == RESPONSE_BODY
        refused = fleet.sinks['entry-0'].fields_of_kind('refused')
        assert bool(refused) is (status in {502, 503, 504})
        counts = [len(target.received) for target in fleet.targets.values()]
        may_retry = is_idempotent or isinstance(behaviour, Shedding)
        assert sum(counts) == {True: total_arrivals, False: 1}[may_retry]
        assert counts[0] == 1


async def test_duplicate_response_is_not_used_again():
    async with open_fleet(targets=()) as (fleet, session):
        await fleet.open_target('bad', 'north-1', Duplicating())
        daemon = first_value(fleet.daemons)
        await wait_until(daemon.is_ready)
        for number in range(6):
            headers = {'X-Request-Id': f'r-{number}'}
            status, response_headers, _ = await send_request(
                session, daemon, headers=headers
            )
            if status == 200:
                assert response_headers['X-Request-Id'] == f'r-{number}'
            await asyncio.sleep(0.05)


async def test_target_at_wrong_address_gives_503():
    async with open_fleet(targets=('north-1',)) as (fleet, session):
        target = first_value(fleet.targets)
        target.name = 'somebody-else'
        path = f'{NON_IDEMPOTENT_PREFIX}1'
        status, headers, _ = await send_request(
            session, first_value(fleet.daemons), path
        )
        assert status == 503
        assert float(headers['Retry-After']) > 0


async def test_refusal_without_other_target_logs_why():
    async with open_fleet(targets=('north-1',)) as (fleet, session):
        fleet.targets['target-0'].behaviour = Shedding()
        await send_request(session, first_value(fleet.daemons))
        refused = fleet.sinks['entry-0'].fields_of_kind('refused')
        assert refused[0]['no_other'] == 'no target may run it'


async def test_caller_disconnect_cancels_target_request():
    async with open_fleet(targets=()) as (fleet, session):
        target = await fleet.open_target('slow', 'north-1', Silent())
        daemon = first_value(fleet.daemons)
        await wait_until(daemon.is_ready)
        with pytest.raises(TimeoutError):
            await send_request(
                session, daemon, timeout=aiohttp.ClientTimeout(total=0.2)
            )
        await wait_until(lambda: not target.connection_tasks)
        assert not daemon.request_handler.active_requests
        assert daemon.dispatcher.target_states['slow'].own_in_flight == 0


@pytest.mark.parametrize(
    ('route_change', 'deadline_ms', 'min_s', 'max_s'),
    [({}, '300', 0.28, 0.5), ({'timeout_s': 0.2}, '900', 0.18, 0.4)],
)
async def test_shorter_of_two_timeouts_applies(
    route_change, deadline_ms, min_s, max_s
):
    async with open_fleet(targets=()) as (fleet, session):
        await fleet.open_target('slow', 'north-1', Silent())
        fleet.configure(repeat=route_change)
        daemon = first_value(fleet.daemons)
        await wait_until(lambda: daemon.admission.state.version == 2)
        started_at = asyncio.get_running_loop().time()
        status, _, _ = await send_request(
            session, daemon, headers={'X-Request-Deadline': deadline_ms}
        )
        took_s = asyncio.get_running_loop().time() - started_at
        assert status == 504
        assert min_s <= took_s <= max_s


async def test_pipelined_requests_are_answered_in_order():
    async with open_fleet() as (fleet, _):
        host, port = first_value(fleet.daemons).settings.listen.split(':')
        reader, writer = await asyncio.open_connection(host, int(port))
        for number in range(3):
            writer.write(
                f'GET {IDEMPOTENT_PREFIX}{number} HTTP/1.1\r\n'
                f'Host: service.example\r\n'
                f'X-Request-Id: p-{number}\r\n'
                f'Authorization: Bearer {API_KEY}\r\n\r\n'.encode()
            )
        response_ids = []
        while len(response_ids) < 3:
            line = (await reader.readuntil(b'\n')).decode().strip()
            if line.lower().startswith('x-request-id'):
                response_ids.append(line.split(': ')[1])
        writer.close()
        assert response_ids == ['p-0', 'p-1', 'p-2']


async def test_requests_for_one_object_use_one_target():
    async with open_fleet() as (fleet, session):
        daemon = first_value(fleet.daemons)
        for number in range(4):
            headers = {'X-Request-Id': f'r-{number}'}
            await send_request(session, daemon, headers=headers)
        counts = [len(target.received) for target in fleet.targets.values()]
        assert sorted(counts) == [0, 4]
        warm_keys = [
            state.warm_keys
            for state in daemon.dispatcher.target_states.values()
        ]
        assert sum('17' in keys for keys in warm_keys) == 1
        await wait_until(
            lambda: (
                not any(
                    state.own_in_flight
                    for state in daemon.dispatcher.target_states.values()
                )
            )
        )
        exchanges = fleet.sinks['entry-0'].fields_of_kind('exchange')
        assert {line['outcome'] for line in exchanges} == {'answered'}


# Guards against a budget that shrinks with each request of an open connection.
@pytest.mark.parametrize(
    ('path', 'size'), [(OBJECT_PATH, 4000), (OBJECT_PATH, 5000), ('/none/', 9)]
)
async def test_bytes_of_a_request_are_returned(path, size):
    async with open_fleet() as (fleet, session):
        daemon = first_value(fleet.daemons)
        budget = daemon.client_limits.guard.budget
        for _ in range(3):
            await send_request(
                session, daemon, path, method='POST', data=b'x' * size
            )
        await wait_until(lambda: budget.held == 0)


async def test_lost_client_returns_its_bytes():
    async with open_fleet() as (fleet, _):
        daemon = first_value(fleet.daemons)
        budget = daemon.client_limits.guard.budget
        _, writer = await asyncio.open_connection(
            *split_address(daemon.settings.listen)
        )
        writer.write(
            f'POST {OBJECT_PATH} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n'
            f'Authorization: Bearer {API_KEY}\r\n'
            'Content-Length: 4000\r\n\r\npart'.encode()
        )
        await wait_until(lambda: budget.held >= 4000)
        writer.transport.abort()
        await wait_until(lambda: budget.held == 0)
