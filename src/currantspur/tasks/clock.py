"""Tell the time to tasks."""

import asyncio
import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Give monotonic and Unix time and let tasks sleep."""

    __slots__ = ()

    @abstractmethod
    def now(self) -> float:
        """Return monotonic seconds that go on while a process is paused."""

    @abstractmethod
    def unix(self) -> float:
        """Return Unix seconds, only to be shown or compared with plans."""

    @abstractmethod
    async def sleep(self, seconds: float) -> None:
        """Wait for that many seconds."""


class SystemClock(Clock):
    """Read the clocks of the machine."""

    __slots__ = ()

    def now(self) -> float:
        """Return seconds since boot, suspended time included."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def unix(self) -> float:
        """Return Unix seconds."""
        return time.time()

    async def sleep(self, seconds: float) -> None:
        """Wait on the event loop."""
        await asyncio.sleep(seconds)
