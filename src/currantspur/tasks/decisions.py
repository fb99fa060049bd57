"""Flush decisions to the object store in batches."""

from collections import deque
from collections.abc import Iterable

from loguru import logger

from currantspur.errors import PlatformError
from currantspur.messages import Decision
from currantspur.platform import ObjectStore
from currantspur.platform.decisions import store_decisions
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Letter
from currantspur.tasks.task import Task

FLUSH_S = 10.0
BACKLOG = 5_000
BATCH = 500


class DecisionWriter(Task):
    """Write batches; an outage keeps the youngest of a bounded backlog."""

    __slots__ = ('backlog', 'clock', 'dropped', 'instance', 'is_away', 'store')

    def __init__(
        self, *, store: ObjectStore, clock: Clock, instance: str
    ) -> None:
        super().__init__()
        self.store = store
        self.clock = clock
        self.instance = instance
        self.backlog: deque[Decision] = deque(maxlen=BACKLOG)
        self.dropped = 0
        self.is_away = False

    async def run(self) -> None:
        """Flush at a steady pace until cancelled."""
        while True:
            if not self.backlog:
                self.receive(await self.mailbox.take())
            await self.clock.sleep(FLUSH_S)
            self.receive(self.mailbox.drain())
            await self.flush()

    def receive(self, letters: Iterable[Letter]) -> None:
        """Queue decisions; the oldest give way."""
        for letter in letters:
            if isinstance(letter.message, Decision):
                self.dropped += len(self.backlog) == BACKLOG
                self.backlog.append(letter.message)

    async def flush(self) -> None:
        """Write what waits; keep it where the store is away."""
        while self.backlog:
            batch = list(self.backlog)[:BATCH]
            name = f'decisions/{self.instance}/{self.clock.unix():.3f}'
            try:
                await store_decisions(self.store, name, batch)
            except PlatformError as error:
                self._note(away=True, reason=str(error))
                return
            self._note(away=False, reason='')
            for _ in batch:
                self.backlog.popleft()

    def _note(self, *, away: bool, reason: str) -> None:
        if away == self.is_away:
            return
        self.is_away = away
        if away:
            logger.warning('decisions wait for the store: {}', reason)
        else:
            logger.info('decisions are stored again')
