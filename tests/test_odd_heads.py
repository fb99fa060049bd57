"""Heads of answers with odd bytes, and the requests pipelined behind them."""

import asyncio
from contextlib import AsyncExitStack, aclosing, asynccontextmanager
from itertools import count

import pytest

from currantspur.errors import TargetError
from currantspur.messages import Refusal, Target
from currantspur.messages.configuration import CallerLimits
from currantspur.platform import PLATFORM_NAMES
from currantspur.settings.document import split_address
from currantspur.standins.behaviours import RESPONSE_BODY, Behaviour
from currantspur.standins.connections import ConnectionServer
from currantspur.standins.fleet import (
    API_KEY,
    IDEMPOTENT_PREFIX,
    NON_IDEMPOTENT_PREFIX,
    ROUTE_HOST,
    ListSink,
    find_free_address,
)
from currantspur.tasks import Journal, SystemClock
from currantspur.wire.client_guard import ClientGuard
from currantspur.wire.limit_log import LimitLog
from currantspur.wire.metrics import Metrics
from currantspur.wire.request_handler import RequestHandler
from currantspur.wire.server import GuardedAddress, start_pipelining_server
from currantspur.wire.targets import (
    BUFFERED_RESPONSE_LIMIT_BYTES,
    HttpTargetClient,
)
from tests.fleets import first_value, open_fleet, send_request
from tests.playback import PROOF

TIMEOUT_S = 2.0
SHORT_BODY = b'body'
LONG_BODY = b'x' * (BUFFERED_RESPONSE_LIMIT_BYTES + 1)
# A line feed ends a line, wherever it is, and a carriage return may.
ODD_BYTES = [bytes((code,)) for code in range(256) if code not in b'\r\n']
STATUS_LINE = b'HTTP/1.1 200 OK\r\n'
SPOILED_LINE = b'X-Server-Stamp: a\x01b\r\n'


def encode_answer(*, body, status_line=STATUS_LINE, lines=b''):
    return b''.join(
        (
            status_line,
            b'X-Request-Id: {id}\r\n',
            b'' if b'stamp' in lines.lower() else PROOF,
            lines,
            f'Content-Length: {len(body)}\r\n\r\n'.encode(),
            body,
        )
    )


class SpoiledTarget(ConnectionServer):
    """Answer GET /odd with given bytes, `{id}` replaced, others soundly."""

    __slots__ = ('answer',)

    def __init__(self):
        super().__init__(find_free_address())
        self.answer = b''

    async def serve(self, reader, writer):
        while True:
            head = await reader.readuntil(b'\r\n\r\n')
            request_id = read_headers(head)[b'x-request-id']
            answer = encode_answer(body=SHORT_BODY)
            if head.startswith(b'GET /odd '):
                answer = self.answer
            writer.write(answer.replace(b'{id}', request_id))
            await writer.drain()


class DirectForwarder:
    """Forward each request once, to the same target, without admission."""

    def __init__(self, client, target):
        self.client = client
        self.target = Target(
            name='t',
            service='s',
            address=target.address,
            availability_zone='z',
            slots=1,
        )

    async def run(self, _request, outgoing_request, _body, _turn):
        parts = self.client.send(
            self.target,
            outgoing_request,
            b'',
            team=None,
            timeout_s=TIMEOUT_S,
            new_connection=False,
        )
        has_head = False
        try:
            async with aclosing(parts):
                async for part in parts:
                    has_head = True
                    yield part
        except TargetError:
            if has_head:
                raise
            yield Refusal(code='outcome_unknown', detail='', not_run=False)


def read_headers(head):
    """Return the headers of a head, their names in lower case."""
    lines = (line.partition(b':') for line in head.split(b'\r\n')[1:])
    return {name.lower(): text.strip(b' \t') for name, _, text in lines}


async def read_response(reader):
    head = await reader.readuntil(b'\r\n\r\n')
    headers = read_headers(head)
    body = await reader.readexactly(int(headers[b'content-length']))
    return int(head.split(b' ')[1]), headers, body


