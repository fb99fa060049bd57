"""Faults of load: bursts, slow machines, targets that come, go and resize."""

import asyncio
from random import Random
from typing import TYPE_CHECKING

from currantspur.platform.names import DRAINING, TARGET_TABLE
from currantspur.soak.fault import Fault, wait_fault_duration
from currantspur.standins.target import UNCACHED_WORK_S

if TYPE_CHECKING:
    from currantspur.soak.run import Soak

# Requests that arrive at once, several times what the targets' slots and queues
# hold while work is slow.
BURST_REQUESTS = 120
SLOW_WORK_S = 0.25
PACES_PERCENT = (40, 150, 400, 900)
SLOT_COUNTS = (1, 2, 6)


class Burst(Fault):
    """Slow all work and send more requests than there is room for.

    Requests of low ranks are then refused.
    """

    __slots__ = ()

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Send the requests and wait for their ends."""
        targets = soak.fleet.targets.values()
        for target in targets:
            target.uncached_work_s = SLOW_WORK_S
        await asyncio.gather(
            *(soak.send_request(random) for _ in range(BURST_REQUESTS))
        )
        for target in targets:
            target.uncached_work_s = UNCACHED_WORK_S


class MachinePace(Fault):
    """Let the machine of one target be slower or faster than usual."""

    __slots__ = ()

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Change how long work takes, which load reports state."""
        target = random.choice(list(soak.fleet.targets.values()))
        target.pace_percent = random.choice(PACES_PERCENT)
        await wait_fault_duration(random)
        target.pace_percent = None


class Departure(Fault):
    """Let one target drain, leave the table, and come back restarted."""

    __slots__ = ()

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Write, remove and write again the row of one target."""
        name = random.choice(list(soak.fleet.targets))
        soak.register_target(name, state=DRAINING)
        await wait_fault_duration(random)
        soak.fleet.store.remove(TARGET_TABLE, name)
        await wait_fault_duration(random)
        soak.register_restart(name)


class Resize(Fault):
    """Change the slots that the row of one target states."""

    __slots__ = ()

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Write the row with other slots, then as it was."""
        name = random.choice(list(soak.fleet.targets))
        soak.register_target(name, slots=random.choice(SLOT_COUNTS))
        await wait_fault_duration(random)
        soak.register_target(name)
