import pytest

from currantspur.messages import Assignment, TargetLoad
from currantspur.pipelines.placement import choose_target
from currantspur.wire.targets import parse_load
from tests.test_placement import make_request, make_state


# Guards against a report with the pace of the machine that counts as none: the
# queue, and with it what peers are told of warm objects, would be lost.
@pytest.mark.parametrize(
    ('header', 'parsed'),
    [
        ('3,1,6', (3, 1, 6, 1.0)),
        ('3,1,6,100', (3, 1, 6, 1.0)),
        ('3,1,6,250', (3, 1, 6, 2.5)),
        ('3,1,6,80', (3, 1, 6, 0.8)),
        # No work takes no time at all.
        ('3,1,6,0', (3, 1, 6, 1.0)),
        ('3,1,6,', None),
        ('3,1,6,-5', None),
        ('3,1,6,1e2', None),
        ('3,1,6,100,7', None),
        (f'3,1,6,{"9" * 400}', None),
        ('3,1', None),
        (None, None),
    ],
)
def test_load_report_with_pace(header, parsed):
    load = parse_load(header)
    found = load and (load.running, load.queued, load.slots, load.pace)
    assert found == parsed


# Guards against requests that go to a slowed machine while it is known to be
# slow, and against avoiding it once the report is old.
@pytest.mark.parametrize(
    ('pace', 'age_s', 'chosen'),
    [
        (1.0, 0.0, 't0'),
        (2.5, 0.0, 't1'),
        (2.5, 0.3, 't1'),
        (2.5, 6.0, 't0'),
    ],
)
def test_slowed_machine_is_avoided_for_a_while(pace, age_s, chosen):
    state = make_state('n1', 'n2')
    slowed = state.states_by_service['s'][0]
    slowed.update_load(TargetLoad(running=0, queued=0, slots=3, pace=pace), 1.0)
    request = make_request(object_key=None)
    assert (
        choose_target(request, state, 1.0 + age_s).state.target.name == chosen
    )


# Guards against learning the load of a machine as the work of a route.
@pytest.mark.parametrize(('pace', 'took_s'), [(1.0, 0.4), (2.5, 1.0)])
def test_learned_work_is_that_of_a_usual_machine(pace, took_s):
    state = make_state('n1')
    target_state = state.states_by_service['s'][0]
    request = make_request()
    round_trip_s = state.topology.round_trip_s('n1')
    for number in range(100):
        sent_at = float(number)
        ends_at = sent_at + took_s + round_trip_s
        load = TargetLoad(running=1, queued=0, slots=3, pace=pace)
        target_state.update_load(load, ends_at)
        assignment = Assignment(
            request=request,
            target=target_state.target,
            assigned_at=sent_at,
            expected_s=took_s,
            is_warm=True,
            had_free_slot=True,
        )
        state.record_latency(target_state, assignment, ends_at)
    times = state.work_times_for(request)
    assert times.warm_work_s == pytest.approx(0.4, rel=0.01)
    assert target_state.latency_ratio(100.0) == pytest.approx(1.0, rel=0.05)
