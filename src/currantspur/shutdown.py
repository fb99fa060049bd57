"""Graceful shutdown: requests that end within the grace time are not cut."""

import asyncio
from collections.abc import Awaitable, Callable

from currantspur.messages import ShutdownStarted
from currantspur.tasks.clock import Clock
from currantspur.tasks.journal import Journal
from currantspur.tasks.mailbox import Mailbox
from currantspur.wire.request_handler import RequestHandler
from currantspur.wire.server import Server

# Callers cache look-up responses and send requests here until their TTL
# (decisions.lookup.CACHE_TTL_S) has expired: the instance serves them for this
# long after it has left look-ups.
CACHE_EXPIRY_WAIT_S = 2.6
# The part of the grace time that is kept for closing connections and exiting.
CLOSE_RESERVE_S = 0.5
# Time for the answers to callers whose requests did not end.
ANSWER_RESERVE_S = 0.2


class GracefulShutdown:
    """Shutdown of one instance within ``grace_s`` seconds.

    The instance leaves look-ups and the list of the store, serves callers
    until their caches have expired, stops listening and drains requests.
    """

    __slots__ = ('clock', 'grace_s', 'journal', 'membership', 'request_handler')

    def __init__(
        self,
        *,
        request_handler: RequestHandler,
        membership: Mailbox,
        clock: Clock,
        journal: Journal,
        grace_s: float,
    ) -> None:
        self.request_handler = request_handler
        self.membership = membership
        self.clock = clock
        self.journal = journal
        self.grace_s = grace_s

    async def run(
        self, server: Server, deregister: Callable[[], Awaitable[None]]
    ) -> None:
        """Return once no request is active or the grace time is nearly over."""
        started_at = self.clock.now()
        ends_at = started_at + self.grace_s - CLOSE_RESERVE_S - ANSWER_RESERVE_S
        self.request_handler.start_draining(ends_at=ends_at)
        self.membership.post(ShutdownStarted())
        self.journal.note(
            'leaving', running=len(self.request_handler.active_requests)
        )
        deregistration = asyncio.ensure_future(deregister())
        # At least half of the grace time is left for closing and draining.
        await self.clock.sleep(min(CACHE_EXPIRY_WAIT_S, self.grace_s / 2))
        await server.stop_listening()
        # A request on a connection that is closed here is never read: its
        # caller sees the closed connection and sends it to another instance.
        remaining_s = max(0.0, ends_at - self.clock.now())
        draining = asyncio.ensure_future(
            server.drain(remaining_s + ANSWER_RESERVE_S)
        )
        # Once it has begun, no more bytes are read.
        await asyncio.sleep(0)
        self.request_handler.refuse_incomplete()
        await asyncio.wait((draining,), timeout=remaining_s)
        cut_count = len(self.request_handler.active_requests)
        self.request_handler.refuse_unfinished()
        await draining
        deregistration.cancel()
        self.journal.note('stopped', cut=cut_count)
