from random import Random

import pytest

from currantspur.decisions.region_shift import (
    FAULT_WINDOW_S,
    RegionShiftLimiter,
)

CAP = 0.15


def send_requests(preferred_share_at, *, per_s=26, seed=1):
    """Send requests of which a varying share prefers another region.

    Return the time of each and whether it was sent to another region.
    """
    random, limiter = Random(seed), RegionShiftLimiter(CAP)
    sent = []
    for number in range(20 * per_s):
        at = number / per_s
        prefers_cross_region = random.random() < preferred_share_at(at)
        is_cross_region = limiter.should_cross_region(
            at, prefers_cross_region=prefers_cross_region
        )
        limiter.record_sent(is_cross_region=is_cross_region)
        sent.append((at, is_cross_region))
    return sent


def cross_region_share_in_window(sent, begin):
    """Return the cross-region share of requests in one WINDOW_S of 2 s."""
    window = [is_cross for at, is_cross in sent if begin <= at < begin + 2]
    return sum(window) / len(window)


@pytest.mark.parametrize('instances', [2, 11])
@pytest.mark.parametrize(
    'preferred_share_at',
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
def test_share_of_all_instances_moves_within_cap(preferred_share_at, instances):
    sent = []
    for seed in range(instances):
        sent.extend(send_requests(preferred_share_at, seed=seed))
    for step in range(64):
        begin = step / 4
        moved = abs(
            cross_region_share_in_window(sent, begin + 2)
            - cross_region_share_in_window(sent, begin)
        )
        assert moved <= CAP


def test_lasting_preference_is_followed_slowly():
    sent = send_requests(lambda at: 1.0)
    assert cross_region_share_in_window(sent, 2) <= 2 * CAP
    assert cross_region_share_in_window(sent, 16) >= 4 * CAP


@pytest.mark.parametrize(
    ('failed_at', 'at', 'may_leave'),
    [(None, 5.0, False), (4.0, 5.0, True), (4.0, 4.0 + FAULT_WINDOW_S, False)],
)
def test_request_may_leave_only_in_fault_window(failed_at, at, may_leave):
    limiter = RegionShiftLimiter(CAP)
    for number in range(20):
        limiter.should_cross_region(
            3.0 + number / 20, prefers_cross_region=False
        )
        limiter.record_sent(is_cross_region=False)
    if failed_at is not None:
        limiter.record_fault(failed_at)
    assert (
        limiter.should_cross_region(at, prefers_cross_region=True) is may_leave
    )


def test_share_returns_within_cap_after_fault():
    limiter = RegionShiftLimiter(CAP)
    limiter.record_fault(0.0)
    for number in range(30):
        assert limiter.should_cross_region(
            number / 10, prefers_cross_region=True
        )
        limiter.record_sent(is_cross_region=True)
    after = []
    for number in range(50):
        is_cross_region = limiter.should_cross_region(
            4.1 + number / 25, prefers_cross_region=False
        )
        limiter.record_sent(is_cross_region=is_cross_region)
        after.append(is_cross_region)
    assert 1 - sum(after) / len(after) <= CAP


@pytest.mark.parametrize('seed', [1, 2, 3])
@pytest.mark.parametrize(('instances', 'per_s'), [(2, 30), (3, 26)])
@pytest.mark.parametrize(
    'planned_share_at',
    [
        lambda at: 0.0,
        lambda at: 0.3,
        lambda at: 0.3 * (at > 5),
        lambda at: 0.6 * (at < 8),
        lambda at: 0.5 * (int(at) % 4 < 2),
    ],
)
def test_share_with_objects_changes_within_cap(
    planned_share_at, instances, per_s, seed
):
    random, sent = Random(seed), []
    limiters = [RegionShiftLimiter(CAP) for _ in range(instances)]
    positions = [random.random() for _ in range(100)]
    for number in range(20 * per_s * len(limiters)):
        at = number / per_s / len(limiters)
        limiter = random.choice(limiters)
        limiter.planned_share = planned_share_at(at)
        position = random.choice(positions)
        is_cross_region = limiter.should_cross_region(
            at, prefers_cross_region=False, position=position
        )
        limiter.record_sent(is_cross_region=is_cross_region)
        sent.append((at, is_cross_region))
    for step in range(64):
        begin = step / 4
        assert (
            abs(
                cross_region_share_in_window(sent, begin + 2)
                - cross_region_share_in_window(sent, begin)
            )
            <= CAP
        )


def test_planned_share_is_met_by_the_same_objects():
    limiter, random, sent_across = RegionShiftLimiter(CAP), Random(1), {}
    limiter.planned_share = 0.4
    for number in range(2000):
        position = random.randrange(50) / 50
        is_cross_region = limiter.should_cross_region(
            number / 50, prefers_cross_region=False, position=position
        )
        limiter.record_sent(is_cross_region=is_cross_region)
        sent_across.setdefault(position, []).append(is_cross_region)
    shares = {
        position: sum(each) / len(each)
        for position, each in sent_across.items()
    }
    assert sum(shares.values()) / len(shares) == pytest.approx(0.4, abs=0.03)
    # Only objects near the threshold, position 0.4, alternate between regions:
    # those below 0.1 nearly always go elsewhere, those from 0.8 never.
    assert not any(
        each for position, each in shares.items() if 10 * position >= 8
    )
    first = min(each for position, each in shares.items() if 10 * position < 1)
    assert 10 * first > 8
