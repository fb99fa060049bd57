"""Measure what control messages between instances cost."""

import asyncio
import time
from collections.abc import AsyncIterator, Iterable, Iterator
from contextlib import AsyncExitStack
from types import MappingProxyType
from typing import Final

import uvloop

from bench.case import Case, Figure
from bench.processes import HOST, find_port
from currantspur.messages import (
    Instance,
    Loan,
    LoanRequest,
    Message,
    ProofAnswer,
    ProofRequest,
    Receipt,
    VersionNotice,
)
from currantspur.tasks import Letter, Task
from currantspur.wire.peer_grpc import GrpcPeers, PeerServer

EXCHANGES = 2_000
WARM = 50
TIMEOUT_S = 5.0
CHUNK_BYTES = 65_536
US_PER_S = 1_000_000
ANSWERS: Final = MappingProxyType(
    {
        ProofRequest: ProofAnswer(answerer='entry-17', version=480, age_s=0.2),
        LoanRequest: Loan(
            limit='team/winery', tokens=4.0, lapse_s=0.5, loan_id='0' * 16
        ),
        VersionNotice: Receipt(answerer='entry-17'),
    }
)
QUESTIONS = (
    ProofRequest(asker='entry-42'),
    LoanRequest(
        asker='entry-42',
        limit='team/winery',
        tokens=4.0,
        version=480,
        loan_id='0' * 16,
    ),
    VersionNotice(sender='entry-42', version=480),
)


class Answerer(Task):
    """Answer every question at once."""

    __slots__ = ()

    def receive(self, letters: Iterable[Letter]) -> None:
        """Answer each letter by the class of its message."""
        for letter in letters:
            letter.answer(ANSWERS[type(letter.message)])


class CountingRelay:
    """Pass bytes on between two sockets and count them."""

    __slots__ = ('counted', 'destination', 'streams')

    def __init__(self, destination: str) -> None:
        self.destination = destination
        self.counted = 0
        self.streams: set[asyncio.Task[None]] = set()

    async def accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Join a connection to one of its own to the destination."""
        host, _, port = self.destination.rpartition(':')
        there_reader, there_writer = await asyncio.open_connection(
            host, int(port)
        )
        self.streams.add(
            asyncio.create_task(self.copy(there_reader, writer)),
        )
        await self.copy(reader, there_writer)

    async def copy(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Copy until the end."""
        while chunk := await reader.read(CHUNK_BYTES):
            self.counted += len(chunk)
            writer.write(chunk)
        writer.close()


class PeerCase(Case):
    """Exchange one kind of message over gRPC on loopback."""

    __slots__ = ('name', 'question')

    def __init__(self, question: Message) -> None:
        self.question = question
        self.name = f'peer exchange {type(question).__name__}'

    def run(self, seed: int) -> Iterator[Figure]:
        """Yield processor time of both sides and bytes both ways."""
        yield from uvloop.run(self._collect())

    async def _collect(self) -> list[Figure]:
        return [figure async for figure in self._measure()]

    async def _measure(self) -> AsyncIterator[Figure]:
        async with AsyncExitStack() as stack:
            address = await self._serve(stack)
            relay = CountingRelay(address)
            server = await asyncio.start_server(relay.accept, HOST, 0)
            stack.callback(server.close)
            port = server.sockets[0].getsockname()[1]
            peers = GrpcPeers()
            stack.push_async_callback(peers.close)
            await self._exchange(peers, f'{HOST}:{port}', WARM)
            before = relay.counted
            await self._exchange(peers, f'{HOST}:{port}', EXCHANGES)
            counted = relay.counted - before
            await self._exchange(peers, address, WARM)
            began = time.process_time()
            await self._exchange(peers, address, EXCHANGES)
            spent_s = time.process_time() - began
            yield Figure(
                name='bytes both ways', reading=counted / EXCHANGES, unit='B'
            )
            yield Figure(
                name='processor time of both sides',
                reading=spent_s / EXCHANGES * US_PER_S,
                unit='us',
            )

    async def _serve(self, stack: AsyncExitStack) -> str:
        answerer = Answerer()
        job = asyncio.create_task(answerer.run())
        stack.callback(job.cancel)
        server = PeerServer({type(self.question): answerer.mailbox})
        address = f'{HOST}:{find_port()}'
        await server.start(address)
        stack.push_async_callback(server.stop)
        return address

    async def _exchange(
        self, peers: GrpcPeers, address: str, count: int
    ) -> None:
        peer = Instance(
            name='entry-17', address='', peer=address, availability_zone='z'
        )
        for _ in range(count):
            await peers.ask(peer, self.question, timeout_s=TIMEOUT_S)


CASES = tuple(PeerCase(question) for question in QUESTIONS)
