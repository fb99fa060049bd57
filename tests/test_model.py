import pytest

from currantspur.messages import Target
from currantspur.model import POLICIES, Scenario, simulate
from currantspur.model.targets import ModelTarget

# Regions share their work so that all have the same utilization: as a share of
# the requests that meet the goal.
MAX_REGION_GAP = 0.1


def make_target() -> ModelTarget:
    return ModelTarget(
        Target(
            name='t',
            service='s',
            address='10.0.0.1:1',
            availability_zone='z',
            slots=2,
        )
    )


@pytest.mark.parametrize(
    ('object_keys', 'finish_times'),
    [
        # A cached object takes less work; a third request waits for a slot.
        (['a'], [1.0]),
        (['a', 'a'], [1.0, 0.3]),
        (['a', 'b', 'c'], [1.0, 1.0, 2.0]),
        # A target with a full queue rejects requests.
        (list('abcdefghi'), [1.0, 1.0, 2.0, 2.0, 3.0, 3.0, 4.0, 4.0, None]),
    ],
)
def test_finish_times_follow_slots_and_cache(object_keys, finish_times):
    target = make_target()
    assert [target.submit(0.0, key, 1.0) for key in object_keys] == finish_times


def test_finished_request_is_not_in_flight():
    target = make_target()
    target.submit(0.0, 'a', 1.0)
    assert (target.count_in_flight(0.5), target.count_in_flight(1.0)) == (1, 0)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_same_seed_gives_same_results(seed):
    scenario = Scenario(duration_s=5.0, seed=seed)
    make_policy = POLICIES['placement']
    assert simulate(scenario, make_policy) == simulate(scenario, make_policy)


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('baseline', ['least outstanding', 'own region'])
def test_placement_meets_goal_more_than_baseline(baseline, seed):
    scenario = Scenario(seed=seed)
    placement_count, baseline_count = (
        sum(result.within_goal for result in simulate(scenario, POLICIES[name]))
        for name in ('placement', baseline)
    )
    assert placement_count > baseline_count


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_short_region_is_served_as_well(seed):
    results = simulate(
        Scenario(requests_per_s=45.0, seed=seed), POLICIES['placement']
    )
    shares = [result.within_goal / result.requests for result in results]
    assert max(shares) - min(shares) <= MAX_REGION_GAP
