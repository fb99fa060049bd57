"""Begin pipelined requests before those sent ahead of them are answered.

Responses still leave in the order of the requests.
"""

import asyncio
from abc import ABC, abstractmethod
from typing import Any, Final

from aiohttp import EMPTY_PAYLOAD, web
from aiohttp.http import RawRequestMessage

from currantspur.wire.client_guard import ClientGuard
from currantspur.wire.guarded_connections import (
    GuardedConnection,
    GuardedServer,
)
from currantspur.wire.response_heads import make_request

# Further requests of a connection wait until one of these is answered.
MAX_EARLY_REQUESTS = 16
# Counted as held for each until its turn: the largest response that is read
# whole (BUFFERED_RESPONSE_LIMIT_BYTES in wire.targets).
EARLY_RESPONSE_BYTES = 262_144
# Only requests without a body begin early: a body arrives in its turn.
EARLY_METHODS: Final = frozenset(('GET', 'HEAD'))


class EarlyRequest(ABC):
    """A request that has begun before its turn."""

    __slots__ = ()

    @abstractmethod
    def cancel(self) -> None:
        """Give the request up, as its connection is lost."""


class EarlyRequestHandler(ABC):
    """Interface that begins requests before their turn."""

    __slots__ = ()

    @abstractmethod
    def begin_early(self, message: RawRequestMessage) -> EarlyRequest:
        """Begin a request without a body."""

    @abstractmethod
    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answer a request in its turn."""


class PipelinedConnection(GuardedConnection):
    """The connection of a caller that may send several requests at once."""

    __slots__ = (
        'early_handler',
        'early_requests',
        'is_closing_late',
        'last_early_taken',
    )

    def __init__(
        self,
        manager: web.Server,
        guard: ClientGuard,
        early_handler: EarlyRequestHandler,
        **options: Any,
    ) -> None:
        super().__init__(manager, guard, **options)
        self.early_handler = early_handler
        # By the headers of their messages, in the order of arrival.
        self.early_requests: dict[int, EarlyRequest] = {}
        self.is_closing_late = False
        # Set in a shutdown that waits for requests which have begun.
        self.last_early_taken: asyncio.Future[None] | None = None

    def data_received(self, data: bytes) -> None:
        """Parse requests, and begin those behind the one at work."""
        super().data_received(data)
        if self._messages and not self.is_closing_late:
            self._begin_queued()

    def take_early(self, request: web.BaseRequest) -> EarlyRequest | None:
        """Return the request, whose turn it is, if it began early."""
        early = self.early_requests.pop(id(request.headers), None)
        if early is not None:
            self.guard.take(self.holder, -EARLY_RESPONSE_BYTES)
        self._notice_last_early()
        if self.is_closing_late:
            self.close()
        return early

    def close(self) -> None:
        """Close after the response at work, or after those begun early."""
        if self.early_requests:
            self.is_closing_late = True
        else:
            super().close()

    async def shutdown(self, timeout: float | None = None) -> None:
        """Finish the requests that have begun, then close.

        The base class ends the connection after the response at work.
        """
        loop = asyncio.get_running_loop()
        started_at = loop.time()
        if self.early_requests:
            self.last_early_taken = loop.create_future()
            await asyncio.wait((self.last_early_taken,), timeout=timeout)
        if timeout is not None:
            timeout = max(0.0, timeout - (loop.time() - started_at))
        await super().shutdown(timeout)

    def connection_lost(self, exc: BaseException | None) -> None:
        """Cancel the requests that have begun."""
        super().connection_lost(exc)
        while self.early_requests:
            self.early_requests.popitem()[1].cancel()
        self._notice_last_early()

    def _notice_last_early(self) -> None:
        waiter = self.last_early_taken
        if waiter is not None and not self.early_requests:
            self.last_early_taken = None
            waiter.set_result(None)

    def _begin_queued(self) -> None:
        # Without a request at work the first one has its turn at once.
        waiting = list(self._messages)[int(self._current_request is None) :]
        for message, payload in waiting:
            if not isinstance(message, RawRequestMessage):
                return
            # A body that arrived with its head is at its end, but not empty.
            is_bodiless = payload is EMPTY_PAYLOAD
            may_begin = message.method in EARLY_METHODS and is_bodiless
            if not may_begin or len(self.early_requests) >= MAX_EARLY_REQUESTS:
                return
            if not self._begin_early(message):
                return

    def _begin_early(self, message: RawRequestMessage) -> bool:
        """Begin a request, unless its response has no room before its turn."""
        key = id(message.headers)
        if key in self.early_requests:
            return True
        if not self.guard.try_take(self.holder, EARLY_RESPONSE_BYTES):
            return False
        self.early_requests[key] = self.early_handler.begin_early(message)
        return True


class PipeliningServer(GuardedServer):
    """Serve connections whose requests may be pipelined."""

    def __init__(
        self, early_handler: EarlyRequestHandler, **options: Any
    ) -> None:
        super().__init__(
            early_handler.handle, request_factory=make_request, **options
        )
        self.early_handler = early_handler

    def make_connection(self) -> GuardedConnection:
        """Return a connection that is not open yet."""
        return PipelinedConnection(
            self,
            self.guard,
            self.early_handler,
            loop=self._loop,
            **self._kwargs,
        )


def take_early_request(request: web.BaseRequest) -> EarlyRequest | None:
    """Return the request if it began before its turn."""
    connection = request.protocol
    if isinstance(connection, PipelinedConnection):
        return connection.take_early(request)
    return None


def has_early_requests(request: web.BaseRequest) -> bool:
    """Tell whether requests behind this one on its connection have begun."""
    connection = request.protocol
    return isinstance(connection, PipelinedConnection) and bool(
        connection.early_requests
    )