class Caller:
    """A caller that sends a sound request behind each odd one."""

    def __init__(self, target, reader, writer):
        self.target = target
        self.reader = reader
        self.writer = writer
        self.numbers = count(1)

    async def ask(self, answer):
        """Return the response to a request that is answered with this."""
        self.target.answer = answer
        number = next(self.numbers)
        for path in ('odd', 'sound'):
            self.writer.write(
                f'GET /{path} HTTP/1.1\r\nHost: h\r\n'
                f'X-Request-Id: {path}-{number}\r\n\r\n'.encode()
            )
        odd = await read_response(self.reader)
        status, headers, body = await read_response(self.reader)
        assert headers[b'x-request-id'] == f'sound-{number}'.encode()
        assert (status, body) == (200, SHORT_BODY)
        return odd


@asynccontextmanager
async def open_caller():
    async with AsyncExitStack() as stack:
        target = SpoiledTarget()
        await target.start()
        stack.push_async_callback(target.close)
        client = HttpTargetClient(PLATFORM_NAMES)
        stack.push_async_callback(client.close)
        clock, metrics = SystemClock(), Metrics()
        guard = ClientGuard(
            limit_bytes=100_000_000,
            get_limits=CallerLimits,
            limit_log=LimitLog(
                journal=Journal(sink=ListSink(), clock=clock), metrics=metrics
            ),
            clock=clock,
        )
        handler = RequestHandler(
            forwarder=DirectForwarder(client, target),
            clock=clock,
            metrics=metrics,
            names=PLATFORM_NAMES,
            guard=guard,
        )
        address = find_free_address()
        server = await start_pipelining_server(
            handler,
            GuardedAddress(address, guard=guard, max_connections=100),
        )
        stack.push_async_callback(server.close)
        reader, writer = await asyncio.open_connection(*split_address(address))
        stack.callback(writer.close)
        yield Caller(target, reader, writer)


PLACES = {
    'first of a value': b'X-Odd: %bvalue\r\n',
    'within a value': b'X-Odd: val%bue\r\n',
    'last of a value': b'X-Odd: value%b\r\n',
    'content type': b'Content-Type: text/%bplain\r\n',
    'cookie': b'Set-Cookie: name%b=value%b; Path=/\r\n',
    'encoding': b'Content-Encoding: identity%b\r\n',
    'connection': b'Connection: keep-alive%b\r\n',
    'first of a name': b'%bX-Odd: value\r\n',
    'within a name': b'X-O%bdd: value\r\n',
    'last of a name': b'X-Odd%b: value\r\n',
}


# Guards against a byte in the head of an answer that ends the connection of
# the caller, and with it the requests at sound targets.
@pytest.mark.parametrize('body', [SHORT_BODY, LONG_BODY], ids=len)
@pytest.mark.parametrize('place', PLACES)
async def test_odd_header_byte_costs_one_answer(place, body):
    line = PLACES[place]
    async with open_caller() as caller:
        for odd in ODD_BYTES:
            lines = line.replace(b'%b', odd)
            status, _, received = await caller.ask(
                encode_answer(body=body, lines=lines)
            )
            assert status == 502 or (status, received) == (200, body), odd


# Guards against a stamp that loses the bytes which are not UTF-8.
@pytest.mark.parametrize('body', [SHORT_BODY, LONG_BODY], ids=len)
@pytest.mark.parametrize('prefix', [b'', 'Ñ'.encode(), b'\xc3', b'\xff\xfe'])
async def test_stamp_reaches_the_caller_unchanged(prefix, body):
    async with open_caller() as caller:
        for code in range(0x80, 0x100):
            stamp = b'%b%c-stamp' % (prefix, code)
            lines = b'X-Server-Stamp: %b\r\n' % stamp
            status, headers, received = await caller.ask(
                encode_answer(body=body, lines=lines)
            )
            assert (status, received) == (200, body)
            assert headers[b'x-server-stamp'] == stamp


@pytest.mark.parametrize(
    ('status_line', 'statuses'),
    [
        pytest.param(b'HTTP/1.1 200 O%bK\r\n', {200}, id='reason'),
        pytest.param(
            b'HTTP/1.1 20%b OK\r\n', set(range(200, 210)), id='status'
        ),
        pytest.param(b'HTTP/1.%b 200 OK\r\n', {200}, id='version'),
        pytest.param(b'%bHTTP/1.1 200 OK\r\n', {200}, id='start'),
    ],
)
async def test_odd_status_byte_costs_one_answer(status_line, statuses):
    async with open_caller() as caller:
        for odd in ODD_BYTES:
            status, _, received = await caller.ask(
                encode_answer(
                    body=SHORT_BODY, status_line=status_line.replace(b'%b', odd)
                )
            )
            assert status in {502, *statuses}, odd
            assert status in {502, 204} or received == SHORT_BODY, odd


