"""Clients that take memory, descriptors or processor time of an instance."""

import asyncio
from contextlib import AsyncExitStack, suppress
from itertools import chain, repeat
from pathlib import Path

import aiohttp
import pytest

from currantspur.messages.limits import FleetLimits
from currantspur.settings import DaemonSettings
from currantspur.settings.document import split_address
from currantspur.soak.processes import EntryProcess
from currantspur.standins.behaviours import Behaviour
from currantspur.standins.fleet import (
    API_KEY,
    IDEMPOTENT_PREFIX,
    REGIONS,
    ROUTE_HOST,
    Fleet,
    find_free_address,
)

# Machine of the smallest instance; the descriptors are fewer, so that few
# clients reach the bound.
MEMORY_MB = 152
MAX_FDS = 256
MAX_BODY_BYTES = 8 * 2**20
# The clients send for so long, and stay connected afterwards.
CROWD_S = 3.0
# Repeats of the one ordinary request, each of which may be refused.
ORDINARY_TRIES = 8
ORDINARY_TIMEOUT_S = 2.0
LARGE_RESPONSE_BYTES = 200_000
LARGE_PREFIX = f'{IDEMPOTENT_PREFIX}large/'
NO_ROUTE = '/none/'


class LargeResponses(Behaviour):
    """Respond to some paths with many bytes, to others as a sound target."""

    async def respond(self, target, request):
        await target.execute(request)
        body = b'x' * 10
        if request.path.startswith(LARGE_PREFIX):
            body = b'x' * LARGE_RESPONSE_BYTES
        request.writer.write(
            target.format_head(request, 200, length=len(body)) + body
        )
        return True


def make_head(path, *fields, method='POST'):
    lines = (
        f'{method} {path} HTTP/1.1',
        f'Host: {ROUTE_HOST}',
        f'Authorization: Bearer {API_KEY}',
        *fields,
    )
    return '\r\n'.join((*lines, '', '')).encode()


def make_length(size):
    return f'Content-Length: {size}'


CHUNKED = 'Transfer-Encoding: chunked'
CHUNK_BYTES = 65_536


def send_almost_whole(path, piece_bytes):
    """Return a body of the largest legal size without its last byte."""
    whole = b'x' * (MAX_BODY_BYTES - 1)
    pieces = (
        whole[start : start + piece_bytes]
        for start in range(0, len(whole), piece_bytes)
    )
    return (make_head(path, make_length(MAX_BODY_BYTES)), *pieces), None


def chunk_of(size):
    return b'%x\r\n%b\r\n' % (size, b'x' * size)


def send_chunks(path):
    """Return a body of almost the largest legal size without its end."""
    count = MAX_BODY_BYTES // CHUNK_BYTES - 1
    return (make_head(path, CHUNKED), chunk_of(CHUNK_BYTES) * count), None


def send_forever(beginning, piece):
    return (beginning,), piece


def send_once(piece):
    return (piece,), None


ON_ROUTE = f'{IDEMPOTENT_PREFIX}1'
MANY_FIELDS = ''.join(f'f{number}:{"y" * 100}\r\n' for number in range(120))
PIPELINED = make_head(f'{LARGE_PREFIX}1', method='GET') * 400
# Name, address of the settings, clients, what each sends. Fixed before the
# product was changed; the bounds are MEMORY_MB and MAX_FDS.
CROWDS = [
    ('one piece', 'listen', 40, send_almost_whole(ON_ROUTE, MAX_BODY_BYTES)),
    ('small pieces', 'listen', 40, send_almost_whole(ON_ROUTE, 20_000)),
    ('chunks that stop', 'listen', 40, send_chunks(ON_ROUTE)),
    (
        'chunks without end',
        'listen',
        40,
        send_forever(make_head(ON_ROUTE, CHUNKED), chunk_of(65_536)),
    ),
    (
        'chunks without end, no route',
        'listen',
        40,
        send_forever(make_head(NO_ROUTE, CHUNKED), chunk_of(65_536)),
    ),
    (
        'chunks of one byte',
        'listen',
        40,
        send_forever(make_head(ON_ROUTE, CHUNKED), chunk_of(1) * 10_000),
    ),
    (
        'chunks of one byte, no route',
        'listen',
        40,
        send_forever(make_head(NO_ROUTE, CHUNKED), chunk_of(1) * 10_000),
    ),
    (
        'over the limit',
        'listen',
        40,
        send_forever(make_head(ON_ROUTE, make_length(2**30)), b'x' * 65_536),
    ),
    (
        'many fields',
        'listen',
        150,
        send_once(make_head(ON_ROUTE)[:-2] + MANY_FIELDS.encode()),
    ),
    (
        'head without end',
        'listen',
        100,
        send_forever(make_head(ON_ROUTE)[:-2], b'x: %b\r\n' % (b'y' * 60_000)),
    ),
    ('unread responses', 'listen', 60, send_once(PIPELINED)),
    ('no head', 'listen', 500, send_once(b'')),
    ('half a head', 'listen', 500, send_once(make_head(ON_ROUTE)[:-2])),
    ('no head, look-ups', 'directory', 500, send_once(b'')),
    ('no head, readiness', 'ready', 500, send_once(b'')),
    (
        'chunks without end, look-ups',
        'directory',
        40,
        send_forever(make_head('/-/resolve', CHUNKED), chunk_of(65_536)),
    ),
    (
        'chunks of one byte, readiness',
        'ready',
        40,
        send_forever(make_head('/-/ready', CHUNKED), chunk_of(1) * 10_000),
    ),
    (
        'chunks of one byte, peers',
        'peer',
        40,
        send_forever(make_head('/rows', CHUNKED), chunk_of(1) * 10_000),
    ),
]


