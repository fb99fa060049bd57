"""Run real daemons under faults: python -m bench.faults [ROW...]."""

import asyncio
import json
import sys
from collections.abc import AsyncIterator, Iterator

import cyclopts
import uvloop

from bench.processes import ProcessFleet, open_process_fleet
from bench.runner import ROOT
from bench.scenarios import Scenario, Stage, list_scenarios
from currantspur.decisions.identity import mint_key
from currantspur.load import Allowance, Hit, LoadSpec, Mix, Violation
from currantspur.load.caller import (
    LoadRun,
    choose_checks,
    count_runs,
    count_tried,
)
from currantspur.load.checks import is_served, run_checks
from currantspur.messages import Configuration, Key
from currantspur.standins.workloads import ETIQUETA_CLARA

ZONES = ('north-1', 'central-1', 'south-1')
TEAMS = ('team-1', 'team-5', 'team-8')
RATE = 60.0
SETTLE_S = 8.0
SHOWN = 3

app = cyclopts.App(name='faults', help='Run real daemons under faults.')


class Row:
    """Hold what came of one scenario."""

    __slots__ = ('hits', 'scenario', 'tried', 'violations')

    def __init__(
        self,
        scenario: Scenario,
        hits: list[Hit],
        tried: dict[str, int],
        violations: list[Violation],
    ) -> None:
        self.scenario = scenario
        self.hits = hits
        self.tried = tried
        self.violations = violations

    def lines(self) -> Iterator[str]:
        """Yield the lines of the row."""
        served = sum(1 for hit in self.hits if is_served(hit))
        tried = ' '.join(
            f'{name}={count}' for name, count in self.tried.items()
        )
        mark = 'FAIL' if self.violations else 'ok  '
        name = self.scenario.name
        yield f'{mark} {name:44} sent {len(self.hits)} served {served} {tried}'
        for violation in self.violations[:SHOWN]:
            yield f'     {violation.promise}: {violation.example}'
        if len(self.violations) > SHOWN:
            yield f'     and {len(self.violations) - SHOWN} more'


@app.default
def run(*rows: str, seed: int = 1) -> None:
    """Run the rows whose names start so, or all; exit 1 on a violation."""
    found = uvloop.run(_collect(rows, seed))
    output = ROOT / 'out' / 'faults.json'
    output.parent.mkdir(exist_ok=True)
    output.write_text(json.dumps(found, indent=2), encoding='utf-8')
    sys.exit(1 if any(found.values()) else 0)


async def _collect(rows: tuple[str, ...], seed: int) -> dict[str, int]:
    found = {}
    async for row in run_rows(rows, seed):
        for line in row.lines():
            sys.stdout.write(f'{line}\n')
        sys.stdout.flush()
        found[row.scenario.name] = len(row.violations)
    return found


async def run_rows(rows: tuple[str, ...], seed: int) -> AsyncIterator[Row]:
    """Yield what came of each row, one fleet after another."""
    for scenario in list_scenarios():
        if not rows or any(scenario.name.startswith(row) for row in rows):
            yield await run_row(scenario, seed)


async def run_row(scenario: Scenario, seed: int) -> Row:
    """Run one scenario on a fleet of its own."""
    async with open_process_fleet(ETIQUETA_CLARA, ZONES) as opened:
        fleet, configuration = opened
        secrets, keys = mint_keys()
        configuration.keys = keys
        await fleet.apply(configuration)
        await fleet.wait_ready()
        await asyncio.sleep(SETTLE_S)
        spec = describe_load(fleet, configuration, secrets, scenario, seed)
        load = LoadRun(spec, fleet.session)
        stage = Stage(fleet=fleet, configuration=configuration, run=load)
        await asyncio.gather(load.run(), scenario.disturb(stage))
        runs = await count_runs(fleet.session, spec.targets)
        checks = choose_checks(spec, runs)
        violations = list(run_checks(checks, load.hits))
        violations += scenario.find(stage, load.hits)
        tried = count_tried(checks, load.hits)
        return Row(scenario, load.hits, tried, violations)


def mint_keys() -> tuple[dict[str, str], tuple[Key, ...]]:
    """Return the secrets by team and the keys kept of them."""
    minted = {team: mint_key(team) for team in TEAMS}
    secrets = {team: secret for team, (secret, _) in minted.items()}
    return secrets, tuple(kept for _, kept in minted.values())


def describe_load(
    fleet: ProcessFleet,
    configuration: Configuration,
    secrets: dict[str, str],
    scenario: Scenario,
    seed: int,
) -> LoadSpec:
    """Return reads of each team, open reads and doubled submissions."""
    mixes = [
        Mix(name=f'read {team}', path='/status', team=team, key=secrets[team])
        for team in TEAMS
    ]
    mixes.append(Mix(name='open', path='/varieties'))
    mixes.append(
        Mix(
            name='submission',
            path='/submission',
            method='POST',
            team='team-1',
            key=secrets['team-1'],
            submission=True,
        )
    )
    return LoadSpec(
        entries=tuple(daemon.address for daemon in fleet.daemons),
        mixes=tuple(mixes),
        rate=RATE,
        duration_s=scenario.load_s,
        seed=seed,
        doubled=0.5,
        targets=tuple(target.address for target in configuration.targets),
        allowances=tuple(
            Allowance(team=team.name, rate=team.rate, burst=team.burst)
            for team in configuration.teams
            if team.name in TEAMS
        ),
    )


if __name__ == '__main__':
    app()
