"""Keep idle connections to targets for as long as each target allows."""

import asyncio
from collections import OrderedDict, deque
from collections.abc import Callable
from functools import partial
from typing import Any, cast

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.client_reqrep import ConnectionKey
from aiohttp.connector import Connection
from aiohttp.http import RawResponseMessage
from aiohttp.tracing import Trace

from currantspur.decisions.idle_connections import (
    MAX_IDLE_CONNECTIONS,
    MAX_IDLE_S,
    choose_idle_s,
)
from currantspur.wire.bounded_connections import (
    BoundedConnector,
    BoundedResponseHandler,
)

KEEP_ALIVE_HEADER = 'Keep-Alive'
TIMEOUT_PARAMETER = 'timeout'
# A longer number is a mistake.
MAX_TIMEOUT_DIGITS = 6


class PooledResponseHandler(BoundedResponseHandler):
    """Close a connection after its idle time, and tell when it is lost."""

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_lost: Callable[['PooledResponseHandler'], None],
    ) -> None:
        super().__init__(loop)
        self.on_lost = on_lost
        # Idle timeout that the target announced in its latest response.
        self.announced_idle_s: float | None = None
        self.idle_until: float | None = None
        self.idle_timer: asyncio.TimerHandle | None = None

    def is_connected(self) -> bool:
        """Tell whether a request may be sent on the connection.

        Its idle time may be over before the callback runs, since that waits
        for whatever else the process does.
        """
        is_over = (
            self.idle_until is not None and self._loop.time() > self.idle_until
        )
        return super().is_connected() and not is_over

    def feed_data(
        self,
        response: tuple[RawResponseMessage, aiohttp.StreamReader],
        size: int = 0,
    ) -> None:
        """Queue a parsed head and its body; read the announced timeout."""
        super().feed_data(response, size)
        if self.is_final:
            self.announced_idle_s = parse_idle_timeout_s(
                response[0].headers.get(KEEP_ALIVE_HEADER)
            )

    def connection_lost(self, exc: BaseException | None) -> None:
        """End the idle time and tell the connector."""
        self.end_idle_time()
        self.on_lost(self)
        super().connection_lost(exc)

    def start_idle_time(
        self, idle_s: float, on_end: Callable[[], None]
    ) -> None:
        """Set how long the connection may be idle; call back after that."""
        self.idle_until = self._loop.time() + idle_s
        self.idle_timer = self._loop.call_later(idle_s, on_end)

    def end_idle_time(self) -> None:
        """Cancel the callback, if there is one."""
        self.idle_until = None
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None


class PooledConnector(BoundedConnector):
    """Reuse connections; close the longest idle ones beyond a bound."""

    def __init__(
        self, *, max_idle: int = MAX_IDLE_CONNECTIONS, **options: Any
    ) -> None:
        super().__init__(keepalive_timeout=MAX_IDLE_S, **options)
        self.max_idle = max_idle
        # Idle connections, the longest idle one first.
        self.idle: OrderedDict[PooledResponseHandler, ConnectionKey] = (
            OrderedDict()
        )
        self.handler_factory = partial(
            PooledResponseHandler, asyncio.get_running_loop(), self._discard
        )
        self._factory = cast('partial[ResponseHandler]', self.handler_factory)

    def release(
        self,
        key: ConnectionKey,
        protocol: ResponseHandler,
        *,
        should_close: bool,
    ) -> None:
        """Keep a connection after its exchange, or close it."""
        self._release(key, protocol, should_close=should_close)

    async def _get(
        self, key: ConnectionKey, traces: list[Trace]
    ) -> Connection | None:
        connection = await super()._get(key, traces)
        if connection is not None:
            protocol = connection.protocol
            # An idle protocol is falsy: compare it with None.
            if isinstance(protocol, PooledResponseHandler):
                self.idle.pop(protocol, None)
                protocol.end_idle_time()
        return connection

    def _release(
        self,
        key: ConnectionKey,
        protocol: ResponseHandler,
        *,
        should_close: bool = False,
    ) -> None:
        super()._release(key, protocol, should_close=should_close)
        # A connection that is not kept is closed by now.
        if protocol.is_connected() and isinstance(
            protocol, PooledResponseHandler
        ):
            self._keep(key, protocol)

    def _keep(
        self, key: ConnectionKey, protocol: PooledResponseHandler
    ) -> None:
        idle_s = choose_idle_s(protocol.announced_idle_s)
        self.idle[protocol] = key
        protocol.start_idle_time(idle_s, partial(self._close_idle, protocol))
        if idle_s <= 0:
            self._close_idle(protocol)
        elif len(self.idle) > self.max_idle:
            self._close_idle(next(iter(self.idle)))

    def _close_idle(self, protocol: PooledResponseHandler) -> None:
        self._discard(protocol)
        protocol.end_idle_time()
        protocol.close()

    def _discard(self, protocol: PooledResponseHandler) -> None:
        """Remove a connection from the pool, if it is there.

        aiohttp would keep the object until the next request to that target.
        """
        key = self.idle.pop(protocol, None)
        if key is None or key not in self._conns:
            return
        kept = deque(
            entry for entry in self._conns[key] if entry[0] is not protocol
        )
        if kept:
            self._conns[key] = kept
        else:
            self._conns.pop(key)


class SingleUseConnector(BoundedConnector):
    """Open a connection for each request, and give it to a pool afterwards."""

    def __init__(self, pool: PooledConnector, **options: Any) -> None:
        super().__init__(**options)
        # aiohttp finds no connection to reuse: all go to the pool.
        self.pool = pool
        self._factory = cast('partial[ResponseHandler]', pool.handler_factory)

    def _release(
        self,
        key: ConnectionKey,
        protocol: ResponseHandler,
        *,
        should_close: bool = False,
    ) -> None:
        # A connector that was closed has closed its connections.
        if not self._closed:
            self._release_acquired(key, protocol)
            self.pool.release(key, protocol, should_close=should_close)


def parse_idle_timeout_s(header: str | None) -> float | None:
    """Return the `timeout` of a Keep-Alive header; None if malformed."""
    pairs = [
        parameter.partition('=') for parameter in (header or '').split(',')
    ]
    digits = next(
        (
            text.strip()
            for name, _, text in pairs
            if name.strip().lower() == TIMEOUT_PARAMETER
        ),
        '',
    )
    is_number = digits.isascii() and digits.isdecimal()
    if is_number and len(digits) <= MAX_TIMEOUT_DIGITS:
        return float(digits)
    return None
