"""Faults of input: clients outside all limits, odd rows and datagrams."""

import asyncio
import socket
from contextlib import suppress
from random import Random
from typing import TYPE_CHECKING, Final

from currantspur.platform import PLATFORM_NAMES
from currantspur.platform.names import TARGET_TABLE
from currantspur.settings.document import split_address
from currantspur.soak.fault import Fault, wait_fault_duration
from currantspur.standins.fleet import API_KEY, IDEMPOTENT_PREFIX, ROUTE_HOST
from currantspur.tasks.registrar import INSTANCES_TABLE

if TYPE_CHECKING:
    from currantspur.settings import DaemonSettings
    from currantspur.soak.run import Soak

CROWD_SIZE = 24
PATHS = (PLATFORM_NAMES.ready_path, '/none/1', f'{IDEMPOTENT_PREFIX}1')
PIPELINED_REQUESTS = 300
ROUTE_QUERY: Final = f'host={ROUTE_HOST}&method=GET&path={IDEMPOTENT_PREFIX}1'
ROUTE_QUESTION: Final = (
    f'GET /route?{ROUTE_QUERY} HTTP/1.1\r\nHost: h\r\n\r\n'
).encode()
# As another writer could leave them.
ODD_ROWS: Final = (
    b'',
    b'\xff\x00',
    b'[]',
    b'{"state": "ready"}',
    b'{"service": "things", "address": "127.0.0.1:0", "zone": 7}',
)
ODD_KEY_FIELD: Final = b''.join(
    (PLATFORM_NAMES.object_key_header.encode(), b': \xff\r\n\r\n')
)
FULL_DATAGRAM_BYTES = 1400
ODD_DATAGRAMS: Final = (b'', b'\x00', b'{}', b'x' * FULL_DATAGRAM_BYTES)
# The configuration of the fleet allows bodies of 4,096 bytes.
ALMOST_WHOLE_BYTES = 4000
FAR_TOO_LARGE = 9_999_999
SHORT_FIELDS = 5000
BODY = b'x' * (ALMOST_WHOLE_BYTES - 1)
CHUNKS = b'1\r\nx\r\n' * (ALMOST_WHOLE_BYTES - 1)


class Crowd(Fault):
    """Clients that send too much, too little or never read."""

    __slots__ = ()

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Keep the connections to one instance open for a while."""
        settings = random.choice(soak.processes).settings
        writers = []
        for _ in range(CROWD_SIZE):
            # The instance may be away, or refuse so many.
            with suppress(OSError):
                writers.append(await _open_client(settings, random))
        await wait_fault_duration(random)
        for writer in writers:
            writer.transport.abort()


class OddInput(Fault):
    """Rows of another writer, and datagrams of anybody."""

    __slots__ = ()

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Write odd rows, send odd datagrams, and remove the rows."""
        store = soak.fleet.store
        keys = [
            (table, f'odd-{number}')
            for table in (TARGET_TABLE, INSTANCES_TABLE)
            for number in range(len(ODD_ROWS))
        ]
        for table, key in keys:
            store.put(table, key, random.choice(ODD_ROWS))
        with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as sender:
            for process in soak.processes:
                sender.sendto(
                    random.choice(ODD_DATAGRAMS),
                    split_address(process.settings.peer),
                )
        await wait_fault_duration(random)
        for table, key in keys:
            store.remove(table, key)


async def _open_client(
    settings: 'DaemonSettings', random: Random
) -> asyncio.StreamWriter:
    address = random.choice(
        (
            settings.listen,
            settings.ready,
            settings.directory,
            settings.metrics,
            settings.peer,
        )
    )
    _reader, writer = await asyncio.open_connection(*split_address(address))
    writer.write(_draw_input(random))
    return writer


def _draw_input(random: Random) -> bytes:
    """Return what one client of a crowd sends; most of it is unfinished."""
    path = random.choice(PATHS)
    head = (
        f'POST {path} HTTP/1.1\r\nHost: {ROUTE_HOST}\r\n'
        f'Authorization: Bearer {API_KEY}\r\n'
    ).encode()
    whole = b''.join((head.replace(b'POST', b'GET'), b'\r\n'))
    almost_whole = f'Content-Length: {ALMOST_WHOLE_BYTES}\r\n\r\n'.encode()
    too_large = f'Content-Length: {FAR_TOO_LARGE}\r\n\r\n'.encode()
    chunked = b'Transfer-Encoding: chunked\r\n\r\n'
    return random.choice(
        (
            b'',
            head,
            b''.join((head, b'a:\r\n' * SHORT_FIELDS)),
            b''.join((head, almost_whole, BODY)),
            b''.join((head, too_large, BODY)),
            b''.join((head, chunked, CHUNKS)),
            b''.join((head, ODD_KEY_FIELD)),
            whole * PIPELINED_REQUESTS,
            whole.replace(b' HTTP', b'#x HTTP'),
            whole.replace(b'GET', b'CONNECT'),
            ROUTE_QUESTION * PIPELINED_REQUESTS,
        )
    )
