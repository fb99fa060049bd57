from random import Random

import pytest

from currantspur.decisions.region_shift import (
    FAULT_WINDOW_S,
    RegionShiftLimiter,
)

CAP = 0.15


def play(wanted, *, per_s=26, seed=1):
    """Send a load whose wish to leave varies; return when and where to."""
    random, limiter = Random(seed), RegionShiftLimiter(CAP)
    sent = []
    for number in range(20 * per_s):
        at = number / per_s
        prefers_far = random.random() < wanted(at)
        is_far = limiter.should_cross_region(
            at, prefers_cross_region=prefers_far
        )
        limiter.record_sent(is_cross_region=is_far)
        sent.append((at, is_far))
    return sent


def share(sent, begin):
    window = [far for at, far in sent if begin <= at < begin + 2]
    return sum(window) / len(window)


@pytest.mark.parametrize('instances', [2, 11])
@pytest.mark.parametrize(
    'wanted',
    [
        lambda at: 0.0,
        lambda at: 0.05,
        lambda at: 1.0,
        lambda at: float(at > 5),
        lambda at: float(at < 10),
        lambda at: float(4 < at < 6),
        lambda at: float(int(at) % 4 < 2),
    ],
)
def test_all_instances_stay_under_the_cap(wanted, instances):
    sent = []
    for seed in range(instances):
        sent.extend(play(wanted, seed=seed))
    for step in range(64):
        begin = step / 4
        moved = abs(share(sent, begin + 2) - share(sent, begin))
        assert moved <= CAP


def test_a_lasting_wish_is_met_in_time():
    sent = play(lambda at: 1.0)
    assert share(sent, 2) <= 2 * CAP
    assert share(sent, 16) >= 4 * CAP


@pytest.mark.parametrize(
    ('failed_at', 'at', 'may'),
    [(None, 5.0, False), (4.0, 5.0, True), (4.0, 4.0 + FAULT_WINDOW_S, False)],
)
def test_a_region_in_trouble_may_be_left(failed_at, at, may):
    limiter = RegionShiftLimiter(CAP)
    for number in range(20):
        limiter.should_cross_region(
            3.0 + number / 20, prefers_cross_region=False
        )
        limiter.record_sent(is_cross_region=False)
    if failed_at is not None:
        limiter.record_fault(failed_at)
    assert limiter.should_cross_region(at, prefers_cross_region=True) is may


def test_what_left_comes_back_slowly():
    limiter = RegionShiftLimiter(CAP)
    limiter.record_fault(0.0)
    for number in range(30):
        assert limiter.should_cross_region(
            number / 10, prefers_cross_region=True
        )
        limiter.record_sent(is_cross_region=True)
    after = []
    for number in range(50):
        is_far = limiter.should_cross_region(
            4.1 + number / 25, prefers_cross_region=False
        )
        limiter.record_sent(is_cross_region=is_far)
        after.append(is_far)
    assert 1 - sum(after) / len(after) <= CAP


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize(('instances', 'per_s'), [(2, 30), (3, 26)])
@pytest.mark.parametrize(
    'plan',
    [
        lambda at: 0.0,
        lambda at: 0.3,
        lambda at: 0.3 * (at > 5),
        lambda at: 0.6 * (at < 8),
        lambda at: 0.5 * (int(at) % 4 < 2),
    ],
)
def test_objects_leave_under_the_cap(plan, instances, per_s, seed):
    random, sent = Random(seed), []
    limiters = [RegionShiftLimiter(CAP) for _ in range(instances)]
    places = [random.random() for _ in range(100)]
    for number in range(20 * per_s * len(limiters)):
        at = number / per_s / len(limiters)
        limiter = random.choice(limiters)
        limiter.planned_share = plan(at)
        position = random.choice(places)
        is_far = limiter.should_cross_region(
            at, prefers_cross_region=False, position=position
        )
        limiter.record_sent(is_cross_region=is_far)
        sent.append((at, is_far))
    for step in range(64):
        begin = step / 4
        assert abs(share(sent, begin + 2) - share(sent, begin)) <= CAP


def test_the_same_objects_meet_a_planned_share():
    limiter, random, far = RegionShiftLimiter(CAP), Random(1), {}
    limiter.planned_share = 0.4
    for number in range(2000):
        position = random.randrange(50) / 50
        is_far = limiter.should_cross_region(
            number / 50, prefers_cross_region=False, position=position
        )
        limiter.record_sent(is_cross_region=is_far)
        far.setdefault(position, []).append(is_far)
    steady = {place: sum(each) / len(each) for place, each in far.items()}
    assert sum(steady.values()) / len(steady) == pytest.approx(0.4, abs=0.03)
    # Only objects near the border go now here, now there.
    assert not any(one for place, one in steady.items() if 10 * place >= 8)
    first = min(one for place, one in steady.items() if 10 * place < 1)
    assert 10 * first > 8
