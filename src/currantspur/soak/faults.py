"""Hurt a fleet in one way for a while; the ways vary by class."""

import asyncio
import signal
from abc import ABC, abstractmethod
from random import Random
from typing import TYPE_CHECKING

from currantspur.soak.proxy import PROXY_FAILURE_MODES
from currantspur.standins.target import (
    HEALTHY,
    Behaviour,
    Duplicating,
    Failing,
    Resetting,
    Shedding,
    Silent,
    Truncating,
    Unframed,
)

if TYPE_CHECKING:
    from currantspur.soak.run import Soak

# Faults last this long, in seconds.
SHORTEST_S, LONGEST_S = 0.2, 1.5
BEHAVIOURS: tuple[Behaviour, ...] = (
    Truncating(),
    Duplicating(),
    Failing(),
    Resetting(),
    Shedding(),
    Silent(),
    Unframed(is_reset=True),
    Unframed(is_reset=False),
)


class Fault(ABC):
    """Choose a victim at random, hurt it and mend it again."""

    __slots__ = ()

    @abstractmethod
    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Return when what was hurt works again."""


class Restart(Fault):
    """Stop an instance by a signal and start it again."""

    __slots__ = ('number',)

    def __init__(self, number: signal.Signals) -> None:
        self.number = number

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Take an instance that no other fault holds."""
        async with soak.reserve_process(random) as process:
            if process is not None:
                await process.end(self.number)
                await process.start()


class Pause(Fault):
    """Let an instance stand still."""

    __slots__ = ()

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Take an instance that no other fault holds."""
        async with soak.reserve_process(random) as process:
            if process is not None:
                process.send(signal.SIGSTOP)
                await _last(random)
                process.send(signal.SIGCONT)


class LinkFault(Fault):
    """Harm the connections to the store or to a target."""

    __slots__ = ()

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Change what one proxy does."""
        proxy = random.choice(soak.proxies)
        proxy.failure_mode = random.choice(PROXY_FAILURE_MODES)
        await _last(random)
        proxy.failure_mode = 'none'


class Misbehaviour(Fault):
    """Let a target answer wrongly."""

    __slots__ = ()

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Change what one target does."""
        target = random.choice(list(soak.fleet.targets.values()))
        target.behaviour = random.choice(BEHAVIOURS)
        await _last(random)
        target.behaviour = HEALTHY


class StoreOutage(Fault):
    """Let the store refuse, fall silent, lose answers or forget."""

    __slots__ = ()

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Change what the store does."""
        store = soak.fleet.store
        store.change_failure_mode(
            random.choice(('busy', 'many', 'reset', 'lost'))
        )
        await _last(random)
        store.change_failure_mode('none')
        store.drop_history()


class NewVersion(Fault):
    """Write a configuration that changes nothing for callers."""

    __slots__ = ()

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Write the next version."""
        soak.fleet.configure()
        await _last(random)


FAULTS: tuple[Fault, ...] = (
    Restart(signal.SIGKILL),
    Restart(signal.SIGTERM),
    Pause(),
    LinkFault(),
    Misbehaviour(),
    StoreOutage(),
    NewVersion(),
)


async def _last(random: Random) -> None:
    await asyncio.sleep(random.uniform(SHORTEST_S, LONGEST_S))
