"""Strategies by which a target stand-in responds, sound and faulty ones."""

import asyncio
from abc import ABC, abstractmethod
from http import HTTPStatus
from typing import TYPE_CHECKING, ClassVar, Final

if TYPE_CHECKING:
    from currantspur.standins.target import ReceivedRequest, TargetStandin

RESPONSE_BODY = b'the whole answer of a target'
# Longer than a response takes to arrive on loopback.
DELIVERY_PAUSE_S = 0.03
WRONG_TARGET, SHED = (
    HTTPStatus.MISDIRECTED_REQUEST,
    HTTPStatus.SERVICE_UNAVAILABLE,
)
OK, FAILED = HTTPStatus.OK, HTTPStatus.INTERNAL_SERVER_ERROR


class Behaviour(ABC):
    """Strategy by which a target responds to requests."""

    __slots__ = ()

    @abstractmethod
    async def respond(
        self, target: 'TargetStandin', request: 'ReceivedRequest'
    ) -> bool:
        """Respond and return whether the connection stays open."""


async def execute_or_shed(
    target: 'TargetStandin', request: 'ReceivedRequest'
) -> bool:
    """Execute a request, or reject it with 503 if the queue is full."""
    is_executed = await target.execute(request)
    if not is_executed:
        reject(target, request)
    return is_executed


def reject(target: 'TargetStandin', request: 'ReceivedRequest') -> None:
    """Respond with 503 and the header for requests not executed."""
    request.writer.write(
        target.format_head(
            request, SHED, length=0, extra='X-Not-Executed: 1\r\n'
        )
    )


class Healthy(Behaviour):
    """Respond as a working target does."""

    __slots__ = ()
    # Lines, with their ends, in the heads of successes.
    extra: ClassVar[str] = ''

    async def respond(
        self, target: 'TargetStandin', request: 'ReceivedRequest'
    ) -> bool:
        """Execute the request and respond with 200.

        Respond with 421 if another target was expected, with 503 if the
        queue is full; both mean that the request was not executed.
        """
        if request.headers.get('x-expect-instance', target.name) != target.name:
            request.writer.write(
                target.format_head(request, WRONG_TARGET, length=0)
            )
            return True
        if not await execute_or_shed(target, request):
            return True
        request.writer.write(
            target.format_head(
                request, OK, length=len(RESPONSE_BODY), extra=self.extra
            )
            + RESPONSE_BODY
        )
        return True


class Failing(Behaviour):
    """Execute each request and respond with 500."""

    __slots__ = ()

    async def respond(
        self, target: 'TargetStandin', request: 'ReceivedRequest'
    ) -> bool:
        """Execute the request and respond with 500."""
        if not await execute_or_shed(target, request):
            return True
        request.writer.write(
            target.format_head(request, FAILED, length=len(RESPONSE_BODY))
            + RESPONSE_BODY
        )
        return True


class Shedding(Behaviour):
    """Reject every request without executing it."""

    __slots__ = ()

    async def respond(
        self, target: 'TargetStandin', request: 'ReceivedRequest'
    ) -> bool:
        """Reject the request."""
        reject(target, request)
        return True


class Resetting(Behaviour):
    """Execute each request, then reset the connection."""

    __slots__ = ()

    async def respond(
        self, target: 'TargetStandin', request: 'ReceivedRequest'
    ) -> bool:
        """Execute the request and reset the connection without a response."""
        if not await execute_or_shed(target, request):
            return True
        request.reset()
        return False


class Truncating(Behaviour):
    """Close the connection before the whole response body was sent."""

    __slots__ = ()

    async def respond(
        self, target: 'TargetStandin', request: 'ReceivedRequest'
    ) -> bool:
        """Send half of the body length that Content-Length states."""
        if not await execute_or_shed(target, request):
            return True
        head = target.format_head(request, OK, length=2 * len(RESPONSE_BODY))
        request.writer.write(head + RESPONSE_BODY)
        return False


class ClosingIdle(Healthy):
    """Respond as a working target, and close idle connections unannounced."""

    __slots__ = ()
    extra = 'Keep-Alive: timeout=5\r\n'

    async def respond(
        self, target: 'TargetStandin', request: 'ReceivedRequest'
    ) -> bool:
        """Close the connection much sooner than the response states."""
        await super().respond(target, request)
        await request.writer.drain()
        await asyncio.sleep(DELIVERY_PAUSE_S)
        return False


class Unframed(Behaviour):
    """Respond without Content-Length; the body ends with the connection."""

    __slots__ = ('is_reset',)

    def __init__(self, *, is_reset: bool) -> None:
        self.is_reset = is_reset

    async def respond(
        self, target: 'TargetStandin', request: 'ReceivedRequest'
    ) -> bool:
        """Close the connection after the body, or reset it after part of it."""
        if not await execute_or_shed(target, request):
            return True
        body = RESPONSE_BODY[:5] if self.is_reset else RESPONSE_BODY
        request.writer.write(
            target.format_head(request, OK, length=None) + body
        )
        await request.writer.drain()
        if self.is_reset:
            await asyncio.sleep(DELIVERY_PAUSE_S)
            request.reset()
        return False


class Duplicating(Behaviour):
    """Send each response twice, the second after a pause."""

    __slots__ = ()

    async def respond(
        self, target: 'TargetStandin', request: 'ReceivedRequest'
    ) -> bool:
        """Execute the request once and send its response twice."""
        if not await execute_or_shed(target, request):
            return True
        response = (
            target.format_head(request, OK, length=len(RESPONSE_BODY))
            + RESPONSE_BODY
        )
        request.writer.write(response)
        await request.writer.drain()
        await asyncio.sleep(DELIVERY_PAUSE_S)
        request.writer.write(response)
        return True


class Silent(Behaviour):
    """Execute requests and never respond."""

    __slots__ = ()

    async def respond(
        self, target: 'TargetStandin', request: 'ReceivedRequest'
    ) -> bool:
        """Wait until the peer sends a byte or closes the connection."""
        if not await execute_or_shed(target, request):
            return True
        await request.reader.read(1)
        return False


HEALTHY: Final = Healthy()
