"""Take an instance out of service without cutting a request."""

from aiohttp import web
from loguru import logger

from currantspur.errors import PlatformError
from currantspur.messages import ClaimFlush
from currantspur.tasks import Clock, Control, Mailbox
from currantspur.wire.listener import Listener

LIST_LAG_S = 1.0
STEP_S = 0.05
QUIET_STEPS = 3


class Departure:
    """Leave the answers, wait out callers' caches, then running requests."""

    __slots__ = ('claims', 'clock', 'control', 'listener')

    def __init__(
        self,
        *,
        control: Control,
        listener: Listener,
        claims: Mailbox,
        clock: Clock,
    ) -> None:
        self.control = control
        self.listener = listener
        self.claims = claims
        self.clock = clock

    async def run(self, runner: web.AppRunner) -> None:
        """Return once no caller can be cut any more."""
        self.listener.is_leaving = True
        await self._announce()
        known_s = LIST_LAG_S + self.control.membership_reader.spread_s()
        steering = self.control.follower.configuration.steering
        come_s = known_s + steering.cache_s
        logger.info('leaving: callers may come for {:.1f} s', come_s)
        await self.clock.sleep(come_s)
        for site in tuple(runner.sites):
            await site.stop()
        await self._wait_for_requests()
        await self.claims.ask(ClaimFlush())

    async def _announce(self) -> None:
        while True:
            try:
                await self.control.membership_reader.leave()
            except PlatformError as error:
                logger.warning('could not announce leaving: {}', error)
            else:
                return
            await self.clock.sleep(self.control.poll_s)

    async def _wait_for_requests(self) -> None:
        quiet = 0
        while quiet < QUIET_STEPS:
            await self.clock.sleep(STEP_S)
            quiet = 0 if self.listener.running else quiet + 1
