"""Long-running asyncio tasks of an instance."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from loguru import logger


class BackgroundTasks:
    """Coroutines that run until the instance stops.

    A coroutine that raises or returns before ``stop`` has failed.
    ``first_failure`` resolves to the exception of the first that failed, or to
    None if it returned.
    """

    __slots__ = ('first_failure', 'tasks')

    def __init__(self) -> None:
        self.tasks: list[asyncio.Task[None]] = []
        self.first_failure: asyncio.Future[BaseException | None] = (
            asyncio.get_running_loop().create_future()
        )

    def start(self, coroutine: Coroutine[Any, Any, None]) -> None:
        """Run a coroutine as a task until ``stop`` is called."""
        task = asyncio.create_task(coroutine)
        task.add_done_callback(self._on_done)
        self.tasks.append(task)

    async def stop(self) -> None:
        """Cancel all tasks and wait until they have ended."""
        for task in self.tasks:
            task.cancel()
        await asyncio.gather(*self.tasks, return_exceptions=True)

    def _on_done(self, task: 'asyncio.Task[None]') -> None:
        if task.cancelled() or self.first_failure.done():
            return
        error = task.exception()
        # Log the type only: the text of an error may contain an API key. The
        # type is NoneType if the task returned.
        logger.error(
            'background task ended before shutdown: {}',
            type(error).__name__,
        )
        self.first_failure.set_result(error)
