"""Delete the claims of keys that are no longer accepted."""

from contextlib import suppress
from random import Random

from currantspur.decisions.claims import name_expired
from currantspur.errors import PlatformError
from currantspur.platform import Table, Transaction
from currantspur.tasks.clock import Clock

SWEEP_S = 3_600.0
ROWS_AT_ONCE = 200


class ClaimSweep:
    """Look for old claims now and then; several sweepers do no harm."""

    __slots__ = ('clock', 'random', 'table')

    def __init__(self, *, table: Table, clock: Clock, random: Random) -> None:
        self.table = table
        self.clock = clock
        self.random = random

    async def run(self) -> None:
        """Sweep after a random part of an hour, then every hour."""
        await self.clock.sleep(SWEEP_S * self.random.random())
        while True:
            with suppress(PlatformError):
                await self.sweep()
            await self.clock.sleep(SWEEP_S)

    async def sweep(self) -> None:
        """Delete every claim of the days that have expired."""
        for prefix in name_expired(self.clock.unix()):
            while rows := await self.table.scan(prefix, limit=ROWS_AT_ONCE):
                writes: dict[str, str | None] = {row.key: None for row in rows}
                await self.table.commit(
                    Transaction(conditions={}, writes=writes)
                )
