"""Command `experiment`: compare policies on model targets."""

import sys

from currantspur.cli.application import app
from currantspur.model import POLICIES, RegionResult, Scenario, simulate


@app.command
def experiment(
    *, per_s: float = 33.0, seconds: float = 30.0, seed: int = 1
) -> None:
    """Simulate each placement policy and print results by region.

    Columns after the number of requests are shares of it.

    Args:
        per_s: Mean number of requests per second and region.
        seconds: Simulated duration in seconds.
        seed: Seed of the simulated traffic.

    """
    scenario = Scenario(requests_per_s=per_s, duration_s=seconds, seed=seed)
    sys.stdout.write('policy | region | asked | in goal | far | refused\n')
    for name, make_policy in POLICIES.items():
        for region, result in enumerate(simulate(scenario, make_policy)):
            sys.stdout.write(f'{name} | {region} | {format_result(result)}\n')


def format_result(result: RegionResult) -> str:
    """Return the number of requests, then the other counts as shares."""
    shares = ' | '.join(
        f'{number / max(1, result.requests):.3f}'
        for number in (result.within_goal, result.cross_region, result.refused)
    )
    return f'{result.requests} | {shares}'
