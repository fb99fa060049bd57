"""Register this instance in the store and read the list of instances."""

from collections.abc import Awaitable, Callable, Iterable, Iterator
from random import Random

from currantspur.errors import StoreAwayError
from currantspur.messages import Instance
from currantspur.tasks.clock import Clock
from currantspur.tasks.journal import Journal
from currantspur.tasks.membership import Membership
from currantspur.tasks.ports import InstanceCodec, Store

INSTANCES_TABLE = 'instances'
RETRY_DELAY_S = 0.5
# Heartbeats announce instances that start; the list is read again to find those
# whose heartbeats were all lost.
LIST_REFRESH_S = 20.0
# Factors of the delays: instances that start together must not call together.
JITTER_FACTORS = (0.6, 1.4)


class Registrar:
    """Register this instance once and reread the list of instances."""

    __slots__ = (
        'clock',
        'codec',
        'journal',
        'membership',
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
        membership: Membership,
        clock: Clock,
        journal: Journal,
        random: Random,
    ) -> None:
        self.own = own
        self.store = store
        self.codec = codec
        self.membership = membership
        self.clock = clock
        self.journal = journal
        self.random = random

    async def run(self) -> None:
        """Register, then reread the list at intervals until cancelled."""
        await self._retry_until_done(self._register)
        while True:
            await self._retry_until_done(self._refresh_list)
            await self.clock.sleep(
                LIST_REFRESH_S * self.random.uniform(*JITTER_FACTORS)
            )

    async def deregister(self) -> None:
        """Remove this instance from the list of the store.

        Peers learn from its last heartbeat that it left. A failure is logged,
        not raised.
        """
        try:
            await self.store.write(INSTANCES_TABLE, {self.own.name: None})
        except StoreAwayError as error:
            self.journal.note('leave_not_written', cause=str(error))

    async def _register(self) -> None:
        await self.store.write(
            INSTANCES_TABLE, {self.own.name: self.codec.encode(self.own)}
        )

    async def _refresh_list(self) -> None:
        response = await self.store.read(INSTANCES_TABLE)
        self.membership.update_listed_instances(
            tuple(self._decode_rows(response.rows_by_key.values()))
        )

    def _decode_rows(
        self, values: Iterable[bytes | None]
    ) -> Iterator[Instance]:
        for value in values:
            instance = self.codec.decode(value) if value else None
            if instance is not None:
                yield instance

    async def _retry_until_done(
        self, step: Callable[[], Awaitable[None]]
    ) -> None:
        while True:
            try:
                await step()
            except StoreAwayError:
                await self.clock.sleep(
                    RETRY_DELAY_S * self.random.uniform(*JITTER_FACTORS)
                )
            else:
                return
