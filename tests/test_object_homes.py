"""A region short of targets, and many instances that each see few requests.

An object that some of them keep in the region and others send elsewhere is cold
twice.
"""

from random import Random

import pytest

from currantspur.decisions.region_shift import RegionShiftLimiter
from currantspur.decisions.spillover import (
    MAX_MEASURING_INSTANCES,
    MAX_STARTUP_MEASURE_S,
    SpilloverPlanner,
)

OBJECTS = 90
CAP = 0.15


def send_requests(instances, *, requests_per_s, planned_share, prefers=0.2):
    """Yield the time, the object and whether it left the region."""
    random = Random(1)
    limiters = [RegionShiftLimiter(CAP) for _ in range(instances)]
    for limiter in limiters:
        limiter.set_instance_count(instances)
        limiter.planned_share = planned_share
    for number in range(12 * requests_per_s):
        at = number / requests_per_s
        limiter = random.choice(limiters)
        object_number = random.randrange(OBJECTS)
        is_cross_region = limiter.should_cross_region(
            at,
            prefers_cross_region=random.random() < prefers,
            position=object_number / OBJECTS,
        )
        limiter.record_sent(is_cross_region=is_cross_region)
        yield at, object_number, is_cross_region


@pytest.mark.parametrize('planned_share', [0.3, 0.65])
@pytest.mark.parametrize(
    ('instances', 'requests_per_s'), [(26, 330), (65, 110), (150, 330)]
)
def test_instances_agree_on_region_of_object(
    instances, requests_per_s, planned_share
):
    regions = {}
    for _, number, is_cross_region in send_requests(
        instances, requests_per_s=requests_per_s, planned_share=planned_share
    ):
        regions.setdefault(number, set()).add(is_cross_region)
    split = sum(len(found) > 1 for found in regions.values())
    # Only those near the threshold change with what was sent too much.
    assert split <= OBJECTS / 10


@pytest.mark.parametrize('planned_share', [0.3, 0.65])
@pytest.mark.parametrize('instances', [26, 65, 150])
def test_share_holds_in_windows_of_the_region(instances, planned_share):
    sent = list(
        send_requests(
            instances, requests_per_s=220, planned_share=planned_share
        )
    )
    shares = []
    for begin in range(0, 12, 2):
        window = [left for at, _, left in sent if begin <= at < begin + 2]
        shares.append(sum(window) / len(window))
    assert max(shares) - min(shares) <= CAP


@pytest.mark.parametrize(
    ('instances', 'is_measured'),
    [(1, True), (MAX_MEASURING_INSTANCES, True), (65, False)],
)
def test_only_few_instances_plan_from_own_load(instances, is_measured):
    planner = SpilloverPlanner(shift_cap=CAP, region='n')
    planner.set_instance_count(instances)
    times = (0.0, MAX_STARTUP_MEASURE_S)
    loads = [planner.record_request('s', 0.3, at) for at in times]
    assert (loads[-1] is not None) is is_measured


@pytest.mark.parametrize('first_request_at', [0.0, 0.5, 1.5])
def test_instances_begin_with_same_share(first_request_at):
    planner = SpilloverPlanner(shift_cap=CAP, region='n')
    planner.set_instance_count(65)
    slots = {'n': 10.0, 's': 50.0}
    # Heartbeats before the first requests report no load.
    planner.busy_slots_by_region = {'n': {}, 's': {}}
    planner.plan('s', slots)
    before = planner.limiter_for('s').current_share
    # The load of the other region is heard of first, then both.
    for heard_at, busy_slots in ((0.2, {'s': 9.0}), (1.0, {'n': 7, 's': 9.0})):
        if first_request_at < heard_at:
            break
        planner.busy_slots_by_region = {
            region: {'s': busy} for region, busy in busy_slots.items()
        }
        planner.plan('s', slots)
    limiter = planner.limiter_for('s')
    limiter.should_cross_region(
        first_request_at, prefers_cross_region=False, position=0.5
    )
    assert limiter.current_share == before
