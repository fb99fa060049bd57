"""Own the byte budget and the connections of all clients of an instance."""

import asyncio
from abc import ABC, abstractmethod
from collections.abc import Callable

from currantspur.decisions.byte_budget import ByteBudget, ByteHolder
from currantspur.decisions.connection_limits import (
    ConnectionActivity,
    choose_closed,
    find_close_reason,
)
from currantspur.decisions.work_pacing import WorkPacer
from currantspur.errors import BudgetFullError
from currantspur.messages.configuration import CallerLimits
from currantspur.tasks.clock import Clock
from currantspur.wire.limit_log import LimitLog

SWEEP_INTERVAL_S = 0.5
# Choosing stalled clients looks at all connections.
STALL_CHECK_INTERVAL_S = 0.1
# A client waits so long for bytes to be returned: longer than it takes to close
# stalled ones (MIN_STALL_S), short against the time limits of routes.
MAX_BUDGET_WAIT_S = 1.5


class ClientConnection(ABC):
    """Interface of a connection whose client is limited."""

    __slots__ = ()

    holder: ByteHolder
    min_idle_s: float

    @abstractmethod
    def describe_activity(self, at: float) -> ConnectionActivity:
        """Return what the connection does; measure the client's progress."""

    @abstractmethod
    def close_for(self, reason: str) -> None:
        """Refuse the request at work if that is still true; else close."""


class ClientGuard:
    """Grant bytes to clients, and close connections beyond the limits."""

    __slots__ = (
        'budget',
        'by_holder',
        'clock',
        'get_limits',
        'limit_log',
        'pacer',
        'stalls_checked_at',
        'waiters',
    )

    def __init__(
        self,
        *,
        limit_bytes: int,
        get_limits: Callable[[], CallerLimits],
        limit_log: LimitLog,
        clock: Clock,
    ) -> None:
        self.budget = ByteBudget(limit_bytes)
        self.pacer = WorkPacer()
        self.get_limits = get_limits
        self.limit_log = limit_log
        self.clock = clock
        self.by_holder: dict[ByteHolder, ClientConnection] = {}
        self.stalls_checked_at = 0.0
        self.waiters: list[asyncio.Future[None]] = []

    def open(self, connection: ClientConnection) -> ByteHolder:
        """Add a connection and return its holder."""
        holder = self.budget.open(self.clock.now())
        self.by_holder[holder] = connection
        return holder

    def close(self, connection: ClientConnection) -> None:
        """Remove a connection and return all that it holds."""
        self.budget.close(connection.holder)
        self.by_holder.pop(connection.holder, None)
        self._wake()

    def record(self, reason: str) -> None:
        """Count a refusal or a closed connection; log it with others."""
        self.limit_log.record(reason, self.clock.now())

    def make_room(self, connections: list[ClientConnection]) -> bool:
        """Close the connection that a new one displaces, if there is one."""
        now = self.clock.now()
        number = choose_closed(
            enumerate(each.describe_activity(now) for each in connections)
        )
        if number is not None:
            connections[number].close_for('connections')
        self.record('connections')
        return number is not None

    def take(self, holder: ByteHolder, size: int) -> None:
        """Count bytes that are held anyway, or returned if negative."""
        self.budget.take(holder, size)
        if size < 0:
            self._wake()

    def try_take(self, holder: ByteHolder, size: int) -> bool:
        """Count bytes as held if the budget allows it now."""
        is_granted = self.budget.may_take(holder, size)
        if is_granted:
            self.budget.take(holder, size)
        return is_granted

    async def wait_and_take(self, holder: ByteHolder, size: int) -> None:
        """Count bytes as held, as soon as the budget allows it.

        Raise BudgetFullError if it does not in time.
        """
        ends_at = self.clock.now() + MAX_BUDGET_WAIT_S
        while not self.try_take(holder, size):
            now = self.clock.now()
            if now >= ends_at:
                self.record('memory')
                raise BudgetFullError('the instance is short of memory')
            self._close_stalled(size, now)
            await self._wait_for_change(min(ends_at - now, SWEEP_INTERVAL_S))

    def may_begin(self) -> bool:
        """Return whether a request may begin."""
        if self.budget.is_full:
            self._close_stalled(0, self.clock.now())
        if self.budget.is_full:
            self.record('memory')
            return False
        return True

    async def pace(self, *, chunks: int, size: int = 0) -> None:
        """Delay a client by the work that it has caused."""
        delay_s = self.pacer.plan_delay_s(
            chunks=chunks, size=size, at=self.clock.now()
        )
        await asyncio.sleep(delay_s)

    async def run(self) -> None:
        """Close connections that exceed a limit, until cancelled."""
        while True:
            await self.clock.sleep(SWEEP_INTERVAL_S)
            self.sweep()

    def sweep(self) -> None:
        """Close connections that exceed a limit, and stalled ones."""
        now = self.clock.now()
        limits = self.get_limits()
        for connection in tuple(self.by_holder.values()):
            reason = find_close_reason(
                connection.describe_activity(now),
                limits,
                at=now,
                min_idle_s=connection.min_idle_s,
            )
            if reason is not None:
                self._close_one(connection, reason)
        self._close_stalled(0, now)
        self.limit_log.write(now)

    def _close_stalled(self, size: int, now: float) -> None:
        if now - self.stalls_checked_at < STALL_CHECK_INTERVAL_S:
            return
        self.stalls_checked_at = now
        for connection in self.by_holder.values():
            connection.describe_activity(now)
        for holder in tuple(self.budget.list_stalled(size, now)):
            self._close_one(self.by_holder[holder], 'memory_stalled')

    def _close_one(self, connection: ClientConnection, reason: str) -> None:
        connection.close_for(reason)
        if reason != 'idle':
            self.record(reason)

    async def _wait_for_change(self, timeout_s: float) -> None:
        waiter = asyncio.get_running_loop().create_future()
        self.waiters.append(waiter)
        try:
            await asyncio.wait((waiter,), timeout=timeout_s)
        finally:
            if waiter in self.waiters:
                self.waiters.remove(waiter)

    def _wake(self) -> None:
        while self.waiters:
            waiter = self.waiters.pop()
            if not waiter.done():
                waiter.set_result(None)
