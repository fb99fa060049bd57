"""Choose the sources from which an instance reads tables."""

from collections.abc import Iterable

from currantspur.decisions.affinity import rendezvous_weight
from currantspur.decisions.membership_table import MAX_DIRECT_FLEET_SIZE
from currantspur.decisions.zone_digests import rank_by_link
from currantspur.messages import FleetView, Instance

# Stands for the store where the other sources are addresses of peers.
STORE_SOURCE = ''
RELAYS_PER_REGION = 2
RELAYS_PER_ZONE = 2
# The number of peers that are asked when the store does not answer.
MAX_PEER_SOURCES = 2


def has_relays(view: FleetView) -> bool:
    """Tell whether the fleet is so large that instances read through others."""
    reachable = view.reachable_instances or view.live_instances
    return len(reachable) > MAX_DIRECT_FLEET_SIZE


def order_sources(view: FleetView, own: Instance) -> tuple[str, ...]:
    """Return the sources to try in order: peer addresses and STORE_SOURCE.

    In a larger fleet two relays of each region read the store, two relays of
    each zone read from those, and all others from the relays of their zone.
    The store is asked only when these relays do not answer. Peers of any
    region are used while no instance of the own region is reachable.
    """
    reachable = view.reachable_instances or view.live_instances
    in_region = [peer for peer in reachable if peer.region == own.region]
    if not has_relays(view) or not in_region:
        return STORE_SOURCE, *_list_peers(
            _rank(in_region or reachable, own.name), own
        )
    region_relays = _list_region_relays(in_region, own)
    if _contains(region_relays, own):
        return STORE_SOURCE, *_list_peers(region_relays, own)
    relays = _list_relays(in_region, region_relays, own)
    sources = _list_peers(_rank(relays, own.name), own)
    others = _list_peers(_rank(region_relays, own.name), own)
    return *dict.fromkeys((*sources, *others)), STORE_SOURCE


def count_relays(view: FleetView, own: Instance) -> int:
    """Return the number of relays between an instance and the store."""
    reachable = view.reachable_instances or view.live_instances
    in_region = [peer for peer in reachable if peer.region == own.region]
    if not has_relays(view) or not in_region:
        return 0
    region_relays = _list_region_relays(in_region, own)
    if _contains(region_relays, own):
        return 0
    relays = _list_relays(in_region, region_relays, own)
    return 1 if _contains(region_relays, relays[0]) else 2


def _list_region_relays(
    in_region: list[Instance], own: Instance
) -> list[Instance]:
    return rank_by_link(in_region, own.region)[:RELAYS_PER_REGION]


def _list_relays(
    in_region: list[Instance], region_relays: list[Instance], own: Instance
) -> list[Instance]:
    """Return the relays from which an instance reads that is none itself."""
    relays = _list_zone_relays(in_region, region_relays, own)
    return region_relays if _contains(relays, own) else relays


def _list_zone_relays(
    in_region: list[Instance], region_relays: list[Instance], own: Instance
) -> list[Instance]:
    """Return the relays of the own zone, those of the region if any is in it.

    Traffic between zones is paid for, so that only relays read across them.
    """
    zone = own.availability_zone
    local_region_relays = [
        relay for relay in region_relays if relay.availability_zone == zone
    ]
    if local_region_relays:
        return local_region_relays
    in_zone = [peer for peer in in_region if peer.availability_zone == zone]
    return rank_by_link(in_zone, zone)[:RELAYS_PER_ZONE]


def _contains(instances: Iterable[Instance], own: Instance) -> bool:
    return own.name in {instance.name for instance in instances}


def _rank(instances: Iterable[Instance], key: str) -> list[Instance]:
    return sorted(
        instances,
        key=lambda instance: rendezvous_weight(key, instance.name),
        reverse=True,
    )


def _list_peers(
    instances: Iterable[Instance], own: Instance
) -> tuple[str, ...]:
    peers = [each.peer for each in instances if each.name != own.name]
    return tuple(peers[:MAX_PEER_SOURCES])
