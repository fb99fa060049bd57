"""Virtual time for tests: it advances only when all tasks wait.

A test advances a VirtualClock itself; a VirtualLoop also runs the timers of
asyncio in virtual time, and LoopClock reads it.
"""

import asyncio
import heapq
import selectors
from itertools import count

from currantspur.tasks.clock import Clock

# Turns of the event loop that let all ready tasks run until they wait.
EVENT_LOOP_TURNS = 60
UNIX_TIME_AT_START_S = 1_700_000_000


class VirtualClock(Clock):
    """Clock that advances on request and wakes sleepers in due order."""

    def __init__(self) -> None:
        self.at = 0.0
        self.sleepers = []
        self.sequence_numbers = count()

    def now(self) -> float:
        return self.at

    def unix(self) -> float:
        return UNIX_TIME_AT_START_S + self.at

    async def sleep(self, seconds: float) -> None:
        wake_future = asyncio.get_running_loop().create_future()
        entry = (
            self.at + max(0, seconds),
            next(self.sequence_numbers),
            wake_future,
        )
        heapq.heappush(self.sleepers, entry)
        await wake_future

    async def advance(self, seconds: float) -> None:
        """Advance the time and wake each sleeper when it is due."""
        end = self.at + seconds
        await run_ready_tasks()
        while self.sleepers and self.sleepers[0][0] <= end:
            self.wake_next()
            await run_ready_tasks()
        self.at = end

    async def run_until_done(self, awaitable):
        """Advance the time until an awaitable is done; return its result."""
        future = asyncio.ensure_future(awaitable)
        await run_ready_tasks()
        while not future.done() and self.sleepers:
            self.wake_next()
            await run_ready_tasks()
        return await future

    def wake_next(self) -> None:
        at, _, wake_future = heapq.heappop(self.sleepers)
        self.at = max(self.at, at)
        if not wake_future.done():
            wake_future.set_result(None)


async def run_ready_tasks() -> None:
    for _ in range(EVENT_LOOP_TURNS):
        await asyncio.sleep(0)


class VirtualSelector:
    """Selector that advances virtual time instead of waiting."""

    def __init__(self, selector) -> None:
        self.selector = selector
        self.at = 0.0

    def select(self, timeout=None):
        events = self.selector.select(0)
        if not events and timeout is None:
            return self.selector.select(None)
        if not events:
            self.at += max(0, timeout)
        return events

    def __getattr__(self, name):
        return getattr(self.selector, name)


class VirtualLoop(asyncio.SelectorEventLoop):
    """Event loop that runs timers in due order without waiting."""

    def __init__(self) -> None:
        self.virtual = VirtualSelector(selectors.DefaultSelector())
        super().__init__(self.virtual)

    def time(self) -> float:
        return self.virtual.at


class LoopClock(Clock):
    """Clock of the running event loop, which may be a VirtualLoop."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def unix(self) -> float:
        return UNIX_TIME_AT_START_S + self.now()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


def run_virtual(coroutine):
    """Run a coroutine in virtual time and return its result."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(coroutine)
