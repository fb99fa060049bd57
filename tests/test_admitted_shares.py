import asyncio

import pytest

from currantspur.decisions.overload import (
    MAX_WORK_PER_SLOT,
    MIN_SHARE_FACTOR,
    OverloadTable,
    ServiceAdmission,
    share_slots,
)
from currantspur.decisions.ranks import list_ranks, rank_of
from currantspur.messages import (
    Assignment,
    Configuration,
    ConfigurationUpdate,
    FleetView,
    PlacementRequest,
    Team,
    Tick,
    WeightedService,
    make_rank_key,
)
from currantspur.tasks.mailbox import Envelope
from tests.routes import make_route
from tests.test_dispatcher import make_dispatcher

ROUTES = tuple(make_route(f'r{rank}', priority=rank) for rank in (0, 1, 2))
SLOTS = 9.0
ROOM = MAX_WORK_PER_SLOT * SLOTS


# Guards against urgent requests that are refused while less urgent ones get
# slots, against a rank that gets nothing, and against more admitted work than
# the slots can run.
@pytest.mark.parametrize(
    ('busy_slots', 'expected'),
    [
        # Less than the room, and no load at all.
        ({0: 3.0, 1: 3.0}, {0: 1.0, 1: 1.0}),
        ({0: 0.0, 1: 0.0}, {0: 1.0, 1: 1.0}),
        # A burst of the least urgent rank is its own.
        ({0: 3.0, 2: 30.0}, {0: 1.0, 2: (ROOM - 3.0) / 30.0}),
        # An urgent rank that asks for all leaves the others a part.
        (
            {0: 2 * ROOM, 1: ROOM},
            {
                0: 1 - MIN_SHARE_FACTOR / 6 - 0.5,
                1: MIN_SHARE_FACTOR / 3,
            },
        ),
        # The rank at the bound gets what the more urgent one leaves.
        ({0: 6.0, 1: 15.0}, {0: 1.0, 1: (ROOM - 6.0) / 15.0}),
    ],
)
def test_share_of_each_rank(busy_slots, expected):
    shares = share_slots(busy_slots, SLOTS)
    assert shares == pytest.approx(expected)
    admitted = sum(shares[rank] * busy for rank, busy in busy_slots.items())
    assert admitted <= ROOM + 1e-9


@pytest.mark.parametrize('load', [0.5, 0.84, 1.2, 2.0, 5.0, 50.0])
@pytest.mark.parametrize(
    'parts', [(0.2, 0.3, 0.5), (0.0, 0.1, 0.9), (0.9, 0.1, 0.0)]
)
def test_urgent_ranks_are_served_best(load, parts):
    busy_slots = {rank: load * SLOTS * part for rank, part in enumerate(parts)}
    shares = share_slots(busy_slots, SLOTS)
    asked = [shares[rank] for rank, busy in busy_slots.items() if busy]
    assert asked == sorted(asked, reverse=True)
    total = sum(busy_slots.values())
    mean = sum(shares[rank] * busy_slots[rank] for rank in shares) / total
    assert asked[-1] >= MIN_SHARE_FACTOR * mean - 1e-9
    # Nothing is kept back while callers ask for it.
    assert mean * total == pytest.approx(min(total, ROOM))


# A service without slots has none to share, and must not divide by zero:
# placement then refuses, and says that there is no target.
@pytest.mark.parametrize('slots', [0.0, SLOTS])
def test_service_without_slots_admits_all(slots):
    assert share_slots({0: 1.0, 1: 1.0}, slots) == {0: 1.0, 1: 1.0}


# Guards against a service of which nobody gets anything while all its targets
# are cold, as after a restart of all: they take requests at a limited rate.
@pytest.mark.parametrize('rank', [0, 2])
@pytest.mark.parametrize('cold_targets', [1, 2, 3])
async def test_cold_targets_count_as_slots(cold_targets, rank):
    dispatcher = make_ranked_dispatcher()
    states = list(dispatcher.target_states.values())
    for each in states[:cold_targets]:
        each.mark_cold(30.0, dispatcher.clock.now())
    show_demand(dispatcher, {0: 9.0, 2: 9.0})
    admission = dispatcher.placement_state.overload.find('s')
    assert admission.find_share(rank) >= 1


# Guards against shares that hold only on average over many requests.
@pytest.mark.parametrize('share', [0.0, 0.1, 0.34, 0.5, 0.9, 1.0])
def test_requests_are_admitted_evenly(share):
    admission = ServiceAdmission()
    admission.shares = {1: share}
    admitted = 0
    for number in range(1, 201):
        expected = admission.would_admit(1)
        is_admitted = admission.admits(1)
        assert is_admitted is expected
        admitted += is_admitted
        assert abs(admitted - share * number) <= 1


@pytest.mark.parametrize(('team_priority', 'rank'), [(None, 1), (0, 0), (2, 2)])
def test_rank_of_the_team_goes_first(team_priority, rank):
    assert rank_of(ROUTES[1], team_priority) == rank


