"""Follow the client blocks: fetch the chunks that a version changed."""

from collections.abc import Iterable

from loguru import logger

from currantspur.errors import PlatformError
from currantspur.messages import BlockChange, InForce
from currantspur.platform import ObjectStore
from currantspur.platform.blocks import (
    BLOCKS_SECTION,
    Index,
    decode_chunk,
    decode_index,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Letter, Mailbox
from currantspur.tasks.task import Task

RETRY_S = 1.0


class BlockLoader(Task):
    """Fetch changed chunks one by one and pass them to the steering task."""

    __slots__ = ('clock', 'index', 'loaded', 'steering', 'store', 'wanted')

    def __init__(
        self, *, store: ObjectStore, clock: Clock, steering: Mailbox
    ) -> None:
        super().__init__()
        self.store = store
        self.clock = clock
        self.steering = steering
        self.index: Index = {}
        self.wanted: str | None = None
        self.loaded: str | None = None

    async def run(self) -> None:
        """Load the newest index whenever a version names another one."""
        while True:
            self.receive(await self.mailbox.take())
            while self.wanted != self.loaded:
                await self.load(self.wanted)
                self.receive(self.mailbox.drain())

    def receive(self, letters: Iterable[Letter]) -> None:
        """Note the index that the newest version names."""
        for letter in letters:
            if isinstance(letter.message, InForce):
                self.wanted = letter.message.head.sections.get(BLOCKS_SECTION)

    async def load(self, name: str | None) -> None:
        """Bring an index into force, or wait and let the caller retry."""
        try:
            index = await self._fetch(name)
        except PlatformError as error:
            logger.warning('blocks not loaded yet: {}', error)
            await self.clock.sleep(RETRY_S)
            return
        self.index = index
        self.loaded = name
        change = BlockChange(chunks=(), prefixes=tuple(index.values()))
        self.steering.post(change)

    async def _fetch(self, name: str | None) -> Index:
        if name is None:
            return {}
        index = decode_index(await self.store.get(name))
        for chunk in index.keys() - self.index.keys():
            body = await self.store.get(chunk)
            decoded = decode_chunk(index[chunk], body)
            self.steering.post(BlockChange(chunks=(decoded,), is_last=False))
        return index
