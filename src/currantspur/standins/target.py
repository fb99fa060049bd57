"""Take the place of a target: slots, a queue, objects that it remembers."""

import asyncio
import socket
import struct
from abc import ABC, abstractmethod
from collections import OrderedDict
from collections.abc import Mapping
from http import HTTPStatus
from typing import Final

from currantspur.standins.connections import ConnectionServer

WARM_LIMIT = 25
WARM_SHARE = 0.3
QUEUE_FACTOR = 3
BODY = b'the whole answer of a target'
# Linger for no time at all: closing resets.
# Longer than an answer travels on loopback.
PAUSE_S = 0.03
MOVED, SHED = HTTPStatus.MISDIRECTED_REQUEST, HTTPStatus.SERVICE_UNAVAILABLE
OK, FAILED = HTTPStatus.OK, HTTPStatus.INTERNAL_SERVER_ERROR
RESET_AT_CLOSE = struct.pack('ii', 1, 0)


def reset_connection(writer: asyncio.StreamWriter) -> None:
    """End a connection so that its other side sees a reset."""
    if writer.transport.is_closing():
        return
    opened = writer.get_extra_info('socket')
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_AT_CLOSE)
    writer.transport.abort()


class ReceivedRequest:
    """Hold one request as a target sees it, and where its answer goes."""

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
        """Reset the connection, as a crash does."""
        reset_connection(self.writer)


class Behaviour(ABC):
    """Say how a target answers; the ways vary by class."""

    __slots__ = ()

    @abstractmethod
    async def answer(
        self, target: 'TargetStandin', asked: ReceivedRequest
    ) -> bool:
        """Answer; tell whether the connection goes on."""


class Healthy(Behaviour):
    """Answer as a target should."""

    __slots__ = ()

    async def answer(
        self, target: 'TargetStandin', asked: ReceivedRequest
    ) -> bool:
        """Run the request and answer whole."""
        if asked.headers.get('x-expect-instance', target.name) != target.name:
            asked.writer.write(target.head(asked, MOVED, length=0))
            return True
        if not await target.execute(asked):
            asked.writer.write(
                target.head(
                    asked, SHED, length=0, extra='X-Not-Executed: 1\r\n'
                )
            )
            return True
        asked.writer.write(target.head(asked, OK, length=len(BODY)) + BODY)
        return True


class Failing(Behaviour):
    """Run each request and answer that it failed."""

    __slots__ = ()

    async def answer(
        self, target: 'TargetStandin', asked: ReceivedRequest
    ) -> bool:
        """Answer 500."""
        await target.execute(asked)
        asked.writer.write(target.head(asked, FAILED, length=len(BODY)) + BODY)
        return True


class Shedding(Behaviour):
    """Reject every request unrun."""

    __slots__ = ()

    async def answer(
        self, target: 'TargetStandin', asked: ReceivedRequest
    ) -> bool:
        """Answer 503 and say that it did not run."""
        asked.writer.write(
            target.head(asked, SHED, length=0, extra='X-Not-Executed: 1\r\n')
        )
        return True


class Resetting(Behaviour):
    """Run each request and reset the connection."""

    __slots__ = ()

    async def answer(
        self, target: 'TargetStandin', asked: ReceivedRequest
    ) -> bool:
        """Reset without an answer."""
        await target.execute(asked)
        asked.reset()
        return False


class Truncating(Behaviour):
    """Announce a longer answer than comes."""

    __slots__ = ()

    async def answer(
        self, target: 'TargetStandin', asked: ReceivedRequest
    ) -> bool:
        """End before the announced length."""
        await target.execute(asked)
        head = target.head(asked, OK, length=2 * len(BODY))
        asked.writer.write(head + BODY)
        return False


class Unframed(Behaviour):
    """Answer without a length; the end of the connection ends the body."""

    __slots__ = ('is_reset',)

    def __init__(self, *, is_reset: bool) -> None:
        self.is_reset = is_reset

    async def answer(
        self, target: 'TargetStandin', asked: ReceivedRequest
    ) -> bool:
        """End the connection after the body, or reset it before."""
        await target.execute(asked)
        body = BODY[:5] if self.is_reset else BODY
        asked.writer.write(target.head(asked, OK, length=None) + body)
        await asked.writer.drain()
        if self.is_reset:
            await asyncio.sleep(PAUSE_S)
            asked.reset()
        return False


