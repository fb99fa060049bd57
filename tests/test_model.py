import pytest

from currantspur.messages import Target
from currantspur.model import POLICIES, Scenario, simulate
from currantspur.model.targets import ModelTarget


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
    ('given', 'done'),
    [
        # A known object takes less; a third waits for a slot.
        (['a'], [1.0]),
        (['a', 'a'], [1.0, 0.3]),
        (['a', 'b', 'c'], [1.0, 1.0, 2.0]),
        # A full queue rejects.
        (list('abcdefghi'), [1.0, 1.0, 2.0, 2.0, 3.0, 3.0, 4.0, 4.0, None]),
    ],
)
def test_slots_queue_and_objects(given, done):
    target = make_target()
    assert [target.submit(0.0, key, 1.0) for key in given] == done


def test_what_is_done_counts_no_more():
    target = make_target()
    target.submit(0.0, 'a', 1.0)
    assert (target.count(0.5), target.count(1.0)) == (1, 0)


@pytest.mark.parametrize('seed', [1, 2, 3])
def test_the_same_seed_gives_the_same_outcome(seed):
    scenario = Scenario(duration_s=5.0, seed=seed)
    kind = POLICIES['placement']
    assert simulate(scenario, kind) == simulate(scenario, kind)


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize('baseline', ['least outstanding', 'own region'])
def test_placement_serves_more_than_a_baseline(baseline, seed):
    scenario = Scenario(seed=seed)
    ours, theirs = (
        sum(one.in_goal for one in simulate(scenario, POLICIES[name]))
        for name in ('placement', baseline)
    )
    assert ours > theirs
