"""Soak the programs in faults."""

import asyncio
import sys

from currantspur.cli.application import EXIT_FAILED, app
from currantspur.soak import run_seed


@app.command
def soak(*, first: int = 1, seeds: int = 5, seconds: float = 10.0) -> None:
    """Run processes under faults; exit 2 where a promise was broken."""
    broken = 0
    for seed in range(first, first + seeds):
        found = asyncio.run(run_seed(seed, seconds=seconds))
        broken += len(found)
        sys.stdout.write(f'seed {seed}: {len(found)} broken\n')
        for each in found:
            sys.stdout.write(f'  {each.invariant}: {each.request_id}\n')
        sys.stdout.flush()
    if broken:
        sys.exit(EXIT_FAILED)
