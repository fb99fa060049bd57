import pytest

from currantspur.decisions.spillover import (
    MAX_STARTUP_MEASURE_S,
    STARTUP_MEASURE_S,
    UTILIZATION_LIMIT,
    RegionLoad,
    StartupWorkMeter,
    plan_spill_share,
)


def make_loads(**pairs) -> dict[str, RegionLoad]:
    return {
        region: RegionLoad(demand_slots=need, slots=slots)
        for region, (need, slots) in pairs.items()
    }


@pytest.mark.parametrize(
    ('loads', 'share'),
    [
        # Nothing is measured: as many callers in each region.
        ({}, 0.0),
        ({'n': (0.0, 6.0), 's': (0.0, 18.0)}, 0.5),
        ({'n': (0.0, 18.0), 's': (0.0, 6.0)}, 0.0),
        # Used little enough.
        ({'n': (3.0, 6.0)}, 0.0),
        ({'n': (0.0, 6.0), 's': (9.0, 6.0)}, 0.0),
        ({'n': (9.0, 0.0), 's': (9.0, 0.0)}, 0.0),
        # Short of targets: as much stays as is bearable.
        ({'n': (6.0, 6.0), 's': (2.0, 18.0)}, 1 - UTILIZATION_LIMIT),
        # All are short: all are used alike.
        ({'n': (12.0, 6.0), 's': (12.0, 18.0)}, 0.5),
        ({'n': (9.0, 6.0), 's': (27.0, 18.0)}, 0.0),
        # Nothing can run here.
        ({'n': (2.0, 0.0), 's': (0.0, 18.0)}, 1.0),
    ],
)
def test_the_planned_share(loads, share):
    assert plan_spill_share(make_loads(**loads), 'n') == pytest.approx(share)


@pytest.mark.parametrize('need', [1.0, 5.0, 20.0, 60.0])
def test_no_region_stays_fuller_than_planned(need):
    loads = make_loads(n=(need, 6.0), s=(4.0, 18.0), t=(8.0, 12.0))
    sent = {
        region: plan_spill_share(loads, region) * load.demand_slots
        for region, load in loads.items()
    }
    use = {
        region: (load.demand_slots - sent[region]) / load.slots
        for region, load in loads.items()
    }
    total = sum(load.demand_slots for load in loads.values()) / 36
    assert max(use.values()) <= max(UTILIZATION_LIMIT, total) + 1e-9


@pytest.mark.parametrize(
    ('is_done', 'at', 'measured'),
    [
        (False, [0.0, 0.1, 0.2, 0.3, 0.4], []),
        # Once only, and over the time that passed.
        (
            False,
            [0.0, 0.1, 0.2, 0.3, STARTUP_MEASURE_S, 9.0],
            [1.0 / STARTUP_MEASURE_S],
        ),
        # Few requests tell little.
        (False, [0.0, STARTUP_MEASURE_S], []),
        (
            False,
            [0.0, MAX_STARTUP_MEASURE_S, 9.0],
            [0.4 / MAX_STARTUP_MEASURE_S],
        ),
        (True, [0.0, MAX_STARTUP_MEASURE_S, 9.0], []),
    ],
)
def test_the_first_moments_are_measured_once(is_done, at, measured):
    meter = StartupWorkMeter(is_done=is_done)
    found = [meter.count(0.2, moment) for moment in at]
    assert [one for one in found if one is not None] == measured
