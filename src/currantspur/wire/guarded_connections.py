"""Connections of clients that keep to the limits of a ClientGuard."""

import asyncio
from typing import Any, cast

from aiohttp import StreamReader, web

from currantspur.decisions.byte_budget import ByteHolder
from currantspur.decisions.connection_limits import (
    ConnectionActivity,
    limit_head_bytes,
)
from currantspur.errors import BudgetFullError
from currantspur.wire.bounded_connections import (
    MAX_FRAMING_PER_BODY_BYTE,
    MAX_OVERHEAD_BYTES,
)
from currantspur.wire.bounded_reads import BoundedReads, make_read_buffer
from currantspur.wire.client_guard import ClientConnection, ClientGuard

# The parser pauses at twice as many bytes of a body that nobody reads, and at a
# sixteenth as many chunks.
BODY_BUFFER_BYTES = 8192
# Heads of requests ahead of the one at work; further ones wait in the kernel.
MAX_QUEUED_HEAD_BYTES = 32_768
# A parsed head takes several times the bytes that were received.
HEAD_COST_FACTOR = 4
# Framing of a chunk: its size and two line ends.
CHUNK_FRAMING_BYTES = 5
GUARDED_OPTIONS = (
    ('read_bufsize', BODY_BUFFER_BYTES),
    # Bodies that nobody needs are discarded by request_ends.
    ('lingering_time', 0),
    # Bodies are forwarded as they were received.
    ('auto_decompress', False),
)


