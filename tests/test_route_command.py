"""The command `route` against instances on loopback, and its errors."""

import asyncio
from functools import partial

import orjson
import pytest
from aiohttp import web

from currantspur.cli import main
from currantspur.errors import RouteQueryError
from currantspur.standins.fleet import ROUTE_HOST, TEAM, find_free_address
from currantspur.wire.route_client import MAX_ANSWER_BYTES
from currantspur.wire.route_handler import parse_route_query
from currantspur.wire.server import start_server
from tests.fleets import OBJECT_PATH, first_value, open_fleet, send_request

OPTIONS = {
    'host': ROUTE_HOST,
    'method': 'GET',
    'path': OBJECT_PATH,
    'team': TEAM,
    'object': '17',
    'timeout-s': '0.9',
}
# Gauges of ages and counters of the store change by themselves.
STABLE_METRICS = ('requests', 'exchanges', 'request_seconds', 'repeats_left')


async def run_route(address, *flags, **overrides):
    """Run the command and return its exit status."""
    options = {**OPTIONS, **overrides}
    tokens = [f'--{name}={text}' for name, text in options.items()]
    return await asyncio.to_thread(
        call_main, ['route', address, *tokens, *flags]
    )


def call_main(tokens):
    try:
        main(tokens)
    except SystemExit as error:
        return error.code or 0
    return 0


async def read_stable_metrics(session, daemon):
    async with session.get(f'http://{daemon.settings.metrics}/') as response:
        lines = (await response.text()).splitlines()
    prefixes = tuple(f'currantspur_{name}' for name in STABLE_METRICS)
    return [line for line in lines if line.startswith(prefixes)]


# Guards against an answer from other state than that of the tasks, and against
# a question that is counted or sent to a target.
@pytest.mark.parametrize(
    ('overrides', 'headers', 'code'),
    [
        ({}, {}, None),
        ({'team': ''}, {'Authorization': None}, 'key_unknown'),
        ({'path': '/none'}, {}, 'route_unknown'),
        ({'timeout-s': '0'}, {'X-Request-Deadline': '0'}, 'deadline_passed'),
    ],
)
async def test_answer_is_what_a_request_gets(capsys, overrides, headers, code):
    async with open_fleet() as (fleet, session):
        daemon = first_value(fleet.daemons)
        sink = first_value(fleet.sinks)
        before = await read_stable_metrics(session, daemon)
        status = await run_route(daemon.settings.metrics, '--json', **overrides)
        assert await read_stable_metrics(session, daemon) == before
        assert not sink.fields_of_kind('exchange')
        document = orjson.loads(capsys.readouterr().out)
        response_status, _, _ = await send_request(
            session,
            daemon,
            overrides.get('path', OBJECT_PATH),
            headers=headers,
        )
    refusal = document['refusal']
    assert (refusal and refusal['code'], status) == (code, int(bool(code)))
    if refusal:
        assert refusal['status'] == response_status
    else:
        sent_to = [line['target'] for line in sink.fields_of_kind('exchange')]
        assert sent_to == [document['placement']['target']]


# Guards against errors that do not say what is wrong, and against a trace.
@pytest.mark.parametrize(
    ('overrides', 'status', 'text'),
    [
        ({}, 0, 'goes to: '),
        ({'host': 'other'}, 1, 'no route has the host other'),
        ({'path': '/none'}, 1, '404 route_unknown'),
        ({'team': ''}, 1, '401 key_unknown'),
        ({'team': 'nobody'}, 2, "no team has the name 'nobody'"),
        ({'path': 'things'}, 2, 'path does not begin with /'),
        ({'timeout-s': '-1'}, 2, 'timeout_s is not a number of seconds'),
        ({'object': '1' * 5000}, 2, 'object is longer than 4096'),
    ],
)
async def test_text_says_what_happens(capsys, overrides, status, text):
    async with open_fleet() as (fleet, _session):
        address = first_value(fleet.daemons).settings.metrics
        assert await run_route(address, **overrides) == status
    captured = capsys.readouterr()
    assert text in captured.out + captured.err


@pytest.mark.parametrize(
    ('address', 'text'),
    [
        (find_free_address(), 'no answer'),
        ('127.0.0.1', 'not HOST:PORT'),
        ('127.0.0.1:x', 'not HOST:PORT'),
        ('127.0.0.1:1/metrics', 'not HOST:PORT'),
        (':9', 'not HOST:PORT'),
    ],
)
async def test_unreachable_instance_is_reported(capsys, address, text):
    assert await run_route(address) == 2
    assert text in capsys.readouterr().err


async def respond(body, _request):
    return web.Response(body=body)


# Guards against an endless or strange answer that fills the memory or fails
# with a trace.
@pytest.mark.parametrize(
    ('body', 'text'),
    [
        (b'"' * (MAX_ANSWER_BYTES + 1), f'more than {MAX_ANSWER_BYTES} bytes'),
        (b'# HELP currantspur_requests_total', 'without an explanation'),
        (b'[]', 'without an explanation'),
        (b'{}', 'without an explanation'),
        (b'', 'without an explanation'),
    ],
)
async def test_odd_answer_is_reported(capsys, body, text):
    address = find_free_address()
    server = await start_server(partial(respond, body), address)
    try:
        assert await run_route(address) == 2
    finally:
        await server.close()
    assert text in capsys.readouterr().err


QUERY = {'host': 'h', 'method': 'GET', 'path': '/a%2Fb?c=d&e=+'}


@pytest.mark.parametrize(
    ('overrides', 'problem'),
    [
        ({}, None),
        ({'timeout_s': '1.5'}, None),
        ({'timeout_s': 'nan'}, 'timeout_s'),
        ({'timeout_s': 'x'}, 'timeout_s'),
        ({'host': ''}, 'host is missing'),
        ({'method': 'GET /'}, 'method is not'),
        ({'path': ''}, 'path is missing'),
        ({'api_key': 'k'}, "unknown field 'api_key'"),
    ],
)
def test_question_is_checked(overrides, problem):
    query = {**QUERY, **overrides}
    if problem is None:
        assert parse_route_query(query, 0.0).path == QUERY['path']
    else:
        with pytest.raises(RouteQueryError, match=problem):
            parse_route_query(query, 0.0)
