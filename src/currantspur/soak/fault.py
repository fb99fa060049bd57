"""Interface of faults that are injected into a fleet for a random time."""

import asyncio
from abc import ABC, abstractmethod
from random import Random
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantspur.soak.run import Soak

# The duration of each fault is drawn from this range.
MIN_FAULT_S, MAX_FAULT_S = 0.2, 1.5


class Fault(ABC):
    """Fault of one kind; its victim and duration are drawn at random."""

    __slots__ = ()

    @abstractmethod
    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Inject the fault and return once it is removed again."""


async def wait_fault_duration(random: Random) -> None:
    """Wait for the duration of a fault."""
    await asyncio.sleep(random.uniform(MIN_FAULT_S, MAX_FAULT_S))