class GuardedConnection(web.RequestHandler, ClientConnection):
    """The connection of a client, with what it holds."""

    __slots__ = (
        'body_bytes',
        'buffered_bytes',
        'guard',
        'head_bytes',
        'holder',
        'idle_since',
        'is_refused',
        'last_payload',
        'min_idle_s',
        'queued_bytes',
        'unread_bytes',
    )

    def __init__(
        self,
        manager: web.Server,
        guard: ClientGuard,
        *,
        min_idle_s: float = 0.0,
        **options: Any,
    ) -> None:
        super().__init__(manager, **{**options, **dict(GUARDED_OPTIONS)})
        self.guard = guard
        self.min_idle_s = min_idle_s
        # Replaced when the connection is made.
        self.holder = ByteHolder(0.0)
        # When the connection became idle, or its next head began.
        self.idle_since = 0.0
        self.is_refused = False
        self.last_payload: StreamReader | None = None
        # Received of an incomplete head; of heads whose turn has not come; of
        # the body at work, with its framing; and what is counted as held.
        self.head_bytes = 0
        self.queued_bytes = 0
        self.body_bytes = 0
        self.buffered_bytes = 0
        self.unread_bytes = 0

    @property
    def is_open(self) -> bool:
        """Whether neither side has closed the connection."""
        return self.transport is not None and not self.transport.is_closing()

    @property
    def is_in_body(self) -> bool:
        """Whether a body has begun and its end was not received."""
        payload = self.last_payload
        return payload is not None and not payload.is_eof()

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Begin to count what the client holds; make room for it."""
        super().connection_made(transport)
        self.idle_since = self.guard.clock.now()
        self.holder = self.guard.open(self)
        manager = self._manager
        if isinstance(manager, GuardedServer) and not manager.has_room(self):
            self.force_close()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Return all that the client holds."""
        super().connection_lost(exc)
        self.guard.close(self)
        self.last_payload = None

    def data_received(self, data: bytes) -> None:
        """Parse received bytes, and count what is kept of them."""
        request_count = self._request_count
        super().data_received(data)
        has_message = self._request_count > request_count
        if has_message and self._messages:
            self.last_payload = self._messages[-1][1]
            self.body_bytes = 0
        if self.is_open:
            self._count(len(data), has_message=has_message)

    def count_chunks(self) -> int:
        """Estimate the chunks received of the body at work."""
        if self.last_payload is None:
            return 0
        framing = self.body_bytes - self.last_payload.total_bytes
        return max(0, framing) // CHUNK_FRAMING_BYTES

    def describe_activity(self, at: float) -> ConnectionActivity:
        """Return what the connection does; measure the client's progress."""
        has_request = self._request_in_progress or bool(self._messages)
        if has_request:
            self.idle_since = at
        elif self.queued_bytes:
            # The head of the last request, which has ended.
            self.queued_bytes = 0
            self._count_buffered()
        has_begun_head = bool(self.head_bytes) or self._request_count == 0
        has_to_read = self._measure_unread(at)
        has_to_send = self.is_in_body and not self._reading_paused
        is_awaited = has_to_read or has_to_send
        self.holder.is_awaited = is_awaited or has_begun_head
        return ConnectionActivity(
            since=self.holder.progress_at if has_request else self.idle_since,
            has_begun_head=has_begun_head,
            has_request=has_request,
            is_awaited=is_awaited,
        )

    def close_for(self, reason: str) -> None:
        """Refuse the request whose body is incomplete, else close.

        A refusal that cannot be delivered is given up the next time.
        """
        payload = self.last_payload
        if payload is None or self.is_refused or not self.is_in_body:
            self._abort()
            return
        self.is_refused = True
        if self.unread_bytes:
            self._abort()
        else:
            payload.set_exception(BudgetFullError(f'closed: {reason}'))

    def _abort(self) -> None:
        if self.transport is not None:
            self.transport.abort()
        self.force_close()

    def _measure_unread(self, at: float) -> bool:
        """Return whether the client has to read; note what it has read."""
        transport = self.transport
        unread = 0
        if transport is not None:
            unread = transport.get_write_buffer_size()
        if unread and not self.unread_bytes:
            self.holder.restart(at)
        self.holder.record_progress(max(0, self.unread_bytes - unread), at)
        self.unread_bytes = unread
        return unread > 0

    def _count(self, size: int, *, has_message: bool) -> None:
        now = self.guard.clock.now()
        if has_message:
            self.holder.restart(now)
        self.holder.record_progress(size, now)
        if self.is_in_body:
            self.body_bytes += size
        if has_message or self.is_in_body:
            self.head_bytes = 0
        else:
            self._count_head(size, now)
        self.queued_bytes = self.queued_bytes + size if self._messages else 0
        self._count_buffered()
        self._check_excess()

    def _count_head(self, size: int, now: float) -> None:
        is_later_head = self._request_count > 0
        if size and is_later_head and not self.head_bytes:
            self.idle_since = now
        self.head_bytes += size

    def _count_buffered(self) -> None:
        buffered = HEAD_COST_FACTOR * (self.queued_bytes + self.head_bytes)
        if buffered != self.buffered_bytes:
            self.guard.take(self.holder, buffered - self.buffered_bytes)
            self.buffered_bytes = buffered
        is_full = self.queued_bytes > MAX_QUEUED_HEAD_BYTES
        if is_full and len(self._messages) > 1 and not self._buffer_paused:
            self._pause_reading_for_buffer()

    def _check_excess(self) -> None:
        payload = self.last_payload
        body_bytes = payload.total_bytes if payload else 0
        allowed = MAX_OVERHEAD_BYTES + MAX_FRAMING_PER_BODY_BYTE * body_bytes
        max_head_bytes = limit_head_bytes(self.guard.get_limits())
        if self.head_bytes > max_head_bytes or self.body_bytes > allowed:
            self.guard.record('head_too_large')
            self._abort()


class GuardedServer(web.Server):
    """Serve a bounded number of connections that a guard limits."""

    def __init__(
        self,
        handler: Any,
        *,
        guard: ClientGuard,
        max_connections: int,
        min_idle_s: float = 0.0,
        **options: Any,
    ) -> None:
        super().__init__(handler, **options)
        self.guard = guard
        self.max_connections = max_connections
        self.min_idle_s = min_idle_s
        self.read_buffer = make_read_buffer()

    def __call__(self) -> web.RequestHandler:
        """Return the protocol of a new connection."""
        connection = self.make_connection()
        # aiohttp passes the result on to the event loop only.
        return cast(
            'web.RequestHandler', BoundedReads(connection, self.read_buffer)
        )

    def make_connection(self) -> GuardedConnection:
        """Return a connection that is not open yet."""
        return GuardedConnection(
            self,
            self.guard,
            min_idle_s=self.min_idle_s,
            loop=self._loop,
            **self._kwargs,
        )

    def has_room(self, newest: GuardedConnection) -> bool:
        """Return whether a connection may stay; close another one for it."""
        others: list[ClientConnection] = [
            each
            for each in self.connections
            if isinstance(each, GuardedConnection) and each.is_open
        ]
        others.remove(newest)
        if len(others) < self.max_connections:
            return True
        return self.guard.make_room(others)
