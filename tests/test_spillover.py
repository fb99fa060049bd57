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
        region: RegionLoad(busy_slots=busy_slots, slots=slots)
        for region, (busy_slots, slots) in pairs.items()
    }


@pytest.mark.parametrize(
    ('loads', 'share'),
    [
        # No load is measured: callers are evenly spread over regions.
        ({}, 0.0),
        ({'n': (0.0, 6.0), 's': (0.0, 18.0)}, 0.5),
        ({'n': (0.0, 18.0), 's': (0.0, 6.0)}, 0.0),
        # Below the utilization limit.
        ({'n': (3.0, 6.0)}, 0.0),
        ({'n': (0.0, 6.0), 's': (9.0, 6.0)}, 0.0),
        ({'n': (9.0, 0.0), 's': (9.0, 0.0)}, 0.0),
        # Above the limit: the region keeps work up to the limit.
        ({'n': (6.0, 6.0), 's': (2.0, 18.0)}, 1 - UTILIZATION_LIMIT),
        # All regions are above the limit: utilization is equalized.
        ({'n': (12.0, 6.0), 's': (12.0, 18.0)}, 0.5),
        ({'n': (9.0, 6.0), 's': (27.0, 18.0)}, 0.0),
        # The region has no slots.
        ({'n': (2.0, 0.0), 's': (0.0, 18.0)}, 1.0),
    ],
)
def test_region_keeps_work_up_to_limit_or_mean(loads, share):
    assert plan_spill_share(make_loads(**loads), 'n') == pytest.approx(share)


@pytest.mark.parametrize(
    ('own_busy_slots', 'planned_share', 'share'),
    [
        # The region may keep 3 of its 6 slots.
        (6.0, 0.0, 0.5),
        (6.0, 0.6, 0.6),
        # It takes work back below 0.6 of these.
        (6.0, 0.9, 0.7),
        (3.0, 0.3, 0.3),
        (3.0, 0.6, 0.4),
        (1.5, 0.6, 0.0),
        # Nothing was heard from the region itself.
        (0.0, 0.6, 0.6),
    ],
)
def test_plan_ignores_small_changes(own_busy_slots, planned_share, share):
    loads = make_loads(n=(own_busy_slots, 6.0), s=(2.0, 18.0))
    planned = plan_spill_share(loads, 'n', planned_share=planned_share)
    assert planned == pytest.approx(share)


@pytest.mark.parametrize(
    ('other_busy_slots', 'share'), [(18.0, 0.5), (150.0, 0.0)]
)
def test_work_returns_from_busier_region(other_busy_slots, share):
    loads = make_loads(n=(9.0, 6.0), s=(other_busy_slots, 18.0))
    planned = plan_spill_share(loads, 'n', planned_share=0.5)
    assert planned == pytest.approx(share)


@pytest.mark.parametrize('busy_slots', [1.0, 5.0, 20.0, 60.0])
def test_kept_work_is_within_limit_or_mean(busy_slots):
    loads = make_loads(n=(busy_slots, 6.0), s=(4.0, 18.0), t=(8.0, 12.0))
    sent = {
        region: plan_spill_share(loads, region) * load.busy_slots
        for region, load in loads.items()
    }
    utilization = {
        region: (load.busy_slots - sent[region]) / load.slots
        for region, load in loads.items()
    }
    mean_utilization = sum(load.busy_slots for load in loads.values()) / 36
    assert (
        max(utilization.values())
        <= max(UTILIZATION_LIMIT, mean_utilization) + 1e-9
    )


@pytest.mark.parametrize(
    ('is_done', 'request_times', 'measured'),
    [
        (False, [0.0, 0.1, 0.2, 0.3, 0.4], []),
        # Returned once: the work over the time since the first request.
        (
            False,
            [0.0, 0.1, 0.2, 0.3, STARTUP_MEASURE_S, 9.0],
            [1.0 / STARTUP_MEASURE_S],
        ),
        # With few requests the measurement takes longer.
        (False, [0.0, STARTUP_MEASURE_S], []),
        (
            False,
            [0.0, MAX_STARTUP_MEASURE_S, 9.0],
            [0.4 / MAX_STARTUP_MEASURE_S],
        ),
        (True, [0.0, MAX_STARTUP_MEASURE_S, 9.0], []),
    ],
)
def test_startup_load_is_returned_once(is_done, request_times, measured):
    meter = StartupWorkMeter(is_done=is_done)
    # Each request is expected to take 0.2 s of work.
    found = [meter.count(0.2, at) for at in request_times]
    assert [load for load in found if load is not None] == measured
