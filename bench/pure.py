"""Measure decisions and pipelines without sockets."""

import random
import time
from collections.abc import Callable, Iterator
from functools import partial

from bench.case import Case, Figure
from currantspur.decisions.allowance import Allowance
from currantspur.decisions.freshness import Freshness
from currantspur.decisions.identity import KeyRing, mint_key
from currantspur.decisions.routing import RouteTable
from currantspur.messages import Arrival, Part, Proof, Route, name_team_limit
from currantspur.pipelines import AdmissionState, Pipeline, assemble_admission

TEAMS = 64
ARRIVALS = 5_000
BATCH = 20
FOREVER = 1e12
US_PER_S = 1_000_000


def time_calls(work: Callable[[], int]) -> Figure:
    """Return the time of one call (microseconds of processor time)."""
    began = time.process_time()
    calls = work()
    spent_us = (time.process_time() - began) * US_PER_S
    return Figure(name='time a call', reading=spent_us / calls, unit='us')


class AdmissionCase(Case):
    """Run keyed arrivals through the admission pipeline."""

    __slots__ = ()
    name = 'admission'

    def run(self, seed: int) -> Iterator[Figure]:
        """Yield the time of one arrival in batches."""
        state, keys = open_state()
        pipeline = assemble_admission(state)
        source = random.Random(seed)
        batches = [
            [draw_arrival(source, keys) for _ in range(BATCH)]
            for _ in range(ARRIVALS // BATCH)
        ]
        yield time_calls(partial(admit_all, pipeline, batches))


def admit_all(pipeline: Pipeline, batches: list[list[Arrival]]) -> int:
    """Run all batches and return how many arrivals were admitted."""
    admitted = [
        passage.refusal is None
        for batch in batches
        for passage in pipeline.run(batch)
    ]
    if not all(admitted):
        raise AssertionError('an arrival was refused')
    return len(admitted)


def draw_arrival(source: random.Random, keys: list[str]) -> Arrival:
    """Return an arrival of one of the teams."""
    return Arrival(
        request_id='r',
        at=1.0,
        method='GET',
        path='/service-3/labels/7',
        key=source.choice(keys),
    )


def open_state() -> tuple[AdmissionState, list[str]]:
    """Return a state in which every team may go on for ever."""
    state = AdmissionState(freshness=Freshness(limit_s=1.5))
    state.version = 1
    state.freshness.accept(Proof(version=1, proven_at=1.0))
    state.routes = RouteTable(
        Route(prefix=f'/service-{number}', service=f'service-{number}')
        for number in range(8)
    )
    minted = [mint_key(f'team-{number}') for number in range(TEAMS)]
    state.keys = KeyRing(kept for _, kept in minted)
    state.holdings.version = 1
    state.holdings.allowances = {
        name_team_limit(kept.team): Allowance(
            Part(rate=0, burst=FOREVER), at=1.0, level=FOREVER
        )
        for _, kept in minted
    }
    return state, [secret for secret, _ in minted]


CASES = (AdmissionCase(),)
