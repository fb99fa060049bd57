"""Stand-in for a target: slots, a bounded queue and a cache of objects."""

import asyncio
import socket
import struct
from collections import OrderedDict
from collections.abc import Mapping

from currantspur.standins.behaviours import HEALTHY, Behaviour
from currantspur.standins.connections import ConnectionServer

MAX_CACHED_OBJECTS = 25
# A cached object takes this share of the work of an uncached one.
CACHED_WORK_SHARE = 0.3
MAX_QUEUED_PER_SLOT = 3
UNCACHED_WORK_S = 0.02
USUAL_PACE_PERCENT = 100
# A linger time of 0 s: the kernel resets the connection when it is closed.
RESET_AT_CLOSE = struct.pack('ii', 1, 0)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """Close a connection so that the peer sees a reset; no-op if closing."""
    if writer.transport.is_closing():
        return
    sock = writer.get_extra_info('socket')
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    writer.transport.abort()


class ReceivedRequest:
    """One request as received, with the streams of its connection.

    Header names are in lower case.
    """

    __slots__ = ('body', 'headers', 'method', 'path', 'reader', 'writer')

    def __init__(
        self,
        *,
        method: str,
        path: str,
        headers: Mapping[str, str],
        body: bytes,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        self.method = method
        self.path = path
        self.headers = headers
        self.body = body
        self.reader = reader
        self.writer = writer

    def reset(self) -> None:
        """Reset the connection, as a crash of the target does."""
        reset_connection(self.writer)


class TargetStandin(ConnectionServer):
    """Execute requests in a few slots and cache objects by key.

    Cached objects take less work; the least recently used is evicted.
    """

    __slots__ = (
        'behaviour',
        'cached_objects',
        'executed_request_ids',
        'extra_headers',
        'name',
        'pace_percent',
        'queued',
        'received',
        'slot_semaphore',
        'slots',
        'uncached_work_s',
    )

    def __init__(
        self,
        *,
        name: str,
        address: str,
        slots: int = 3,
        uncached_work_s: float = UNCACHED_WORK_S,
        behaviour: Behaviour = HEALTHY,
    ) -> None:
        """Create a target; uncached work takes uncached_work_s seconds."""
        super().__init__(address)
        self.name = name
        self.slots = slots
        self.uncached_work_s = uncached_work_s
        self.behaviour = behaviour
        # Lines that each head of a response has, with their ends.
        self.extra_headers = ''
        self.received: list[ReceivedRequest] = []
        # Ids of all requests whose execution began, in order.
        self.executed_request_ids: list[str] = []
        self.slot_semaphore = asyncio.Semaphore(slots)
        self.queued = 0
        # How long work takes on the machine, as a share of the usual time; load
        # reports state it unless it is None.
        self.pace_percent: int | None = None
        self.cached_objects: OrderedDict[str, None] = OrderedDict()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Respond to requests in order while the behaviour returns True."""
        while await self._serve_request(reader, writer):
            await writer.drain()

    async def execute(self, request: ReceivedRequest) -> bool:
        """Execute a request when a slot is free.

        Return False, without executing it, if the queue is full.
        """
        if self.queued >= MAX_QUEUED_PER_SLOT * self.slots:
            return False
        self.queued += 1
        async with self.slot_semaphore:
            self.queued -= 1
            self.executed_request_ids.append(
                request.headers.get('x-request-id', '')
            )
            await asyncio.sleep(
                self.uncached_work_s
                * self._cache_object(request)
                * (self.pace_percent or USUAL_PACE_PERCENT)
                / USUAL_PACE_PERCENT
            )
        return True

    def format_head(
        self,
        request: ReceivedRequest,
        status: int,
        *,
        length: int | None,
        extra: str = '',
    ) -> bytes:
        """Return the encoded head of a response; no length is sent for None."""
        framing = '' if length is None else f'Content-Length: {length}\r\n'
        # asyncio.Semaphore has no public attribute for its count.
        free = self.slot_semaphore._value
        load = f'{self.slots - free},{self.queued},{self.slots}'
        if self.pace_percent is not None:
            load = f'{load},{self.pace_percent}'
        request_id = request.headers.get('x-request-id', '')
        return (
            f'HTTP/1.1 {int(status)} Answer\r\n'
            f'X-Request-Id: {request_id}\r\n'
            f'X-Server-Stamp: {self.name}\r\n'
            f'X-Server-Load: {load}\r\n'
            f'{framing}{self.extra_headers}{extra}\r\n'
        ).encode()

    def _cache_object(self, request: ReceivedRequest) -> float:
        """Cache the object of a request; return its share of full work."""
        object_key = request.headers.get('x-affinity-key', '')
        is_cached = object_key in self.cached_objects
        self.cached_objects[object_key] = None
        self.cached_objects.move_to_end(object_key)
        if len(self.cached_objects) > MAX_CACHED_OBJECTS:
            self.cached_objects.popitem(last=False)
        return CACHED_WORK_SHARE if is_cached else 1.0

    async def _serve_request(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        request_line, *header_lines = head.rstrip('\r\n').split('\r\n')
        method, path, _ = request_line.split(' ', 2)
        headers = dict(_split_header(line) for line in header_lines)
        length = int(headers.get('content-length', '0'))
        request = ReceivedRequest(
            method=method,
            path=path,
            headers=headers,
            body=await reader.readexactly(length),
            reader=reader,
            writer=writer,
        )
        self.received.append(request)
        return await self.behaviour.respond(self, request)


def _split_header(line: str) -> tuple[str, str]:
    name, _, text = line.partition(':')
    return name.lower(), text.strip()
