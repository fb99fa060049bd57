"""Compare policies on modelled targets."""

import sys

from currantspur.cli.application import app
from currantspur.model import POLICIES, RegionResult, Scenario, simulate


@app.command
def experiment(
    *, per_s: float = 33.0, seconds: float = 30.0, seed: int = 1
) -> None:
    """Print what each policy gives the callers of each region."""
    scenario = Scenario(requests_per_s=per_s, duration_s=seconds, seed=seed)
    sys.stdout.write('policy | region | asked | in goal | far | refused\n')
    for name, kind in POLICIES.items():
        for region, outcome in enumerate(simulate(scenario, kind)):
            sys.stdout.write(f'{name} | {region} | {format_result(outcome)}\n')


def format_result(outcome: RegionResult) -> str:
    """Return the counts of a region as shares of what was asked."""
    shares = ' | '.join(
        f'{part / max(1, outcome.requests):.3f}'
        for part in (outcome.in_goal, outcome.cross_region, outcome.refused)
    )
    return f'{outcome.requests} | {shares}'
