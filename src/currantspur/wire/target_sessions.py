"""HTTP sessions for requests to targets."""

from types import SimpleNamespace
from typing import Any

import aiohttp

from currantspur.tasks.journal import Journal
from currantspur.wire.bounded_connections import BoundedConnector
from currantspur.wire.client_middleware import disable_automatic_retry
from currantspur.wire.metrics import Metrics
from currantspur.wire.pooled_connections import (
    PooledConnector,
    SingleUseConnector,
)
from currantspur.wire.sockets import open_keepalive_socket

# The parser pauses at twice as many bytes that were not read.
READ_BUFFER_BYTES = 65_536
# Headers that aiohttp would add to requests that lack them.
SUPPRESSED_AUTO_HEADERS = (
    'User-Agent',
    'Accept',
    'Accept-Encoding',
    'Content-Type',
)


class ConnectionTrace:
    """Record whether a request got a connection.

    If it did, bytes of it may have been sent.
    """

    __slots__ = ('connected',)

    def __init__(self) -> None:
        self.connected = False


class TargetSessions:
    """A session that reuses connections, and one that opens new ones."""

    __slots__ = ('metrics', 'pool', 'pooled', 'single_use')

    def __init__(
        self, metrics: Metrics, journal: Journal | None, max_idle: int
    ) -> None:
        self.metrics = metrics
        self.pool = PooledConnector(
            journal=journal,
            max_idle=max_idle,
            socket_factory=open_keepalive_socket,
        )
        metrics.add_gauge(
            'target_connections_idle',
            'Idle connections to targets.',
            lambda: len(self.pool.idle),
        )
        metrics.add_gauge(
            'targets_closing_early',
            'Targets that closed idle connections before their time.',
            lambda: len(self.pool.idle_times.learned),
        )
        self.pooled = self._open(self.pool)
        self.single_use = self._open(
            SingleUseConnector(self.pool, socket_factory=open_keepalive_socket)
        )

    def choose(self, *, new_connection: bool) -> aiohttp.ClientSession:
        """Return the session for a request."""
        return self.single_use if new_connection else self.pooled

    async def close(self) -> None:
        """Close all connections."""
        # Connections of this session go to the pool of the other one.
        await self.single_use.close()
        await self.pooled.close()

    def _open(self, connector: BoundedConnector) -> aiohttp.ClientSession:
        trace = aiohttp.TraceConfig()
        trace.on_connection_create_end.append(self._record_new)
        trace.on_connection_reuseconn.append(self._record_reused)
        return aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            middlewares=(disable_automatic_retry,),
            read_bufsize=READ_BUFFER_BYTES,
            skip_auto_headers=SUPPRESSED_AUTO_HEADERS,
            trace_configs=[trace],
        )

    async def _record_new(
        self,
        _session: aiohttp.ClientSession,
        context: SimpleNamespace,
        _params: Any,
    ) -> None:
        context.trace_request_ctx.connected = True
        self.metrics.target_connections.labels('new').inc()

    async def _record_reused(
        self,
        _session: aiohttp.ClientSession,
        context: SimpleNamespace,
        _params: Any,
    ) -> None:
        context.trace_request_ctx.connected = True
        self.metrics.target_connections.labels('reused').inc()
