"""Choose the sources from which an instance reads tables."""

from collections.abc import Iterable

from currantspur.decisions.affinity import rendezvous_weight
from currantspur.messages import FleetView, Instance

# Stands for the store where the other sources are addresses of peers.
STORE_SOURCE = ''
# In a fleet of up to this size every instance reads the store itself: a call is
# cheap, and a relay would only add a step.
MAX_DIRECT_FLEET_SIZE = 12
RELAYS_PER_REGION = 2
# The number of peers that are asked when the store does not answer.
MAX_PEER_SOURCES = 2


def order_sources(view: FleetView, own: Instance) -> tuple[str, ...]:
    """Return the sources to try in order: peer addresses and STORE_SOURCE.

    A larger fleet reads through a few relays in each region, which read the
    store; all others ask the store only when these relay instances do not
    answer. Peers of any region are used while no instance of the own region,
    this one included, is live.
    """
    in_region = [
        peer for peer in view.live_instances if peer.region == own.region
    ]
    # Relays are the instances with the widest links: sending a configuration to
    # a whole region fills a narrow link for seconds. The sort is stable, so
    # instances with equal links keep the rendezvous order.
    ranked = sorted(_rank(in_region, own.region), key=_link_mbps, reverse=True)
    if len(view.live_instances) <= MAX_DIRECT_FLEET_SIZE or not ranked:
        return STORE_SOURCE, *_list_peers(
            _rank(in_region, own.name) or view.live_instances, own
        )
    relays = ranked[:RELAYS_PER_REGION]
    if own.name in {relay.name for relay in relays}:
        return STORE_SOURCE, *_list_peers(relays, own)
    return *_list_peers(_rank(relays, own.name), own), STORE_SOURCE


def _rank(instances: Iterable[Instance], key: str) -> list[Instance]:
    return sorted(
        instances,
        key=lambda instance: rendezvous_weight(key, instance.name),
        reverse=True,
    )


def _link_mbps(instance: Instance) -> float:
    return instance.link_mbps


def _list_peers(
    instances: Iterable[Instance], own: Instance
) -> tuple[str, ...]:
    peers = [each.peer for each in instances if each.name != own.name]
    return tuple(peers[:MAX_PEER_SOURCES])
