from itertools import pairwise

import pytest

from currantspur.decisions.demand import DemandEstimate
from currantspur.decisions.drain_plan import (
    check_drain,
    kept_share,
    tell_progress,
)
from currantspur.decisions.health import HealthJudge
from currantspur.decisions.policies import FairnessPolicy, LatencyPolicy
from currantspur.decisions.shift import Shifter, measure_shift
from currantspur.decisions.spread import Spread
from currantspur.decisions.steerer import Steerer
from currantspur.messages import (
    Drain,
    ExchangeEnd,
    HealthReport,
    Instance,
    LoadReport,
    Place,
    Steering,
    SteeringView,
)
from currantspur.model import FAULTS, Experiment, simulate
from currantspur.standins.workloads import (
    WORKLOADS,
    describe_workload,
    list_zones,
    name_targets,
)

ZONES = (('a1', 'a'), ('a2', 'a'), ('b1', 'b'))
CLARA = WORKLOADS['etiqueta-clara']


def view_of(demands, *, health=None, kept=None, ages=None, flows=None):
    names = [zone for zone, _ in ZONES]
    return SteeringView(
        places=tuple(
            Place(
                availability_zone=zone,
                region=region,
                capacity=100,
                health=(health or {}).get(zone, 1.0),
                kept=(kept or {}).get(zone, 1.0),
            )
            for zone, region in ZONES
        ),
        demands=dict(zip(names, demands, strict=True)),
        loads={},
        ages=dict(zip(names, ages or (1, 1, 1), strict=True)),
        flows=flows or {name: {name: 1.0} for name in names},
    )


def run_steps(view, policy, steps=40, cap=0.2):
    steering = Steering(shift_cap=cap, cache_s=5, step_s=5)
    shifter = Shifter(policy=policy, steering=steering, freshness_s=1.5)
    for index in range(steps):
        step = shifter.decide(view, at=index * 7.0)
        if step is not None:
            assert step.shift <= cap + 1e-9
            for flow in step.flows.values():
                assert sum(flow.values()) == pytest.approx(1.0)
            view.flows = step.flows
    return view.flows


@pytest.mark.parametrize('policy', [LatencyPolicy(), FairnessPolicy()])
@pytest.mark.parametrize(
    ('demands', 'changes', 'left'),
    [
        ((50, 50, 50), {}, None),
        ((150, 20, 20), {}, None),
        ((40, 30, 50), {'health': {'a1': 0.0}}, 'a1'),
        ((40, 30, 50), {'kept': {'b1': 0.0}}, 'b1'),
        ((90, 90, 90), {'health': {'a1': 0.0}}, None),
        ((40, 30, 50), {'health': {'a1': 0.0}, 'ages': (30, 30, 1)}, None),
        ((40, 30, 50), {'health': {'a1': None, 'a2': None}}, None),
    ],
)
def test_steps_stay_under_cap_and_room(policy, demands, changes, left):
    view = view_of(demands, **changes)
    before = dict(view.flows)
    flows = run_steps(view, policy)
    for place in view.places:
        zone = place.availability_zone
        loads = [
            view.demands[name] * flow.get(zone, 0.0)
            for name, flow in flows.items()
        ]
        own = view.demands[zone]
        assert sum(loads) <= max(place.capacity * place.usable(), own) + 1e-6
    if left:
        shares = [flow.get(left, 0) for flow in flows.values()]
        assert max(shares) == pytest.approx(0, abs=0.005)
    if (
        max(view.ages.values()) > 20
        or None in changes.get('health', {}).values()
    ):
        assert flows == before


def test_step_waits_for_callers_caches():
    steering = Steering(shift_cap=0.2, cache_s=5, step_s=1)
    shifter = Shifter(
        policy=LatencyPolicy(), steering=steering, freshness_s=1.5
    )
    view = view_of((10, 10, 10), health={'a1': 0.0})
    taken = [at for at in range(20) if shifter.decide(view, at=at)]
    assert taken == [0, 7, 14]


