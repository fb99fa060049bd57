"""Register this instance in the store and read the list of its region."""

import asyncio
from collections.abc import Awaitable, Callable
from random import Random

from currantspur.errors import StoreAwayError
from currantspur.messages import Instance
from currantspur.pipelines.instance_rows import InstanceCodec, decode_instances
from currantspur.tasks.clock import Clock
from currantspur.tasks.journal import Journal
from currantspur.tasks.mailbox import Mailbox
from currantspur.tasks.ports import Store

INSTANCES_TABLE = 'instances'
RETRY_DELAY_S = 0.5
# Factors of the delays: instances that start together must not call together.
JITTER_FACTORS = (0.6, 1.4)
# When the whole fleet starts for the first time, all have registered by then.
FIRST_START_DELAY_S = 0.6
# Tables are read from the store itself if no list of relays is known by then.
MAX_LIST_WAIT_S = 1.5
KEY_SEPARATOR = '/'
# The character after the separator: it ends the range of a prefix.
AFTER_SEPARATOR = chr(ord(KEY_SEPARATOR) + 1)


class Registrar:
    """Register this instance once and learn the others of its region.

    Changes of the list follow by the table, and other regions by it too.
    """

    __slots__ = (
        'clock',
        'codec',
        'era',
        'has_list',
        'is_first_start',
        'is_leaving',
        'journal',
        'membership',
        'needs_row',
        'own',
        'random',
        'store',
    )

    def __init__(
        self,
        *,
        own: Instance,
        store: Store,
        codec: InstanceCodec,
        membership: Mailbox,
        clock: Clock,
        journal: Journal,
        random: Random,
        is_first_start: bool,
    ) -> None:
        self.own = own
        self.store = store
        self.codec = codec
        self.membership = membership
        self.clock = clock
        self.journal = journal
        self.random = random
        self.is_first_start = is_first_start
        self.has_list = asyncio.Event()
        # Set when the store returned to a copy, which may lack the own row.
        self.needs_row = asyncio.Event()
        self.era = -1
        self.is_leaving = False

    @property
    def key(self) -> str:
        """The key of the row, which groups the rows of a region."""
        own = self.own
        return KEY_SEPARATOR.join((own.region, own.availability_zone, own.name))

    async def run(self) -> None:
        """Register and read the list of the region, then return.

        The list holds the rest of the region except at its first start, so that
        it is read without waiting for the row of this instance.
        """
        registration = asyncio.create_task(
            self._retry_until_done(self._register)
        )
        try:
            if self.is_first_start:
                await registration
                await self.clock.sleep(FIRST_START_DELAY_S)
            await self._retry_until_done(self._read_region)
            self.has_list.set()
            await registration
        finally:
            registration.cancel()

    async def keep_registered(self) -> None:
        """Write the own row again after each return of the store to a copy.

        Run until cancelled.
        """
        while True:
            await self.needs_row.wait()
            # Instances notice the return of the store at about the same time.
            await self.clock.sleep(
                RETRY_DELAY_S * self.random.uniform(*JITTER_FACTORS)
            )
            self.needs_row.clear()
            if not self.is_leaving:
                await self._retry_until_done(self._register)

    def record_era(self, era: int) -> None:
        """Note the era of the store: rows written before it may be gone."""
        if 0 <= self.era < era:
            self.needs_row.set()
        self.era = max(self.era, era)

    async def wait_for_list(self) -> None:
        """Return when the list was read, at most MAX_LIST_WAIT_S later."""
        waiting = asyncio.ensure_future(self.has_list.wait())
        timer = asyncio.ensure_future(self.clock.sleep(MAX_LIST_WAIT_S))
        await asyncio.wait(
            (waiting, timer), return_when=asyncio.FIRST_COMPLETED
        )
        waiting.cancel()
        timer.cancel()

    async def deregister(self) -> None:
        """Remove this instance from the list of the store.

        Peers learn from its last heartbeat that it left. A failure is logged,
        not raised.
        """
        self.is_leaving = True
        try:
            await self.store.write(INSTANCES_TABLE, {self.key: None})
        except StoreAwayError as error:
            self.journal.note('leave_not_written', cause=str(error))

    async def _register(self) -> None:
        await self.store.write(
            INSTANCES_TABLE, {self.key: self.codec.encode(self.own)}
        )

    async def _read_region(self) -> None:
        response = await self.store.read_range(
            INSTANCES_TABLE,
            f'{self.own.region}{KEY_SEPARATOR}',
            f'{self.own.region}{AFTER_SEPARATOR}',
        )
        await self.membership.ask(
            decode_instances(self.codec, response.rows_by_key.values())
        )

    async def _retry_until_done(
        self, step: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await step()
            except StoreAwayError as error:
                self.journal.note('register_delayed', cause=str(error))
                await self.clock.sleep(
                    RETRY_DELAY_S * self.random.uniform(*JITTER_FACTORS)
                )
            else:
                return
