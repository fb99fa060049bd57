"""Requests with bodies of each framing, alone and behind others."""

import asyncio
from contextlib import asynccontextmanager, suppress

import pytest
from hypothesis import given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from currantspur.settings.document import split_address
from currantspur.standins.fleet import (
    API_KEY,
    IDEMPOTENT_PREFIX,
    NON_IDEMPOTENT_PREFIX,
    ROUTE_HOST,
    wait_until,
)
from tests.fleets import first_value, open_fleet
from tests.strict_target import FAIL_EARLY, SHED_EARLY, StrictTarget

METHODS = ('GET', 'HEAD', 'OPTIONS', 'DELETE', 'POST', 'PUT', 'PATCH')
FRAMINGS = ('length', 'chunks')
PREFIXES = (IDEMPOTENT_PREFIX, NON_IDEMPOTENT_PREFIX)
ANSWER_TIMEOUT_S = 3.0
# More than the buffers of a connection to a target hold.
LONG_BODY = b'x' * 1_500_000
MAX_BODY_BYTES = 2_000_000


class Message:
    """A request of a caller, and its bytes on the wire."""

    def __init__(self, request_id, method, path, body, framing):
        self.request_id = request_id
        self.method = method
        self.path = path
        self.body = body if framing else b''
        self.framing = framing

    def encode(self):
        return (
            f'{self.method} {self.path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n'
            f'X-Request-Id: {self.request_id}\r\n'
            f'X-Affinity-Key: {self.request_id}\r\n'
            f'Authorization: Bearer {API_KEY}\r\n'
        ).encode() + self.encode_body()

    def encode_body(self):
        if self.framing == 'length':
            return b'Content-Length: %d\r\n\r\n%b' % (len(self.body), self.body)
        if self.framing == 'chunks':
            chunks = b''.join(self.iterate_chunks())
            return b'Transfer-Encoding: chunked\r\n\r\n%b0\r\n\r\n' % chunks
        return b'\r\n'

    def iterate_chunks(self):
        middle = len(self.body) // 2
        for chunk in (self.body[:middle], self.body[middle:]):
            if chunk:
                yield b'%x\r\n%b\r\n' % (len(chunk), chunk)


@asynccontextmanager
async def open_strict_fleet():
    async with open_fleet(targets=()) as (fleet, _):
        fleet.configure(limits={'max_body_bytes': MAX_BODY_BYTES})
        for number in range(2):
            target = StrictTarget(f'strict-{number}')
            await target.start()
            fleet.stack.push_async_callback(target.close)
            fleet.targets[target.name] = target
            fleet.register_target(target.name, 'north-1')
        await wait_until(fleet.is_up_to_date)
        yield fleet


async def exchange(fleet, messages, pause_s=0.0):
    """Send requests on one connection ahead of their answers.

    Return the statuses by request id, of the answers before the connection
    ended.
    """
    daemon = first_value(fleet.daemons)
    reader, writer = await asyncio.open_connection(
        *split_address(daemon.settings.listen)
    )
    reading = asyncio.ensure_future(read_statuses(reader, messages))
    try:
        for message in messages:
            writer.write(message.encode())
            await asyncio.sleep(pause_s)
        async with asyncio.timeout(ANSWER_TIMEOUT_S):
            return await reading
    finally:
        writer.close()


async def read_statuses(reader, messages):
    statuses = {}
    # The end of the connection ends the answers.
    with suppress(asyncio.IncompleteReadError, ConnectionError):
        for message in messages:
            head = (await reader.readuntil(b'\r\n\r\n')).decode().lower()
            lines = head.splitlines()
            headers = dict(line.split(': ', 1) for line in lines[1:] if line)
            if message.method != 'HEAD':
                await reader.readexactly(int(headers['content-length']))
            statuses[headers['x-request-id']] = int(lines[0].split()[1])
    return statuses


