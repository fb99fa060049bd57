"""Run tasks in virtual time: the clock moves when all tasks wait."""

import asyncio
import heapq
import selectors
from itertools import count

from currantspur.tasks.clock import Clock

TURNS = 60
UNIX_EPOCH_S = 1_700_000_000


class VirtualClock(Clock):
    """Move time only on request; sleepers wake in order."""

    def __init__(self) -> None:
        self.at = 0.0
        self.sleepers = []
        self.numbers = count()

    def now(self) -> float:
        return self.at

    def unix(self) -> float:
        return UNIX_EPOCH_S + self.at

    async def sleep(self, seconds: float) -> None:
        woken = asyncio.get_running_loop().create_future()
        entry = (self.at + max(0, seconds), next(self.numbers), woken)
        heapq.heappush(self.sleepers, entry)
        await woken

    async def advance(self, seconds: float) -> None:
        """Pass time, waking each sleeper at its moment."""
        end = self.at + seconds
        await run_ready_tasks()
        while self.sleepers and self.sleepers[0][0] <= end:
            self.wake_next()
            await run_ready_tasks()
        self.at = end

    async def run_until_done(self, work):
        """Pass as much time as some work needs and return its outcome."""
        running = asyncio.ensure_future(work)
        await run_ready_tasks()
        while not running.done() and self.sleepers:
            self.wake_next()
            await run_ready_tasks()
        return await running

    def wake_next(self) -> None:
        at, _, woken = heapq.heappop(self.sleepers)
        self.at = max(self.at, at)
        if not woken.done():
            woken.set_result(None)


async def run_ready_tasks() -> None:
    for _ in range(TURNS):
        await asyncio.sleep(0)


class VirtualSelector:
    """Pass time at once where an event loop would wait for it."""

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
    """Run callbacks in the order of a time that costs nothing."""

    def __init__(self) -> None:
        self.virtual = VirtualSelector(selectors.DefaultSelector())
        super().__init__(self.virtual)

    def time(self) -> float:
        return self.virtual.at


class LoopClock(Clock):
    """Tell the time of the running loop, which may be a virtual one."""

    def now(self) -> float:
        return asyncio.get_running_loop().time()

    def unix(self) -> float:
        return UNIX_EPOCH_S + self.now()

    async def sleep(self, seconds: float) -> None:
        await asyncio.sleep(seconds)


def run_virtual(work):
    """Run a coroutine to its end in virtual time."""
    with asyncio.Runner(loop_factory=VirtualLoop) as runner:
        return runner.run(work)
