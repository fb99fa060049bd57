"""Choose the relays of an availability zone by rendezvous hashing."""

from collections.abc import Iterable

import xxhash

from currantspur.messages import Instance

RELAYS_PER_ZONE = 2


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
    instances: Iterable[Instance],
    availability_zone: str,
    *,
    count: int = RELAYS_PER_ZONE,
) -> list[Instance]:
    """Return the live instances of a zone that ask the store for all."""
    live = [
        one
        for one in instances
        if one.availability_zone == availability_zone and one.state == 'live'
    ]
    return rank_instances(live, 'relay')[:count]


def is_relay(
    name: str, instances: Iterable[Instance], availability_zone: str
) -> bool:
    """Tell whether an instance relays, or knows of nobody who does."""
    relays = choose_relays(instances, availability_zone)
    return not relays or any(relay.name == name for relay in relays)
