"""Stop an instance so that no caller loses a request."""

import asyncio
from collections.abc import Awaitable, Callable

from currantspur.messages import ShutdownStarted
from currantspur.tasks.clock import Clock
from currantspur.tasks.journal import Journal
from currantspur.tasks.mailbox import Mailbox
from currantspur.wire.listener import Listener
from currantspur.wire.server import Server

# Callers that keep an answer of the directory learn of the leaving within its
# cache time; until then their requests are answered here.
CACHE_EXPIRY_WAIT_S = 2.6
# Left of the grace time for closing connections and for the exit itself.
CLOSE_RESERVE_S = 0.5


class GracefulShutdown:
    """Leave the answers, wait out caches and requests, and close."""

    __slots__ = ('clock', 'grace_s', 'journal', 'listener', 'membership')

    def __init__(
        self,
        *,
        listener: Listener,
        membership: Mailbox,
        clock: Clock,
        journal: Journal,
        grace_s: float,
    ) -> None:
        self.listener = listener
        self.membership = membership
        self.clock = clock
        self.journal = journal
        self.grace_s = grace_s

    async def run(
        self, server: Server, deregister: Callable[[], Awaitable[None]]
    ) -> None:
        """Return once nothing runs any more or the grace time is over."""
        began_at = self.clock.now()
        self.listener.is_draining = True
        self.membership.post(ShutdownStarted())
        self.journal.note('leaving', running=len(self.listener.active_requests))
        unlisting = asyncio.ensure_future(deregister())
        await self.clock.sleep(min(CACHE_EXPIRY_WAIT_S, self.grace_s / 2))
        await server.stop_listening()
        # A request that reaches a connection closed here is not read: its
        # caller sees that and sends it elsewhere.
        left_s = began_at + self.grace_s - CLOSE_RESERVE_S - self.clock.now()
        await server.drain(max(0.0, left_s))
        unlisting.cancel()
        self.journal.note('stopped', cut=len(self.listener.active_requests))
