"""Answer as targets do that are slow, full or broken."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable
from http import HTTPStatus
from types import MappingProxyType
from typing import Final

from aiohttp import web

Run = Callable[[], Awaitable[web.Response]]

SLOW_S = 1.5
PIECES = 64
PIECE_BYTES = 32_768
PIECE = bytes(PIECE_BYTES)


class Fault(ABC):
    """Answer one request wrongly; call run where the request still runs."""

    __slots__ = ()

    @abstractmethod
    async def answer(
        self, request: web.Request, run: Run
    ) -> web.StreamResponse:
        """Return what is left to be sent."""


class Slow(Fault):
    """Run at once and answer late."""

    __slots__ = ()

    async def answer(
        self, request: web.Request, run: Run
    ) -> web.StreamResponse:
        """Return the answer after a wait."""
        answer = await run()
        await asyncio.sleep(SLOW_S)
        return answer


class Deaf(Fault):
    """Go on and answer although the caller has left."""

    __slots__ = ()

    async def answer(
        self, request: web.Request, run: Run
    ) -> web.StreamResponse:
        """Return the answer late, whatever is cancelled."""
        late = asyncio.ensure_future(Slow().answer(request, run))
        return await asyncio.shield(late)


class Shed(Fault):
    """Refuse unrun and say so."""

    __slots__ = ()

    async def answer(
        self, request: web.Request, run: Run
    ) -> web.StreamResponse:
        """Return the documented refusal."""
        return web.Response(
            status=HTTPStatus.SERVICE_UNAVAILABLE, headers={'X-Not-Run': 'true'}
        )


class Unavailable(Fault):
    """Run, and refuse without saying whether the request ran."""

    __slots__ = ()

    async def answer(
        self, request: web.Request, run: Run
    ) -> web.StreamResponse:
        """Return a plain refusal."""
        await run()
        return web.Response(status=HTTPStatus.SERVICE_UNAVAILABLE)


class ResetBeforeHead(Fault):
    """Run, and reset the connection before the head of the answer."""

    __slots__ = ()

    async def answer(
        self, request: web.Request, run: Run
    ) -> web.StreamResponse:
        """Return nothing that arrives."""
        answer = await run()
        _reset(request)
        return answer


class ResetAfterHead(Fault):
    """Run, send the head of the answer and a piece, and reset."""

    __slots__ = ('pieces',)

    def __init__(self, *, pieces: int) -> None:
        self.pieces = pieces

    async def answer(
        self, request: web.Request, run: Run
    ) -> web.StreamResponse:
        """Return a chunked answer that was cut."""
        await run()
        answer = web.StreamResponse()
        await answer.prepare(request)
        for _ in range(self.pieces):
            await answer.write(PIECE)
        await asyncio.sleep(0)
        _reset(request)
        return answer


class HalfAnswer(Fault):
    """Run, send less than the length announced, and close politely."""

    __slots__ = ('piece',)

    def __init__(self, *, piece: bytes) -> None:
        self.piece = piece

    async def answer(
        self, request: web.Request, run: Run
    ) -> web.StreamResponse:
        """Return an answer of which half is missing."""
        await run()
        answer = web.StreamResponse()
        answer.content_length = 2 * len(self.piece)
        await answer.prepare(request)
        await answer.write(self.piece)
        if request.transport is not None:
            request.transport.close()
        return answer


class WrongId(Fault):
    """Run, and answer with the id of another request."""

    __slots__ = ()

    async def answer(
        self, request: web.Request, run: Run
    ) -> web.StreamResponse:
        """Return an answer that belongs to another request."""
        answer = await run()
        answer.headers['X-Request-Id'] = 'another'
        return answer


class Stream(Fault):
    """Run, and answer with many chunks of no announced length."""

    __slots__ = ()

    async def answer(
        self, request: web.Request, run: Run
    ) -> web.StreamResponse:
        """Return a whole chunked answer."""
        await run()
        answer = web.StreamResponse()
        await answer.prepare(request)
        for _ in range(PIECES):
            await answer.write(PIECE)
        await answer.write_eof()
        return answer


FAULTS: Final = MappingProxyType(
    {
        'slow': Slow(),
        'deaf': Deaf(),
        'shed': Shed(),
        'unavailable': Unavailable(),
        'reset_before_head': ResetBeforeHead(),
        'reset_after_head': ResetAfterHead(pieces=0),
        'reset_mid_body': ResetAfterHead(pieces=2),
        'half_answer': HalfAnswer(piece=PIECE),
        'half_short_answer': HalfAnswer(piece=b'half'),
        'wrong_id': WrongId(),
        'stream': Stream(),
    }
)


def _reset(request: web.Request) -> None:
    if request.transport is not None:
        request.transport.abort()
