import pytest

from currantspur.decisions.retries import RetryBudget, may_retry

RATIO, SLACK, WINDOW_S = 0.2, 56.0, 10.0


@pytest.mark.parametrize('size', [1, 2, 8, 20])
@pytest.mark.parametrize('per_s', [0, 10, 200])
def test_all_instances_together_keep_the_bound(size, per_s):
    budgets = [
        RetryBudget(
            ratio=RATIO, slack=SLACK, window_s=WINDOW_S, fleet_size=size
        )
        for _ in range(size)
    ]
    sent, earned = [], []
    for step in range(200):
        at = step / 10
        for budget in budgets:
            earned.extend(earn(budget, per_s / size, at))
            sent.extend(spend_all(budget, at))
    for end in range(10, 21):
        requests = sum(end - WINDOW_S <= at < end for at in earned)
        repeats = sum(end - WINDOW_S <= at < end for at in sent)
        assert repeats <= RATIO * requests + SLACK


def earn(budget, per_s, at):
    for _ in range(round(per_s * (at + 0.1)) - round(per_s * at)):
        budget.record_request()
        yield at


def spend_all(budget, at):
    while budget.try_consume(at):
        yield at


@pytest.mark.parametrize(
    ('is_idempotent', 'was_sent', 'tries_left', 'left_s', 'may'),
    [
        (True, True, 1, 0.5, True),
        (True, False, 1, 0.5, True),
        (False, False, 1, 0.5, True),
        (False, True, 1, 0.5, False),
        (True, True, 0, 0.5, False),
        (True, True, 1, 0.0, False),
    ],
)
def test_may_send_again(is_idempotent, was_sent, tries_left, left_s, may):
    assert may is may_retry(
        is_idempotent=is_idempotent,
        was_sent=was_sent,
        attempts_left=tries_left,
        left_s=left_s,
    )
