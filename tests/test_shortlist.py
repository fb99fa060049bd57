"""A service of hundreds of targets, and many targets that join it at once."""

from collections import Counter

import pytest

from currantspur.decisions.shortlist import (
    MIN_SERVICE_SIZE,
    OTHER_REGION_TARGETS,
    OWN_REGION_TARGETS,
    SAMPLED_TARGETS,
    WARMUP_INSTANCES,
)
from currantspur.decisions.target_state import TargetState
from currantspur.decisions.topology import Topology
from currantspur.messages import PlacementRequest, Target
from currantspur.pipelines import PlacementState, choose_target
from currantspur.pipelines.placement import (
    expect_room_s,
    find_cheapest,
    list_candidates,
)
from tests.routes import make_route

REGIONS = {'n1': 'n', 'n2': 'n', 's1': 's'}
ZONES = ('n1', 'n2', 's1')
ROUTE = make_route()


def make_targets(count, *, zones=ZONES, has_joined=False):
    return [
        TargetState(
            Target(
                name=f'{"new" if has_joined else "t"}{number}',
                service='s',
                address=f'10.0.0.1:{number}',
                availability_zone=zones[number % len(zones)],
                slots=3,
            ),
            0.0,
            has_joined=has_joined,
        )
        for number in range(count)
    ]


def resize(state):
    state.target.slots += 1
    return [state]


def make_state(targets, *, instance='i', instance_count=1):
    topology = Topology(availability_zone='n1', region_by_zone=REGIONS)
    state = PlacementState(topology, shift_cap=0.15, instance_name=instance)
    state.spillover.set_instance_count(instance_count)
    state.set_targets({'s': targets})
    return state


def make_request(object_key):
    return PlacementRequest(
        request_id='x',
        route=ROUTE,
        service='s',
        deadline=9.0,
        object_key=object_key,
    )


def find_shortlist(state, object_key='17'):
    return state.shortlists.find('s', object_key, 1.0)


@pytest.mark.parametrize(
    ('service_size', 'compared'),
    [
        (3, 3),
        (MIN_SERVICE_SIZE - 1, MIN_SERVICE_SIZE - 1),
        (90, OWN_REGION_TARGETS + OTHER_REGION_TARGETS),
        (1000, OWN_REGION_TARGETS + OTHER_REGION_TARGETS),
    ],
)
def test_comparison_does_not_grow_with_service(service_size, compared):
    state = make_state(make_targets(service_size))
    assert len(find_shortlist(state)) == compared


@pytest.mark.parametrize('object_key', [str(number) for number in range(12)])
def test_shortlist_has_the_cheapest_target_of_all(object_key):
    targets = make_targets(300)
    state = make_state(targets)
    request = make_request(object_key)
    best = find_cheapest(list_candidates(targets, request, state, 1.0))
    assert choose_target(request, state, 1.0).state is best.state


def test_full_shortlist_leads_to_other_targets():
    targets = make_targets(300, zones=('n1',))
    state = make_state(targets)
    for target in find_shortlist(state):
        target.own_in_flight = 12
    chosen = choose_target(make_request('17'), state, 1.0)
    assert chosen.state not in find_shortlist(state)


def test_room_is_found_beyond_the_shortlist():
    targets = make_targets(300, zones=('n1', 'n2'))
    state = make_state(targets)
    for each in find_shortlist(state):
        each.target.is_draining = True
    assert expect_room_s(make_request('17'), state, 1.0) == pytest.approx(0.0)


@pytest.mark.parametrize(
    ('change', 'is_kept'),
    [
        (lambda targets: targets, True),
        (lambda targets: targets[1:], False),
        (lambda targets: [*targets, *make_targets(1, has_joined=True)], False),
        (lambda targets: targets[:-1] + resize(targets[-1]), False),
    ],
)
def test_shortlist_is_kept_until_targets_change(change, is_kept):
    targets = make_targets(300)
    state = make_state(targets)
    before = find_shortlist(state)
    state.set_targets({'s': change(targets)})
    kept = state.shortlists.by_service['s'].by_object.get('17')
    assert (kept is before) is is_kept


@pytest.mark.parametrize('instance_count', [1, 8, 77, 195])
def test_joined_targets_get_few_first_requests(instance_count):
    joined = make_targets(41, zones=('n1',), has_joined=True)
    warmups = Counter()
    for number in range(instance_count):
        targets = make_targets(100, zones=('n1',))
        for target in targets:
            target.record_success(0.0, 'another')
        state = make_state(
            [*targets, *joined],
            instance=f'i{number}',
            instance_count=instance_count,
        )
        for target in joined:
            if state.shortlists.sends_warmups(target, instance_count):
                warmups[target.target.name] += 1
    counts = [warmups[target.target.name] for target in joined]
    # Each gets some, and no more than a fleet of this size would send.
    assert min(counts) >= 1
    assert sum(counts) / len(counts) <= 1.2 * min(
        WARMUP_INSTANCES, instance_count
    )


@pytest.mark.parametrize('instance_count', [1, 3, 5])
def test_any_instance_of_small_region_warms_up(instance_count):
    for number in range(20):
        warm, joined = (
            *make_targets(1, zones=('n1',)),
            *make_targets(1, zones=('n1',), has_joined=True),
        )
        warm.record_success(0.0, '17')
        joined.target.name = 'joined'
        state = make_state(
            [warm, joined],
            instance=f'i{number}',
            instance_count=instance_count,
        )
        chosen = choose_target(make_request('17'), state, 1.0)
        assert chosen.state.target.name == 'joined'


# Guards against a refusal while targets of the own region beyond the shortlist
# have room: the shortlist then prefers another region, which is not allowed.
@pytest.mark.parametrize('object_key', ['17', '18', None])
def test_room_in_own_region_is_found(object_key):
    targets = make_targets(300)
    state = make_state(targets)
    for each in state.shortlists.find('s', object_key, 1.0):
        if not state.topology.is_cross_region(each.target.availability_zone):
            each.own_in_flight = 12
    targets[0].own_in_flight = 0
    chosen = choose_target(make_request(object_key), state, 1.0).state
    assert not state.topology.is_cross_region(chosen.target.availability_zone)


# Guards against a cost that grows with the service: requests without an object
# compare some targets of each distance, not always the same ones.
@pytest.mark.parametrize('service_size', [48, 300, 1000])
def test_requests_without_object_compare_few(service_size):
    targets = make_targets(service_size)
    state = make_state(targets)
    compared = Counter()
    for number in range(400):
        found = state.shortlists.find('s', None, number / 100)
        assert found == state.shortlists.find('s', None, number / 100)
        assert len(found) == len(set(found)) == 3 * SAMPLED_TARGETS
        compared.update(each.target.availability_zone for each in found)
        compared.update(each.target.name for each in found)
        request = make_request(None)
        chosen = choose_target(request, state, number / 100).state
        assert chosen.target.availability_zone == 'n1'
    assert {compared[zone] for zone in ZONES} == {400 * SAMPLED_TARGETS}
    mean = 400 * 3 * SAMPLED_TARGETS / service_size
    for each in targets:
        assert 0.3 * mean <= compared[each.target.name] <= 3 * mean
