"""Choose whom an instance reads tables from."""

from collections.abc import Iterable

from currantspur.decisions.affinity import rendezvous_weight
from currantspur.messages import FleetView, Instance

STORE = ''
# Up to this many instances each read the store themselves: a call is cheap
# and a relay would only add a step.
MAX_DIRECT_FLEET_SIZE = 12
RELAYS_PER_REGION = 2
# Peers that are asked where the store does not answer.
MAX_PEER_SOURCES = 2


def order_sources(view: FleetView, own: Instance) -> tuple[str, ...]:
    """Return addresses of peers and the store, first choice first."""
    near = [one for one in view.live_instances if one.region == own.region]
    # A configuration that goes to a whole region fills a narrow link for
    # seconds; the sort is stable, so equal links keep the order.
    ranked = sorted(_rank(near, own.region), key=_measure_link, reverse=True)
    if len(view.live_instances) <= MAX_DIRECT_FLEET_SIZE or not ranked:
        return STORE, *_list_peers(
            _rank(near, own.name) or view.live_instances, own
        )
    relays = ranked[:RELAYS_PER_REGION]
    if own.name in {relay.name for relay in relays}:
        return STORE, *_list_peers(relays, own)
    return *_list_peers(_rank(relays, own.name), own), STORE


def _rank(instances: Iterable[Instance], key: str) -> list[Instance]:
    return sorted(
        instances,
        key=lambda one: rendezvous_weight(key, one.name),
        reverse=True,
    )


def _measure_link(instance: Instance) -> float:
    return instance.link_mbps


def _list_peers(
    instances: Iterable[Instance], own: Instance
) -> tuple[str, ...]:
    peers = [one.peer for one in instances if one.name != own.name]
    return tuple(peers[:MAX_PEER_SOURCES])
