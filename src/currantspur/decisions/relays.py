"""Choose the relays of an availability zone by rendezvous hashing."""

from collections.abc import Iterable

import xxhash

from currantspur.messages import Instance

FEWEST_RELAYS = 2
# Each relay answers about this many others, whatever the zone's size.
MEMBERS_PER_RELAY = 4


def rank_instances(
    instances: Iterable[Instance], purpose: str
) -> list[Instance]:
    """Order instances by their hash with a purpose; the first is chosen."""
    return sorted(
        instances,
        key=lambda one: xxhash.xxh3_64_intdigest(
            f'{purpose}/{one.name}'.encode()
        ),
    )


def choose_relays(
    instances: Iterable[Instance], availability_zone: str
) -> list[Instance]:
    """Return the live instances of a zone that ask the store for all."""
    live = [
        one
        for one in instances
        if one.availability_zone == availability_zone and one.state == 'live'
    ]
    count = max(FEWEST_RELAYS, -(-len(live) // MEMBERS_PER_RELAY))
    return rank_instances(live, 'relay')[:count]


def order_relays(
    instances: Iterable[Instance], availability_zone: str, asker: str
) -> list[Instance]:
    """Return the relays of a zone in the order in which one asks them.

    Askers take relays in turn, so that no relay answers many more than others.
    """
    members = list(instances)
    relays = choose_relays(members, availability_zone)
    relaying = {relay.name for relay in relays}
    askers = sorted(
        one.name
        for one in members
        if one.availability_zone == availability_zone
        and one.name not in relaying
    )
    turn = askers.index(asker) % len(relays) if asker in askers else 0
    return relays[turn:] + relays[:turn]


def is_relay(
    name: str, instances: Iterable[Instance], availability_zone: str
) -> bool:
    """Tell whether an instance relays, or knows of nobody who does."""
    relays = choose_relays(instances, availability_zone)
    return not relays or any(relay.name == name for relay in relays)