@pytest.mark.parametrize(
    ('routes', 'teams', 'ranks'),
    [
        ((ROUTES[1],), (), {'s': (1,)}),
        ((ROUTES[1],), (Team(name='a'),), {'s': (1,)}),
        ((ROUTES[1],), (Team(name='a', priority=0),), {'s': (0,)}),
        (
            (ROUTES[1],),
            (Team(name='a', priority=0), Team(name='b')),
            {'s': (0, 1)},
        ),
        (ROUTES, (), {'s': (0, 1, 2)}),
        (
            (
                make_route(
                    'split',
                    priority=3,
                    weighted_services=(
                        WeightedService(service='s', weight=1.0),
                        WeightedService(service='t', weight=0.0),
                    ),
                ),
            ),
            (),
            {'s': (3,)},
        ),
    ],
)
def test_ranks_of_a_service(routes, teams, ranks):
    configuration = Configuration(version=1, routes=routes, teams=teams)
    assert list_ranks(configuration) == ranks


def make_ranked_dispatcher(routes=ROUTES):
    dispatcher = make_dispatcher('n1', 'n1', 'n1')
    dispatcher.handle_message(
        ConfigurationUpdate(
            configuration=Configuration(version=1, routes=routes),
            revision=1,
            read_at=0.0,
        )
    )
    return dispatcher


def show_demand(dispatcher, busy_slots):
    dispatcher.handle_message(
        FleetView(
            live_instances=(),
            fleet_size=1,
            computed_at=dispatcher.clock.now(),
            busy_slots_by_rank={
                make_rank_key('s', rank): busy
                for rank, busy in busy_slots.items()
            },
        )
    )


async def count_admitted(dispatcher, rank, attempt_number=0, count=100):
    admitted = 0
    for number in range(count):
        reply_future = asyncio.get_running_loop().create_future()
        request = PlacementRequest(
            request_id=str(number),
            route=ROUTES[rank],
            service='s',
            deadline=1e6,
            rank=rank,
            attempt_number=attempt_number,
        )
        dispatcher.receive([Envelope(request, reply_future)])
        reply = await reply_future
        if isinstance(reply, Assignment):
            admitted += 1
            state = dispatcher.target_states[reply.target.name]
            state.own_in_flight = 0
        else:
            assert reply.not_run
            assert reply.retry_after_s > 0
    return admitted


# Guards against an instance that admits more of a burst than its part, and
# against refusals that stay once the burst is over.
@pytest.mark.parametrize(
    ('busy_slots', 'admitted'),
    [
        ({0: 1.0, 1: 2.0, 2: 3.0}, (100, 100, 100)),
        ({0: 1.0, 1: 2.0, 2: 150.0}, (100, 100, 10)),
        # A rank that asked for nothing so far begins with the least share.
        ({0: 17.0, 1: 2.0, 2: 0.0}, (100, 50, 37)),
    ],
)
async def test_burst_is_refused_by_rank(busy_slots, admitted):
    dispatcher = make_ranked_dispatcher()
    show_demand(dispatcher, busy_slots)
    found = [await count_admitted(dispatcher, rank) for rank in (0, 1, 2)]
    assert found == pytest.approx(admitted, abs=1)
    show_demand(dispatcher, {0: 1.0, 1: 1.0, 2: 1.0})
    assert await count_admitted(dispatcher, 2) == 100


# A further attempt was admitted already, and a service with one rank has no
# order to keep.
@pytest.mark.parametrize(
    ('routes', 'attempt_number'), [(ROUTES, 1), (ROUTES[2:], 0)]
)
async def test_other_requests_are_not_refused(routes, attempt_number):
    dispatcher = make_ranked_dispatcher(routes)
    dispatcher.retry_budgets.limits.retry_slack = 1e6
    show_demand(dispatcher, {0: 17.0, 1: 2.0, 2: 90.0})
    admitted = await count_admitted(
        dispatcher, 2, attempt_number=attempt_number, count=20
    )
    assert admitted == 20


# Failure: reports of a zone end, as it is cut off, and with them its demand.
async def test_lost_reports_open_the_service_again():
    dispatcher = make_ranked_dispatcher()
    show_demand(dispatcher, {0: 1.0, 2: 90.0})
    assert await count_admitted(dispatcher, 2) < 50
    show_demand(dispatcher, {})
    assert await count_admitted(dispatcher, 2) == 100


# What is refused must stay part of the demand, or the shares would swing.
async def test_refused_requests_count_in_the_demand():
    dispatcher = make_ranked_dispatcher()
    show_demand(dispatcher, {0: 1.0, 2: 90.0})
    await count_admitted(dispatcher, 2)
    dispatcher.clock.at = 1.0
    reply_future = asyncio.get_running_loop().create_future()
    dispatcher.receive([Envelope(Tick(), reply_future)])
    load = await reply_future
    work_s = dispatcher.placement_state.work_times['r2'].mean_work_s
    assert load.busy_slots_by_rank == pytest.approx(
        {make_rank_key('s', 2): 100 * work_s}
    )


@pytest.mark.parametrize(
    ('before', 'after', 'is_logged'),
    [(1.0, 1.0, False), (1.0, 20.0, True), (20.0, 20.5, False)],
)
def test_large_changes_are_told(before, after, is_logged):
    table = OverloadTable()
    ranks, slots = {'s': (0, 1)}, {'s': SLOTS}
    key = make_rank_key('s', 1)
    list(table.update(ranks, {key: before}, slots))
    changed = list(table.update(ranks, {key: after}, slots))
    assert bool(changed) is is_logged
