"""Let a claimed request end although its caller has left."""

import asyncio
from collections.abc import AsyncGenerator, Callable
from contextlib import aclosing

from currantspur.tasks.attempts import Part

Ending = Exception | None


class Pump:
    """Move the parts of an answer from its own task to a caller."""

    __slots__ = ('is_left', 'parts', 'queue')

    def __init__(self, parts: AsyncGenerator[Part]) -> None:
        self.parts = parts
        self.queue: asyncio.Queue[Part | Ending] = asyncio.Queue(maxsize=1)
        self.is_left = False

    async def run(self) -> None:
        """Move every part, then what the answer ended with."""
        ending: Ending = None
        try:
            async with aclosing(self.parts) as parts:
                async for part in parts:
                    await self._put(part)
        except Exception as error:
            # Whatever it is, the caller must not wait for ever.
            ending = error
        await self._put(ending)

    async def read(self) -> AsyncGenerator[Part]:
        """Yield the parts; raise what the answer ended with."""
        while True:
            part = await self.queue.get()
            if part is None:
                return
            if isinstance(part, Exception):
                raise part
            yield part

    def leave(self) -> None:
        """Take no more parts; the answer still goes on to its end."""
        self.is_left = True
        while not self.queue.empty():
            self.queue.get_nowait()

    async def _put(self, part: Part | Ending) -> None:
        if not self.is_left:
            await self.queue.put(part)


class Completion:
    """Run requests in tasks of their own."""

    __slots__ = ('jobs',)

    def __init__(self) -> None:
        self.jobs: set[asyncio.Task[None]] = set()

    async def run(
        self, parts: AsyncGenerator[Part], may_go_on: Callable[[], bool]
    ) -> AsyncGenerator[Part]:
        """Yield the parts; when left, go on if that is told to be useful."""
        pump = Pump(parts)
        job = asyncio.create_task(pump.run())
        self.jobs.add(job)
        job.add_done_callback(self.jobs.discard)
        try:
            async for part in pump.read():
                yield part
        finally:
            if not may_go_on():
                job.cancel()
            pump.leave()

    def cut(self) -> None:
        """Cancel every request."""
        for job in self.jobs:
            job.cancel()
