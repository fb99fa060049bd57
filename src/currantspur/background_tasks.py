"""Start the coroutines of an instance and note the first that ends."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger


class BackgroundTasks:
    """Hold what runs; whatever ends by itself is a failure."""

    __slots__ = ('first_failure', 'running')

    def __init__(self) -> None:
        self.running: list[asyncio.Task[None]] = []
        self.first_failure: asyncio.Future[BaseException | None] = (
            asyncio.get_running_loop().create_future()
        )

    def start(self, work: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine until this stops."""
        job = asyncio.create_task(work)
        job.add_done_callback(self._note_end)
        self.running.append(job)

    async def stop(self) -> None:
        """Cancel everything and wait until it has ended."""
        for job in self.running:
            job.cancel()
        await asyncio.gather(*self.running, return_exceptions=True)

    def _note_end(self, job: 'asyncio.Task[None]') -> None:
        if job.cancelled() or self.first_failure.done():
            return
        error = job.exception()
        # The text of an error may hold a key.
        logger.error('a task ended: {}', type(error).__name__)
        self.first_failure.set_result(error)
