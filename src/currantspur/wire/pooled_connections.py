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
    MAX_IDLE_S,
    MAX_RESET_S,
    IdleTimes,
)
from currantspur.tasks.journal import Journal
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
        # Where it leads to, once it has been idle.
        self.address = ''
        self.idle_since = 0.0
        # None while a request uses the connection.
        self.idle_until: float | None = None
        self.idle_timer: asyncio.TimerHandle | None = None
        self.reused_at: float | None = None

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
        """Tell the connector and end the idle time."""
        self.on_lost(self)
        self.end_idle_time()
        super().connection_lost(exc)

    def start_idle_time(
        self, idle_s: float, on_end: Callable[[], None]
    ) -> None:
        """Set how long the connection may be idle; call back after that."""
        self.idle_since = self._loop.time()
        self.idle_until = self.idle_since + idle_s
        self.idle_timer = self._loop.call_later(idle_s, on_end)

    def end_idle_time(self) -> None:
        """Cancel the callback, if there is one."""
        self.idle_until = None
        if self.idle_timer is not None:
            self.idle_timer.cancel()
            self.idle_timer = None

    def start_reuse(self) -> None:
        """Begin the next exchange on an idle connection."""
        self.end_idle_time()
        self.reused_at = self._loop.time()

    def measure_early_close_s(self, at: float) -> float | None:
        """Return how long it was idle when the target closed it too early.

        None if it was not idle, or the target did not close it. A target that
        closed it unseen resets it at the next request.
        """
        if self.idle_until is not None:
            return at - self.idle_since if at < self.idle_until else None
        if self.reused_at is None or at > self.reused_at + MAX_RESET_S:
            return None
        # aiohttp drops the transport of a connection that it closes itself.
        is_closed_here = self.transport is None
        if is_closed_here or self.received_bytes:
            return None
        return self.reused_at - self.idle_since


class PooledConnector(BoundedConnector):
    """Reuse connections; close the longest idle ones beyond a bound."""

    def __init__(
        self, *, journal: Journal | None, max_idle: int, **options: Any
    ) -> None:
        """Log to the journal, if any, which targets close early."""
        super().__init__(keepalive_timeout=MAX_IDLE_S, **options)
        self.journal = journal
        self.max_idle = max_idle
        self.idle_times = IdleTimes()
        # Idle connections, the longest idle one first.
        self.idle: OrderedDict[PooledResponseHandler, ConnectionKey] = (
            OrderedDict()
        )
        self.handler_factory = partial(
            PooledResponseHandler, asyncio.get_running_loop(), self._handle_loss
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
                protocol.start_reuse()
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
        protocol.address = f'{key.host}:{key.port}'
        idle_s = self.idle_times.choose_s(
            protocol.address,
            announced_s=protocol.announced_idle_s,
            at=self._loop.time(),
        )
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

    def _handle_loss(self, protocol: PooledResponseHandler) -> None:
        """Learn from a connection that was closed, and discard it."""
        self._discard(protocol)
        at = self._loop.time()
        idle_s = protocol.measure_early_close_s(at)
        if idle_s is None or self._closed:
            return
        is_new = self.idle_times.record_early_close(
            protocol.address, idle_s=idle_s, at=at
        )
        if is_new and self.journal is not None:
            self.journal.note(
                'connection_closed_early',
                address=protocol.address,
                idle_s=round(idle_s, 3),
                announced_s=protocol.announced_idle_s,
            )

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