# Guards against a status that is none of a final response, such as 000: the
# caller would wait for another response, or have to guess what happened.
@pytest.mark.parametrize('body', [SHORT_BODY, LONG_BODY], ids=len)
@pytest.mark.parametrize('status', [0, 7, 20, 99, 101, 200, 299, 599, 600, 999])
async def test_status_that_is_not_final_is_no_answer(status, body):
    status_line = f'HTTP/1.1 {status:03d} Odd\r\n'.encode()
    async with open_caller() as caller:
        received, _, _ = await caller.ask(
            encode_answer(body=body, status_line=status_line)
        )
    expected = status if 200 <= status <= 599 else 502
    assert received == expected


class Answering(Behaviour):
    """Execute each request and answer with a given status line and others."""

    def __init__(self, lines=b'', status_line=STATUS_LINE):
        self.lines = lines
        self.status_line = status_line

    async def respond(self, target, request):
        await target.execute(request)
        request_id = request.headers['x-request-id'].encode()
        answer = encode_answer(
            body=RESPONSE_BODY, lines=self.lines, status_line=self.status_line
        )
        request.writer.write(answer.replace(b'{id}', request_id))
        return True


LOAD_LINE = 'X-Server-Load: {load}\r\n'
ODD_LOADS = [
    f'{10**6},0,4',
    f'1,{10**400},4',
    f'1,0,{10**4000}',
    f'1,0,{10**4000}{10**1000}',
    '-1,0,4',
    'inf,nan,4',
    '1e3,0,4',
    '\u0661,0,4',
    '1,0',
    ',,',
    '',
]


# Guards against a report of a target that costs its answer, the requests
# behind it, or all later requests of its service.
@pytest.mark.parametrize('load', ODD_LOADS, ids=range(len(ODD_LOADS)))
async def test_odd_load_counts_as_no_report(load):
    lines = LOAD_LINE.format(load=load).encode()
    async with open_caller() as caller:
        status, _, body = await caller.ask(
            encode_answer(body=SHORT_BODY, lines=lines)
        )
        assert (status, body) == (200, SHORT_BODY)
    async with open_fleet() as (fleet, session):
        for target in fleet.targets.values():
            target.behaviour = Answering(lines)
        for number in range(4):
            status, _, _ = await send_request(
                session,
                first_value(fleet.daemons),
                f'{IDEMPOTENT_PREFIX}{number}',
            )
            assert status == 200


# Guards against a head that is none of a final response and reaches the caller,
# or keeps a request that may run again from another target.
@pytest.mark.parametrize(
    'answering',
    [
        pytest.param(Answering(SPOILED_LINE), id='control character'),
        *(
            pytest.param(
                Answering(status_line=f'HTTP/1.1 {status} Odd\r\n'.encode()),
                id=status,
            )
            for status in ('000', '099', '101', '600', '999')
        ),
    ],
)
@pytest.mark.parametrize(
    ('prefix', 'sound_targets', 'status'),
    [
        # A request that may run again is answered by another target.
        (IDEMPOTENT_PREFIX, 1, 200),
        (IDEMPOTENT_PREFIX, 0, 502),
        (NON_IDEMPOTENT_PREFIX, 0, 502),
    ],
)
async def test_spoiled_head_is_no_answer(
    prefix, sound_targets, status, answering
):
    async with open_fleet(targets=('north-1',) * sound_targets) as (fleet, _):
        await fleet.open_target('spoiling', 'north-1', answering)
        await asyncio.sleep(0.2)
        daemon = first_value(fleet.daemons)
        reader, writer = await asyncio.open_connection(
            *split_address(daemon.settings.listen)
        )
        for number in range(4):
            writer.write(
                f'GET {prefix}{number} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n'
                f'Authorization: Bearer {API_KEY}\r\n\r\n'.encode()
            )
        statuses = [(await read_response(reader))[0] for _ in range(4)]
        writer.close()
        assert statuses[0] == status
        # A target that fails is avoided for a while.
        assert set(statuses) <= {status, 503}
        ran = fleet.targets['spoiling'].executed_request_ids
        assert prefix == IDEMPOTENT_PREFIX or len(ran) == len(set(ran))