def check_received(fleet, sent, statuses):
    """Assert that targets got the bytes that callers sent, and no others.

    `sent` has the messages by request id. What was checked is forgotten.
    """
    arrived = set()
    for target in fleet.targets.values():
        assert not target.violations
        for request_id, received in target.whole.items():
            each = sent[request_id]
            assert received == (each.method, each.path, each.body)
        for request_id, (method, path, part) in target.cut.items():
            each = sent[request_id]
            assert (method, path) == (each.method, each.path)
            assert each.body.startswith(part)
        arrived.update(target.whole)
        target.forget()
    succeeded = {each for each, status in statuses.items() if status == 200}
    assert succeeded <= arrived


def by_id(messages):
    return {each.request_id: each for each in messages}


# Guards against a body that is left out, or taken from the next request on the
# connection to the target, as its own request was sent behind another.
@pytest.mark.parametrize('place', ['free', SHED_EARLY, FAIL_EARLY])
@pytest.mark.parametrize('ahead', [0, 1, 2, 5])
@pytest.mark.parametrize('prefix', PREFIXES)
async def test_target_gets_the_announced_bytes(prefix, ahead, place):
    async with open_strict_fleet() as fleet:
        sent = {}
        for number, (method, framing) in enumerate(
            (method, framing) for method in METHODS for framing in FRAMINGS
        ):
            path = f'{prefix}{place}/{number}'
            batch = [
                Message(f'a-{number}-{before}', 'GET', f'{prefix}1', b'', None)
                for before in range(ahead)
            ]
            batch.append(Message(f'b-{number}', method, path, b'body', framing))
            # The first on its connection to a target, if that was kept.
            batch.append(Message(f'c-{number}', 'GET', f'{prefix}2', b'', None))
            statuses = await exchange(fleet, batch)
            sent |= by_id(batch)
            check_received(fleet, sent, statuses)
            assert statuses.keys() == by_id(batch).keys()
            if place == 'free':
                assert set(statuses.values()) == {200}


# Mostly methods and bodies of pipelined requests that begin before their turn.
MESSAGES = st.lists(
    st.tuples(
        st.sampled_from(('GET', 'GET', 'GET', *METHODS)),
        st.sampled_from(PREFIXES),
        st.sampled_from(['free', 'free', SHED_EARLY, FAIL_EARLY]),
        st.sampled_from([None, *FRAMINGS]),
        st.sampled_from([b'', b'x', b'x' * 300, b'x' * 5000, LONG_BODY]),
    ),
    min_size=2,
    max_size=6,
)


async def check_drafts(fleet, sent, drafts, pause_s):
    example = len(sent)
    messages = [
        Message(f'{example}-{place}', method, prefix + answer, body, framing)
        for place, (method, prefix, answer, framing, body) in enumerate(drafts)
    ]
    last = [Message(f'{example}-last', 'GET', f'{PREFIXES[0]}1', b'', None)]
    # Targets may still record requests of earlier examples.
    sent |= by_id(messages + last)
    statuses = await exchange(fleet, messages, pause_s)
    statuses |= await exchange(fleet, last)
    check_received(fleet, sent, statuses)


@pytest.fixture(scope='module')
def shared_fleet():
    """Open a fleet for all examples, and a dict of the requests sent to it."""
    with asyncio.Runner() as runner:
        opening = open_strict_fleet()
        try:
            yield runner, runner.run(opening.__aenter__()), {}
        finally:
            runner.run(opening.__aexit__(None, None, None))


# Guards against requests that a target takes for a part of another one, after
# any order of framings and of answers that come before the body was read.
@hypothesis_settings(max_examples=60)
@given(drafts=MESSAGES, pause_s=st.sampled_from([0.0, 0.02]))
def test_pipelines_keep_their_framing(shared_fleet, drafts, pause_s):
    runner, fleet, sent = shared_fleet
    runner.run(check_drafts(fleet, sent, drafts, pause_s))