@pytest.mark.parametrize(
    ('reports', 'expected'),
    [
        ([(0, 100, 0), (1, 110, 10)], 110),
        ([(0, 100, 0), (0, 500, 10)], 100),
        ([(0, 100, 0), (1, 0, 6)], 100 * 0.904837418),
        ([(0, 100, 0), (1, 1e9, 6)], 200),
        ([(0, 100, 0), (1, float('nan'), 6)], 100),
        ([(5, 100, 5), (4, 7, 9)], 100),
    ],
)
def test_demand(reports, expected):
    estimate = DemandEstimate()
    for sequence, rate, at in reports:
        estimate.accept(
            LoadReport(
                availability_zone='a',
                requests_s=rate,
                load=0,
                sequence=sequence,
                at=at,
            )
        )
    assert estimate.requests_s == pytest.approx(expected)


def report_of(target, sequence, state):
    return HealthReport(target=target, sequence=sequence, state=state)


@pytest.mark.parametrize(
    ('states', 'frozen', 'ends', 'since', 'expected'),
    [
        ({'t1': 'serving'}, (), (), 0, 'healthy'),
        ({'t1': 'shedding'}, (), (), 0, 'unhealthy'),
        ({'t1': 'draining'}, (), (), 0, 'draining'),
        ({'t1': 'serving'}, (), (False,) * 5, 0, 'unhealthy'),
        ({'t1': 'shedding'}, (), (True,) * 5, 0, 'healthy'),
        ({'t1': 'serving'}, ('t1',), (False,) * 5, 15, 'unhealthy'),
        ({}, ('t1',), (), 0, 'healthy'),
        ({}, ('t1', 't2', 't3'), (False,) * 5, 15, 'healthy'),
    ],
)
def test_health(states, frozen, ends, since, expected):
    judge = HealthJudge()
    names = ('t1', 't2', 't3')
    judge.follow(names)
    for at in range(20):
        for name in names:
            sequence = at * (name not in frozen)
            report = report_of(name, sequence, states.get(name, 'serving'))
            judge.accept(report, at)
        for good in ends if at >= since else ():
            judge.note(ExchangeEnd(target='t1', succeeded=good), at)
        verdicts = {one.target: one for one in judge.judge(at)}
    assert verdicts['t1'].state == expected
    assert (verdicts['t1'].share > 0) == (expected == 'healthy')


def test_flapping_is_damped_and_ramped():
    judge = HealthJudge()
    judge.follow(['t1', 't2', 't3'])
    states = []
    shares = []
    for at in range(200):
        state = 'serving' if at // 8 % 2 else 'shedding'
        judge.accept(report_of('t1', at, state), at)
        judge.accept(report_of('t2', at, 'serving'), at)
        judge.accept(report_of('t3', at, 'serving'), at)
        verdict = next(judge.judge(at))
        states.append(verdict.state)
        shares.append(verdict.share)
    changes = sum(one != other for one, other in pairwise(states))
    assert changes <= 4
    assert int(max(shares[1:]) * 2) == 0


def drain_of(drain_id, scope, name, **others):
    return Drain(drain_id=drain_id, scope=scope, name=name, **others)


@pytest.mark.parametrize(
    ('others', 'drain', 'load', 'codes', 'named'),
    [
        ([], ('region', 'north'), 100, [], ''),
        ([], ('region', 'north'), 900, ['overload'], '800/s'),
        ([('region', 'south')], ('region', 'north'), 500, ['overload'], ''),
        (
            [('region', 'north')],
            ('availability_zone', 'north-1'),
            0,
            ['clash'],
            'd0 and new',
        ),
        ([('target', 'status-1')], ('target', 'status-1'), 0, ['clash'], ''),
        ([('target', 'status-1')], ('target', 'status-2'), 0, [], ''),
    ],
)
def test_check_drain(others, drain, load, codes, named):
    addresses = dict.fromkeys(name_targets(CLARA), '127.0.0.1:9')
    configuration = describe_workload(CLARA, addresses)
    configuration.drains = tuple(
        drain_of(f'd{index}', *each) for index, each in enumerate(others)
    )
    findings = check_drain(
        configuration, drain_of('new', *drain), {'north-1': load}
    )
    assert [one.code for one in findings] == codes
    texts = ' '.join(one.text for one in findings)
    assert set(named.split(' and ')) <= {'', *texts.split()} or named in texts


