"""Few requests a second for each of many instances."""

import pytest

from currantspur.decisions.lookup import answer_lookup
from currantspur.decisions.membership_table import MembershipTable
from currantspur.decisions.subsetting import (
    MIN_ZONE_SUBSET,
    REQUESTS_PER_S_PER_INSTANCE,
    SUBSET_PART,
    choose_subset,
    divide_limits,
)
from currantspur.messages import Heartbeat, Instance, LookupQuery, ZoneDigest

ZONES = ('n1', 'n2', 's1')
WIDE_LINK_MBPS, NARROW_LINK_MBPS = 200.0, 20.0
WIDE_PER_ZONE = 3


def make_instance(zone, number):
    is_wide = number < WIDE_PER_ZONE
    return Instance(
        name=f'{zone}-{number}',
        availability_zone=zone,
        region=zone[0],
        address=f'{zone}-{number}:1',
        peer=f'{zone}-{number}:2',
        link_mbps=WIDE_LINK_MBPS if is_wide else NARROW_LINK_MBPS,
    )


def make_zone(zone, size):
    return tuple(make_instance(zone, number) for number in range(size))


def list_others(own, zone_size):
    zone = make_zone(own.availability_zone, zone_size)
    return [each for each in zone if each.name != own.name]


def list_everyone(zone_size):
    return [each for zone in ZONES for each in make_zone(zone, zone_size)]


def make_table(own, requests_per_s, *, zone_size):
    """Return what an instance knows of zones with equal demand."""
    demand = {'t': requests_per_s / zone_size}
    own_heartbeat, *others = (
        Heartbeat(
            instance=instance,
            incarnation=1,
            sequence_number=1,
            requests_per_s_by_team=demand,
        )
        for instance in (own, *list_others(own, zone_size))
    )
    table = MembershipTable(own_heartbeat)
    for heartbeat in others:
        table.record_heartbeat(heartbeat, 0.0)
    for zone in ZONES:
        table.zone_digests.record(
            ZoneDigest(
                availability_zone=zone,
                region=zone[0],
                reporter=f'{zone}-0',
                reporter_peer='',
                incarnation=1,
                sequence_number=1,
                live_instances=make_zone(zone, zone_size),
                counted_instances=zone_size,
                requests_per_s_by_team={'t': requests_per_s},
            ),
            0.0,
        )
    return table


def view_of(own, requests_per_s, *, zone_size=22):
    table = make_table(own, requests_per_s, zone_size=zone_size)
    return table.build_view(0.0)


@pytest.mark.parametrize(
    ('requests_per_s', 'zone_size', 'expected'),
    [
        (0.0, 22, MIN_ZONE_SUBSET),
        (70.0, 22, MIN_ZONE_SUBSET),
        (REQUESTS_PER_S_PER_INSTANCE * 6.5, 22, 7),
        # Busy zones use all that they have.
        (5000.0, 22, 22),
        (0.0, 2, 2),
    ],
)
def test_callers_use_what_their_zone_needs(requests_per_s, zone_size, expected):
    instances = make_zone('n1', zone_size)
    chosen = list(choose_subset(instances, {'n1': requests_per_s}))
    assert len(chosen) == len(set(map(id, chosen))) == expected
    widest = {each.name for each in instances[:WIDE_PER_ZONE]}
    assert widest <= {each.name for each in chosen}


@pytest.mark.parametrize('requests_per_s', [0.0, 70.0, 290.0, 300.0, 5000.0])
def test_all_instances_tell_callers_the_same(requests_per_s):
    query = LookupQuery(region='n', availability_zone='n2')
    answers = set()
    for own in list_everyone(22):
        response = answer_lookup(view_of(own, requests_per_s), query)
        answers.add(frozenset(each.name for each in response.instances))
    assert len(answers) == 1


def test_lost_instance_is_replaced_by_another():
    before = list(choose_subset(make_zone('n1', 22), {}))
    for lost in before:
        remaining = [each for each in make_zone('n1', 22) if each != lost]
        after = list(choose_subset(remaining, {}))
        assert len(after) == len(before)
        assert [each for each in before if each != lost] == [
            each for each in after if each in before
        ]


@pytest.mark.parametrize('requests_per_s', [0.0, 70.0, 290.0, 300.0, 5000.0])
@pytest.mark.parametrize('zone_size', [2, 6, 22, 65])
def test_parts_of_a_limit_add_up_to_it(requests_per_s, zone_size):
    parts = [
        1 / view_of(own, requests_per_s, zone_size=zone_size).limit_divisor
        for own in list_everyone(zone_size)
    ]
    assert sum(parts) >= SUBSET_PART
    assert sum(parts) == pytest.approx(1.0) or sum(parts) < 1


def test_instances_in_use_have_large_limits():
    used, unused = make_instance('n1', 0), make_instance('n1', 21)
    divisors = [view_of(each, 70.0).limit_divisor for each in (used, unused)]
    assert divisors[0] < 15
    assert divisors[1] >= 66


@pytest.mark.parametrize('known', [1, 5, 22])
def test_partly_known_fleet_counts_as_whole(known):
    live = make_zone('n1', known)
    subset = list(choose_subset(live, {}))
    parts = divide_limits(
        live[0].name,
        subset,
        sender_count=round(195 * len(subset) / known),
        fleet_size=195,
    )
    assert parts >= 195 * MIN_ZONE_SUBSET / 22
