"""The kinds of faults, and those of processes, links and the store."""

import signal
from random import Random
from typing import TYPE_CHECKING

from currantspur.platform import PLATFORM_NAMES
from currantspur.platform.names import OPERATOR_TABLE, TARGET_TABLE
from currantspur.soak.fault import Fault, wait_fault_duration
from currantspur.soak.input_faults import Crowd, OddInput
from currantspur.soak.load_faults import Burst, Departure, MachinePace, Resize
from currantspur.soak.proxy import PROXY_FAILURE_MODES
from currantspur.standins.behaviours import (
    HEALTHY,
    Behaviour,
    ClosingIdle,
    Duplicating,
    Failing,
    Resetting,
    Shedding,
    Silent,
    Truncating,
    Unframed,
)
from currantspur.standins.store import StoreCopy
from currantspur.wire.names import RETRY_AFTER_HEADER

if TYPE_CHECKING:
    from currantspur.soak.run import Soak

BEHAVIOURS: tuple[Behaviour, ...] = (
    ClosingIdle(),
    Truncating(),
    Duplicating(),
    Failing(),
    Resetting(),
    Shedding(),
    Silent(),
    Unframed(is_reset=True),
    Unframed(is_reset=False),
)


# What a target says of itself in its responses.
ANNOUNCEMENTS = (
    f'{PLATFORM_NAMES.leaving_header}: 1\r\n',
    f'{PLATFORM_NAMES.limit_header}: 2.5\r\n',
    f'{PLATFORM_NAMES.limit_header}: 0\r\n',
    f'{RETRY_AFTER_HEADER}: 1\r\n',
)


class Restart(Fault):
    """Stop an instance process with a signal and start it again."""

    __slots__ = ('signal_number',)

    def __init__(self, signal_number: signal.Signals) -> None:
        self.signal_number = signal_number

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Restart an unreserved instance; do nothing if all are reserved."""
        async with soak.reserve_process(random) as process:
            if process is not None:
                await process.stop(self.signal_number)
                await process.start()


class Pause(Fault):
    """Suspend an instance process with SIGSTOP."""

    __slots__ = ()

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Suspend an unreserved instance; do nothing if all are reserved."""
        async with soak.reserve_process(random) as process:
            if process is not None:
                process.send_signal(signal.SIGSTOP)
                await wait_fault_duration(random)
                process.send_signal(signal.SIGCONT)


class LinkFault(Fault):
    """Disturb the connections to the store or to one target."""

    __slots__ = ()

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Set a failure mode on one proxy."""
        proxy = random.choice(soak.proxies)
        proxy.failure_mode = random.choice(PROXY_FAILURE_MODES)
        await wait_fault_duration(random)
        proxy.failure_mode = 'none'


class Misbehaviour(Fault):
    """Make one target misbehave."""

    __slots__ = ()

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Replace the behaviour of one target."""
        target = random.choice(list(soak.fleet.targets.values()))
        target.behaviour = random.choice(BEHAVIOURS)
        await wait_fault_duration(random)
        target.behaviour = HEALTHY


class Announcement(Fault):
    """Make one target leave or name a limit, then restart under its name.

    A pause takes effect while the target also rejects requests.
    """

    __slots__ = ()

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Add a header to the responses of one target."""
        name = random.choice(list(soak.fleet.targets))
        target = soak.fleet.targets[name]
        target.extra_headers = random.choice(ANNOUNCEMENTS)
        await wait_fault_duration(random)
        target.extra_headers = ''
        soak.register_restart(name)


class StoreOutage(Fault):
    """Make the store refuse calls, reset connections or lose responses.

    It also loses its history of changes.
    """

    __slots__ = ()

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Set a failure mode on the store, then drop its history."""
        store = soak.fleet.store
        store.change_failure_mode(
            random.choice(('busy', 'many', 'reset', 'lost'))
        )
        await wait_fault_duration(random)
        store.change_failure_mode('none')
        store.drop_history()


class StoreRestore(Fault):
    """Let the store come back from a copy.

    Operators and targets write their rows again, in any order.
    """

    __slots__ = ()

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Restore a copy that is as old as the duration of a fault."""
        store = soak.fleet.store
        copy = StoreCopy(store)
        await wait_fault_duration(random)
        store.change_failure_mode('reset')
        await wait_fault_duration(random)
        written = [
            (table, key, row)
            for (table, key), (row, _revision) in store.rows.items()
            if table in {OPERATOR_TABLE, TARGET_TABLE}
        ]
        copy.restore(store)
        random.shuffle(written)
        for table, key, row in written:
            store.put(table, key, row)
        store.change_failure_mode('none')


class NewVersion(Fault):
    """Write a new version of the configuration with the same content."""

    __slots__ = ()

    async def inject(self, soak: 'Soak', random: Random) -> None:
        """Write the version and wait the duration of a fault."""
        soak.fleet.configure()
        await wait_fault_duration(random)


FAULTS: tuple[Fault, ...] = (
    Restart(signal.SIGKILL),
    Restart(signal.SIGTERM),
    Pause(),
    LinkFault(),
    Misbehaviour(),
    Announcement(),
    StoreOutage(),
    StoreRestore(),
    NewVersion(),
    Burst(),
    MachinePace(),
    Departure(),
    Resize(),
    Crowd(),
    OddInput(),
)