class Duplicating(Behaviour):
    """Answer each request twice; the second answer comes late."""

    __slots__ = ()

    async def answer(
        self, target: 'TargetStandin', asked: ReceivedRequest
    ) -> bool:
        """Answer, then answer the same request once more."""
        await target.execute(asked)
        whole = target.head(asked, OK, length=len(BODY)) + BODY
        asked.writer.write(whole)
        await asked.writer.drain()
        await asyncio.sleep(PAUSE_S)
        asked.writer.write(whole)
        return True


class Silent(Behaviour):
    """Take requests and never answer."""

    __slots__ = ()

    async def answer(
        self, target: 'TargetStandin', asked: ReceivedRequest
    ) -> bool:
        """Wait for the caller to leave."""
        await target.execute(asked)
        await asked.reader.read(1)
        return False


HEALTHY: Final = Healthy()


class TargetStandin(ConnectionServer):
    """Run requests in a few slots and remember objects."""

    __slots__ = (
        'behaviour',
        'cached_objects',
        'executed_request_ids',
        'name',
        'received',
        'slot_semaphore',
        'slots',
        'waiting',
        'work_s',
    )

    def __init__(
        self,
        *,
        name: str,
        address: str,
        slots: int = 3,
        work_s: float = 0.02,
        behaviour: Behaviour = HEALTHY,
    ) -> None:
        """Take the seconds of work of an object that it does not know."""
        super().__init__(address)
        self.name = name
        self.slots = slots
        self.work_s = work_s
        self.behaviour = behaviour
        self.received: list[ReceivedRequest] = []
        # The requests that it began to work on.
        self.executed_request_ids: list[str] = []
        self.slot_semaphore = asyncio.Semaphore(slots)
        self.waiting = 0
        self.cached_objects: OrderedDict[str, None] = OrderedDict()

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Answer one request after the other."""
        while await self._serve_one(reader, writer):
            await writer.drain()

    async def execute(self, asked: ReceivedRequest) -> bool:
        """Wait for a slot and work; tell whether it did."""
        if self.waiting >= QUEUE_FACTOR * self.slots:
            return False
        self.waiting += 1
        async with self.slot_semaphore:
            self.waiting -= 1
            self.executed_request_ids.append(
                asked.headers.get('x-request-id', '')
            )
            await asyncio.sleep(self.work_s * self._learn(asked))
        return True

    def head(
        self,
        asked: ReceivedRequest,
        status: int,
        *,
        length: int | None,
        extra: str = '',
    ) -> bytes:
        """Return the head of an answer."""
        framing = '' if length is None else f'Content-Length: {length}\r\n'
        # asyncio.Semaphore shows no count of its own.
        free = self.slot_semaphore._value
        load = f'{self.slots - free},{self.waiting},{self.slots}'
        request_id = asked.headers.get('x-request-id', '')
        return (
            f'HTTP/1.1 {int(status)} Answer\r\n'
            f'X-Request-Id: {request_id}\r\n'
            f'X-Server-Stamp: {self.name}\r\n'
            f'X-Server-Load: {load}\r\n'
            f'{framing}{extra}\r\n'
        ).encode()

    def _learn(self, asked: ReceivedRequest) -> float:
        known = asked.headers.get('x-affinity-key', '')
        is_warm = known in self.cached_objects
        self.cached_objects[known] = None
        self.cached_objects.move_to_end(known)
        if len(self.cached_objects) > WARM_LIMIT:
            self.cached_objects.popitem(last=False)
        return WARM_SHARE if is_warm else 1.0

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        head = (await reader.readuntil(b'\r\n\r\n')).decode('latin-1')
        first, *lines = head.rstrip('\r\n').split('\r\n')
        method, path, _ = first.split(' ', 2)
        headers = dict(_split_header(line) for line in lines)
        length = int(headers.get('content-length', '0'))
        asked = ReceivedRequest(
            method=method,
            path=path,
            headers=headers,
            body=await reader.readexactly(length),
            reader=reader,
            writer=writer,
        )
        self.received.append(asked)
        return await self.behaviour.answer(self, asked)


def _split_header(line: str) -> tuple[str, str]:
    name, _, text = line.partition(':')
    return name.lower(), text.strip()
