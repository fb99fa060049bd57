"""Take an instance out of service without cutting a request."""

from aiohttp import web
from loguru import logger

from currantspur.errors import PlatformError
from currantspur.messages import ClaimFlush, LookupQuery
from currantspur.tasks import Clock, Mailbox
from currantspur.tasks.membership import MembershipReader
from currantspur.wire.listener import Listener

ANYWHERE = bytes(4)
ANNOUNCE_RETRY_S = 0.5
ANNOUNCE_LIMIT_S = 10.0
MARGIN_S = 0.5
STEP_S = 0.05
QUIET_STEPS = 3
RETRY_S = 0.4


class Departure:
    """Leave the answers, wait out callers' caches, then running requests."""

    __slots__ = ('claims', 'clock', 'listener', 'reader', 'steering')

    def __init__(
        self,
        *,
        reader: MembershipReader,
        steering: Mailbox,
        listener: Listener,
        claims: Mailbox,
        clock: Clock,
    ) -> None:
        self.reader = reader
        self.steering = steering
        self.listener = listener
        self.claims = claims
        self.clock = clock

    async def run(self, runner: web.AppRunner) -> None:
        """Return once no caller can be cut any more."""
        self.listener.is_leaving = True
        await self._announce()
        answer = await self.steering.ask(
            LookupQuery(at=self.clock.now(), client=ANYWHERE)
        )
        wait_s = answer.cache_s + self.reader.lag_s + MARGIN_S
        logger.info('leaving: callers may come for {:.1f} s', wait_s)
        await self.clock.sleep(wait_s)
        for site in tuple(runner.sites):
            await site.stop()
        await self._wait_for_requests()
        await self.claims.ask(ClaimFlush())

    async def _announce(self) -> None:
        until = self.clock.now() + ANNOUNCE_LIMIT_S
        while self.clock.now() < until:
            try:
                await self.reader.leave()
            except PlatformError as error:
                logger.warning('could not announce leaving: {}', error)
            else:
                return
            await self.clock.sleep(ANNOUNCE_RETRY_S)

    async def _wait_for_requests(self) -> None:
        quiet = 0
        while quiet < QUIET_STEPS:
            await self.clock.sleep(STEP_S)
            quiet = 0 if self.listener.is_busy else quiet + 1