@pytest.mark.parametrize(
    ('at', 'paused', 'kept', 'state'),
    [
        (5, False, 1.0, 'planned'),
        (15, False, 0.5, 'draining'),
        (15, True, 1.0, 'paused'),
        (30, False, 0.0, 'draining'),
    ],
)
def test_drain_progress(at, paused, kept, state):
    drain = drain_of(
        'd', 'region', 'north', start_s=10, pace=0.1, paused=paused
    )
    configuration = describe_workload(CLARA, {})
    flows = {'north-1': {'north-1': 0.3, 'south-1': 0.7}}
    progress = tell_progress(configuration, drain, flows, at)
    assert kept_share(drain, at) == pytest.approx(kept)
    assert (progress.state, progress.left) == (state, 0.3)


@pytest.mark.parametrize('fault', FAULTS)
@pytest.mark.parametrize(
    ('workload', 'policy'),
    [('etiqueta-clara', 'fairness'), ('zaytouna', 'latency')],
)
def test_model_holds_limits(workload, policy, fault):
    experiment = Experiment(
        workload=workload, seed=7, length_s=320, shape='vintage', greedy=4.0
    )
    row = simulate(experiment, policy=policy, fault=fault)
    assert row.region_load <= 1.0 + 1e-9
    assert row.shift <= experiment.shift_cap + 1e-9
    drained = FAULTS[fault].drained
    assert not drained or 0 <= row.drain_s < 90


def open_steerer(**steering):
    steerer = Steerer(freshness_s=1.5)
    configuration = describe_workload(CLARA, {})
    configuration.steering = Steering(shift_cap=0.2, **steering)
    steerer.configure(configuration)
    steerer.replace(frozenset(list_zones()), 0)
    return steerer, configuration


@pytest.mark.parametrize('objective', ['fairness', 'latency'])
@pytest.mark.parametrize(
    ('lost', 'drained', 'emptied'),
    [
        (('north-1',), (), ('north-1',)),
        (('north-1', 'north-2'), (), ('north-1', 'north-2')),
        ((), ('north',), ('north-1', 'north-2')),
    ],
)
def test_steerer_steps_out_and_ramps_back(objective, lost, drained, emptied):
    steerer, configuration = open_steerer(objective=objective)
    steerer.advance(0, 0)
    live = frozenset(list_zones())
    before = steerer.flows
    for at in range(40, 400):
        if at == 50:
            steerer.replace(live - set(lost), at)
            configuration.drains = tuple(
                drain_of('d', 'region', name, start_s=50, pace=0.05)
                for name in drained
            )
        if at == 200:
            assert not any(
                round(flow.get(zone, 0), 2)
                for flow in steerer.flows.values()
                for zone in emptied
            )
            configuration.drains = ()
            steerer.replace(live, at)
        earlier = steerer.flows
        decision = steerer.advance(at, at)
        assert measure_shift(earlier, steerer.flows) <= 0.2 + 1e-9
        assert (decision is None) == (steerer.flows == earlier)
    moved = measure_shift(before, steerer.flows)
    assert moved == pytest.approx(0, abs=0.02)


@pytest.mark.parametrize(
    ('holders', 'weights'),
    [
        ({}, {'e1': 0.5, 'e2': 0.5}),
        ({'e1': 3, 'e2': 1}, {'e1': 0.75, 'e2': 0.25}),
        ({'e2': 1}, {'e2': 1.0}),
        ({'e3': 1}, {'e3': 1.0}),
        ({'e4': 1}, {'e1': 0.5, 'e2': 0.5}),
    ],
)
def test_team_arrives_where_its_part_sits(holders, weights):
    spread = Spread()
    spread.configure(describe_workload(CLARA, {}))
    zones = ('north-1', 'north-1', 'north-2', 'south-1')
    spread.replace(
        Instance(name=f'e{index}', address='', peer='', availability_zone=zone)
        for index, zone in enumerate(zones, start=1)
    )
    spread.holders = {'team': holders}
    entries = spread.choose('north-1', 'team')
    assert {one.instance: one.weight for one in entries} == weights
