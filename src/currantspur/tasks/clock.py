"""Clock interface of the tasks and the clock of the machine."""

import asyncio
import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of monotonic and Unix time that also suspends tasks."""

    __slots__ = ()

    @abstractmethod
    def now(self) -> float:
        """Return monotonic seconds, including time suspended."""

    @abstractmethod
    def unix(self) -> float:
        """Return Unix seconds, for log lines only."""

    @abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Suspend the calling coroutine for this many seconds."""


class SystemClock(Clock):
    """Clock of the machine."""

    __slots__ = ()

    def now(self) -> float:
        """Return seconds since boot, including suspended time."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix(self) -> float:
        """Return the Unix seconds of the machine."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Suspend the calling coroutine without blocking the event loop."""
        await asyncio.sleep(seconds)
