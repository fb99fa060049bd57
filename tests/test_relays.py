from collections import Counter

import pytest

from currantspur.decisions.relays import choose_relays, order_relays
from currantspur.messages import Instance

MOST_ANSWERED = 3


def list_zone(count):
    return [
        Instance(
            name=f'entry-{number}',
            address='',
            peer='',
            availability_zone='zone',
        )
        for number in range(count)
    ]


@pytest.mark.parametrize(
    ('size', 'relays'),
    [
        (1, 1),
        (2, 2),
        (8, 2),
        (9, 3),
        (38, 10),
    ],
)
def test_relays_grow_with_the_zone(size, relays):
    assert len(choose_relays(list_zone(size), 'zone')) == relays


def first_relay(members, asker):
    return order_relays(members, 'zone', asker)[0].name


@pytest.mark.parametrize('size', [12, 38, 60])
def test_askers_spread_over_relays(size):
    members = list_zone(size)
    relays = choose_relays(members, 'zone')
    askers = [one.name for one in members if one not in relays]
    asked = Counter(first_relay(members, asker) for asker in askers)
    assert max(asked.values()) <= MOST_ANSWERED
