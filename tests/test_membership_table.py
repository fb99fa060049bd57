import pytest

from currantspur.decisions.lookup import answer_lookup
from currantspur.decisions.membership_table import (
    CROSS_REGION_HEARTBEAT_TIMEOUT_S,
    DEFAULT_FLEET_SIZE,
    FORGET_AFTER_S,
    HEARTBEAT_TIMEOUT_S,
    STARTUP_WINDOW_S,
    MembershipTable,
)
from currantspur.messages import FleetView, Heartbeat, Instance, LookupQuery


def make_instance(name: str, zone: str = 'n1', region: str = 'n') -> Instance:
    return Instance(
        name=name,
        availability_zone=zone,
        region=region,
        address=f'{name}:1',
        peer=f'{name}:2',
    )


def make_heartbeat(
    name: str, number: int, incarnation: int = 1, **more
) -> Heartbeat:
    return Heartbeat(
        instance=make_instance(name),
        incarnation=incarnation,
        sequence_number=number,
        **more,
    )


OWN = make_heartbeat('own', 0)
FAR = Heartbeat(
    instance=make_instance('f', 's1', 's'), incarnation=1, sequence_number=1
)


@pytest.mark.parametrize(
    ('heartbeats', 'at', 'live', 'size'),
    [
        ([], 0, {'own'}, 1),
        ([(0, make_heartbeat('b', 1))], HEARTBEAT_TIMEOUT_S, {'own', 'b'}, 2),
        # Silent: no callers any more, but its part of the limits stays.
        ([(0, make_heartbeat('b', 1))], HEARTBEAT_TIMEOUT_S + 0.1, {'own'}, 2),
        ([(0, make_heartbeat('b', 1))], FORGET_AFTER_S + 0.1, {'own'}, 1),
        ([(0, make_heartbeat('b', 1, is_leaving=True))], 1, {'own'}, 2),
        ([(0, make_heartbeat('b', 1, is_leaving=True))], 4, {'own'}, 1),
        # Other regions send less often.
        ([(0, FAR)], CROSS_REGION_HEARTBEAT_TIMEOUT_S, {'own', 'f'}, 2),
        ([(0, FAR)], CROSS_REGION_HEARTBEAT_TIMEOUT_S + 0.1, {'own'}, 2),
        # A heartbeat that comes late changes nothing.
        (
            [
                (0, make_heartbeat('b', 2, is_leaving=True)),
                (1, make_heartbeat('b', 1)),
            ],
            1,
            {'own'},
            2,
        ),
        # A new life begins to count anew.
        (
            [
                (0, make_heartbeat('b', 9, is_leaving=True)),
                (1, make_heartbeat('b', 1, incarnation=2)),
            ],
            1,
            {'own', 'b'},
            2,
        ),
        # The last heartbeat of the life before comes after the new one.
        (
            [
                (0, make_heartbeat('b', 8)),
                (1, make_heartbeat('b', 1, incarnation=2)),
                (1, make_heartbeat('b', 9, is_leaving=True)),
            ],
            1,
            {'own', 'b'},
            2,
        ),
        ([(0, make_heartbeat('own', 7))], 1, {'own'}, 1),
        # It lives, and has its part of the limits, but takes no callers yet.
        ([(0, make_heartbeat('b', 1, is_ready=False))], 1, {'own'}, 2),
    ],
)
def test_who_lives(heartbeats, at, live, size):
    table = MembershipTable(make_heartbeat('own', 0))
    for heard_at, heartbeat in heartbeats:
        table.record_heartbeat(heartbeat, heard_at)
    view = table.build_view(at)
    assert {one.name for one in view.live_instances} == live
    assert view.fleet_size == size


@pytest.mark.parametrize(
    ('listed', 'at', 'size'),
    [
        # A fleet that starts together: nobody was heard from yet.
        (None, 0.1, DEFAULT_FLEET_SIZE),
        (10, 0.1, 10),
        (1, 0.1, 2),
        # Later those count that were heard from: entries may be stale.
        (10, STARTUP_WINDOW_S, 2),
        (None, STARTUP_WINDOW_S, 2),
    ],
)
def test_the_size_of_a_fleet_that_starts(listed, at, size):
    table = MembershipTable(make_heartbeat('own', 0), began_at=0.0)
    table.record_heartbeat(make_heartbeat('b', 1), 0.0)
    table.listed_count = listed
    assert table.build_view(at).fleet_size == size


def test_a_leaving_instance_names_itself_no_more():
    table = MembershipTable(make_heartbeat('own', 0, is_leaving=True))
    table.record_heartbeat(make_heartbeat('b', 1), 0)
    assert [one.name for one in table.build_view(0).live_instances] == ['b']


def test_heartbeats_go_to_all_known_but_oneself():
    table = MembershipTable(make_heartbeat('own', 0))
    table.record_heartbeat(make_heartbeat('b', 1), 0)
    known = [make_instance('own'), make_instance('c'), make_instance('b')]
    names = sorted(peer.name for peer in table.list_peers(known))
    assert names == ['b', 'c']


@pytest.mark.parametrize(
    ('heartbeats', 'at', 'work'),
    [
        ([], 0, {'n': {'s': 1.0}}),
        (
            [make_heartbeat('b', 1, busy_slots_by_service={'s': 2.0})],
            1,
            {'n': {'s': 3.0}},
        ),
        (
            [make_heartbeat('b', 1, busy_slots_by_service={'t': 2.0})],
            1,
            {'n': {'s': 1, 't': 2}},
        ),
        # The callers of one that fell silent ask others now.
        (
            [make_heartbeat('b', 1, busy_slots_by_service={'s': 2.0})],
            9,
            {'n': {'s': 1.0}},
        ),
    ],
)
def test_work_is_summed_by_region(heartbeats, at, work):
    table = MembershipTable(
        make_heartbeat('own', 0, busy_slots_by_service={'s': 1.0})
    )
    for heartbeat in heartbeats:
        table.record_heartbeat(heartbeat, 0)
    assert table.build_view(at).busy_slots_by_region == work


LIVE = (
    make_instance('a', 'n1', 'n'),
    make_instance('b', 'n1', 'n'),
    make_instance('c', 'n2', 'n'),
    make_instance('d', 's1', 's'),
)


@pytest.mark.parametrize(
    ('live', 'zone', 'region', 'named'),
    [
        (LIVE, 'n1', 'n', ['a', 'b']),
        (LIVE, 'n2', 'n', ['c']),
        (LIVE, 'n3', 'n', ['a', 'b', 'c']),
        (LIVE, 's2', 's', ['d']),
        (LIVE, 'x1', 'x', ['a', 'b', 'c', 'd']),
        (LIVE[2:], 'n1', 'n', ['c']),
        ((), 'n1', 'n', []),
    ],
)
def test_the_nearest_are_named(live, zone, region, named):
    view = FleetView(
        live_instances=live,
        fleet_size=4,
        requests_per_s_by_instance={},
        computed_at=0.0,
    )
    query = LookupQuery(region=region, availability_zone=zone)
    answer = answer_lookup(view, query)
    assert [entry.name for entry in answer.instances] == named
