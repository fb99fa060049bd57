"""Decisions on the bytes and connections of clients, without a network."""

import pytest

from currantspur.decisions.byte_budget import (
    MIN_STALL_S,
    SMALL_BYTES,
    ByteBudget,
    size_budget,
)
from currantspur.decisions.connection_limits import (
    ConnectionActivity,
    choose_closed,
    find_close_reason,
)
from currantspur.decisions.work_pacing import WorkPacer
from currantspur.messages.configuration import CallerLimits
from currantspur.settings.machine import bound_memory_mb

LIMIT = 10_000_000
LARGE = 4_000_000
LIMITS = CallerLimits(header_timeout_s=2.0, idle_timeout_s=10.0)


# Bytes held by others, by the client itself, what it asks for.
# Guards against ordinary requests refused beside large bodies, and against a
# single body that is never served.
@pytest.mark.parametrize(
    ('others', 'own', 'size', 'is_granted'),
    [
        ((), 0, LARGE, True),
        ((), 0, 2 * LIMIT, True),
        ((LARGE,), 0, LARGE, False),
        ((LARGE,), 0, 3_000_000, True),
        ((LARGE, LARGE), 0, SMALL_BYTES, True),
        ((LARGE, LARGE), SMALL_BYTES, 1, False),
        ((LIMIT,), 0, 1, False),
    ],
)
def test_budget_grants(others, own, size, is_granted):
    budget = ByteBudget(LIMIT)
    for held in others:
        budget.take(budget.open(0.0), held)
    holder = budget.open(0.0)
    budget.take(holder, own)
    assert budget.may_take(holder, size) is is_granted


# Guards against slow clients that hold the budget, and against closing those
# that make progress or are not awaited.
@pytest.mark.parametrize(
    ('progress_at', 'awaited', 'at', 'expected'),
    [
        ((2, 1, 3), (True, True, True), 9.0, [1]),
        ((2, 1, 3), (True, False, True), 9.0, [0]),
        ((2, 1, 3), (False, False, False), 9.0, []),
        ((2, 1, 3), (True, True, True), 1 + MIN_STALL_S / 2, []),
    ],
)
def test_most_stalled_client_is_closed_first(
    progress_at, awaited, at, expected
):
    budget = ByteBudget(LIMIT)
    holders = [budget.open(each) for each in progress_at]
    for holder, is_awaited in zip(holders, awaited, strict=True):
        holder.is_awaited = is_awaited
        budget.take(holder, 3_000_000)
    stalled = list(budget.list_stalled(0, at))
    assert [holders.index(each) for each in stalled] == expected


def test_closed_holder_returns_its_bytes_once():
    budget = ByteBudget(LIMIT)
    holder = budget.open(0.0)
    budget.take(holder, LARGE)
    budget.close(holder)
    budget.take(holder, -LARGE)
    assert budget.held == 0


def make_activity(since, **changes):
    return ConnectionActivity(
        since=since,
        **{
            'has_begun_head': False,
            'has_request': False,
            'is_awaited': False,
            **changes,
        },
    )


# Guards against clients that are cut although they stay within the limits:
# seconds that pass, and the reason to close.
@pytest.mark.parametrize(
    ('changes', 'waited_s', 'reason'),
    [
        ({'has_begun_head': True}, 2.0, None),
        ({'has_begun_head': True}, 4.0, 'head_late'),
        ({}, 8.0, None),
        ({}, 14.0, 'idle'),
        ({'has_request': True}, 99.0, None),
        ({'has_request': True, 'is_awaited': True}, 8.0, None),
        ({'has_request': True, 'is_awaited': True}, 14.0, 'stalled'),
    ],
)
def test_reason_to_close(changes, waited_s, reason):
    activity = make_activity(100.0, **changes)
    assert find_close_reason(activity, LIMITS, at=100 + waited_s) == reason


@pytest.mark.parametrize(
    ('activities', 'number'),
    [
        ([make_activity(1), make_activity(2, has_begun_head=True)], 1),
        ([make_activity(2), make_activity(1)], 1),
        ([make_activity(1, has_request=True), make_activity(2)], 1),
        ([make_activity(1, has_request=True)], None),
    ],
)
def test_connection_closed_for_a_new_one(activities, number):
    assert choose_closed(enumerate(activities)) == number


def test_costly_clients_wait_for_each_other():
    pacer = WorkPacer()
    delays = [pacer.plan_delay_s(chunks=500, size=0, at=1.0) for _ in range(3)]
    assert delays == sorted(delays)
    assert delays[2] == pytest.approx(3 * delays[0])


@pytest.mark.parametrize(('memory_mb', 'max_fds'), [(152, 1535), (200, 1024)])
def test_budget_of_small_machines(memory_mb, max_fds):
    size = size_budget(memory_mb, max_fds)
    # Bodies of the default limit, 1 MiB, from 32 clients at once.
    assert 32 * 2**20 < size < memory_mb * 500_000


# Guards against a budget that fits the machine of the developer only.
@pytest.mark.parametrize(
    ('machine_bytes', 'memory_mb'),
    [
        (0, 152.0),
        (152_000_000, 152.0),
        (200_000_000, 200.0),
        (32 * 2**30, 300.0),
    ],
)
def test_memory_without_a_setting(machine_bytes, memory_mb):
    assert bound_memory_mb(machine_bytes) == memory_mb
