"""Write this instance into the store's list and read who else is there."""

from collections.abc import Awaitable, Callable, Iterable, Iterator
from random import Random

from currantspur.errors import StoreAwayError
from currantspur.messages import Instance
from currantspur.tasks.clock import Clock
from currantspur.tasks.journal import Journal
from currantspur.tasks.membership import Membership
from currantspur.tasks.ports import InstanceCodec, Store

INSTANCES_TABLE = 'instances'
RETRY_S = 0.5
# Heartbeats find instances that join; the list is read again for those whose
# heartbeats were all lost.
LIST_REFRESH_S = 20.0
# Instances that start together do not call together.
JITTER = (0.6, 1.4)


class Registrar:
    """Join the list at the start and leave it at the end."""

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
        """Join, then read the list now and then until cancelled."""
        await self._persist(self._join)
        while True:
            await self._persist(self._read)
            await self.clock.sleep(
                LIST_REFRESH_S * self.random.uniform(*JITTER)
            )

    async def deregister(self) -> None:
        """Remove this instance from the list; peers were told already."""
        try:
            await self.store.write(INSTANCES_TABLE, {self.own.name: None})
        except StoreAwayError as error:
            self.journal.note('leave_not_written', cause=str(error))

    async def _join(self) -> None:
        await self.store.write(
            INSTANCES_TABLE, {self.own.name: self.codec.encode(self.own)}
        )

    async def _read(self) -> None:
        response = await self.store.read(INSTANCES_TABLE)
        self.membership.update_listed_instances(
            tuple(self._decode(response.rows_by_key.values()))
        )

    def _decode(self, values: Iterable[bytes | None]) -> Iterator[Instance]:
        for value in values:
            instance = self.codec.decode(value) if value else None
            if instance is not None:
                yield instance

    async def _persist(self, step: Callable[[], Awaitable[None]]) -> None:
        while True:
            try:
                await step()
            except StoreAwayError:
                await self.clock.sleep(RETRY_S * self.random.uniform(*JITTER))
            else:
                return