def make_settings(store_address):
    return DaemonSettings(
        instance='entry-0',
        availability_zone='north-1',
        regions=REGIONS,
        listen=find_free_address(),
        ready=find_free_address(),
        directory=find_free_address(),
        peer=find_free_address(),
        metrics=find_free_address(),
        store=store_address,
        limits=FleetLimits(),
        memory_mb=MEMORY_MB,
        max_fds=MAX_FDS,
    )


async def run_client(address, beginning, repeated):
    """Send pieces and read nothing, until cancelled or closed."""
    endless = repeat(repeated) if repeated else ()
    with suppress(OSError):
        _, writer = await asyncio.open_connection(*split_address(address))
        try:
            for piece in chain(beginning, endless):
                writer.write(piece)
                await writer.drain()
            await asyncio.Event().wait()
        finally:
            writer.transport.abort()


async def wait_until_ready(session, settings):
    while True:
        with suppress(aiohttp.ClientError):
            async with session.get(
                f'http://{settings.ready}/-/ready'
            ) as response:
                if response.status == 200:
                    return
        await asyncio.sleep(0.05)


async def send_ordinary(settings):
    """Return the status of an ordinary request, repeated if it is refused."""
    status = None
    for _ in range(ORDINARY_TRIES):
        timeout = aiohttp.ClientTimeout(total=ORDINARY_TIMEOUT_S)
        with suppress(aiohttp.ClientError, TimeoutError):
            async with (
                aiohttp.ClientSession(timeout=timeout) as session,
                session.post(
                    f'http://{settings.listen}{IDEMPOTENT_PREFIX}2',
                    data=b'an ordinary body',
                    headers={
                        'Host': ROUTE_HOST,
                        'Authorization': f'Bearer {API_KEY}',
                    },
                ) as response,
            ):
                status = response.status
        if status == 200:
            break
        await asyncio.sleep(0.2)
    return status


def read_peak_mb(pid):
    """Return the highest resident memory of a process so far."""
    lines = Path(f'/proc/{pid}/status').read_text().splitlines()
    line = next(each for each in lines if each.startswith('VmHWM'))
    return int(line.split()[1]) / 1024


def count_descriptors(pid):
    return sum(1 for _ in Path(f'/proc/{pid}/fd').iterdir())


async def start_instance(stack, folder):
    fleet = Fleet(stack)
    await fleet.open(zones=(), targets=())
    await fleet.open_target('target', 'north-1', LargeResponses(), slots=200)
    slow_route = {'timeout_s': 20, 'target_latency_s': 1}
    fleet.configure(
        repeat=slow_route,
        once=slow_route,
        one={'rate_per_s': 10_000, 'burst': 10_000},
        limits={'max_body_bytes': MAX_BODY_BYTES},
    )
    entry = EntryProcess(make_settings(fleet.store.address), folder)
    await entry.start()
    stack.push_async_callback(entry.stop)
    session = await stack.enter_async_context(aiohttp.ClientSession())
    await wait_until_ready(session, entry.settings)
    return entry


# Guards against clients that stop or slow down all others: by the memory of
# bodies, heads and responses, by descriptors or by processor time.
@pytest.mark.parametrize(
    ('address', 'count', 'pieces'),
    [pytest.param(*crowd, id=name) for name, *crowd in CROWDS],
)
async def test_crowd_is_survived(tmp_path, address, count, pieces):
    async with AsyncExitStack() as stack:
        entry = await start_instance(stack, tmp_path)
        pid = entry.process.pid
        clients = [
            asyncio.ensure_future(
                run_client(getattr(entry.settings, address), *pieces)
            )
            for _ in range(count)
        ]
        await asyncio.sleep(CROWD_S)
        descriptors = count_descriptors(pid)
        status = await send_ordinary(entry.settings)
        is_alive = entry.process.returncode is None
        peak_mb = read_peak_mb(pid) if is_alive else None
        for client in clients:
            client.cancel()
        await asyncio.gather(*clients, return_exceptions=True)
        assert is_alive
        assert (descriptors <= MAX_FDS, status) == (True, 200), descriptors
        assert peak_mb < MEMORY_MB
