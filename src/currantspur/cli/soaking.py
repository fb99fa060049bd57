"""Command `soak`: run instances under random faults."""

import asyncio
import sys

from currantspur.cli.application import EXIT_FAILED, app
from currantspur.soak import run_seed


@app.command
def soak(
    *,
    first: int = 1,
    seeds: int = 5,
    seconds: float = 10.0,
    instances_per_zone: int = 1,
) -> None:
    """Run instances as processes under random faults and check invariants.

    Exits with status 2 if an invariant is violated.

    Args:
        first: First seed.
        seeds: Number of consecutive seeds to run.
        seconds: Duration of load and faults for each seed, in seconds.
        instances_per_zone: Processes in each of the three availability zones.

    """
    violation_count = 0
    for seed in range(first, first + seeds):
        violations = asyncio.run(
            run_seed(
                seed, seconds=seconds, instances_per_zone=instances_per_zone
            )
        )
        violation_count += len(violations)
        sys.stdout.write(f'seed {seed}: {len(violations)} broken\n')
        for violation in violations:
            sys.stdout.write(
                f'  {violation.invariant}: {violation.request_id}\n'
            )
        sys.stdout.flush()
    if violation_count:
        sys.exit(EXIT_FAILED)
