"""Choose which instances get the heartbeats and digests of an instance.

A small fleet exchanges all heartbeats. In a larger one they stay in the
availability zone; two reporters of each zone send its digest to those of the
other zones, which pass it on. The cost of traffic between zones then grows
with the number of zones, not with pairs of instances.
"""

from collections.abc import Iterable, Iterator

from currantspur.decisions.membership_table import (
    MAX_DIRECT_FLEET_SIZE,
    MembershipTable,
)
from currantspur.decisions.zone_digests import list_reporters, pair_reporters
from currantspur.decisions.zone_summary import list_zone_instances
from currantspur.messages import Instance

# An instance that has just started has not heard from its whole zone yet, and
# would report only a part of it: two heartbeat intervals.
REPORT_AFTER_S = 1.6


def is_small_fleet(table: MembershipTable) -> bool:
    """Tell whether all instances exchange their heartbeats."""
    return _is_small(table.list_peers())


def list_heartbeat_recipients(
    table: MembershipTable, *, to_all_regions: bool
) -> Iterator[Instance]:
    """Yield the instances to which a heartbeat goes."""
    peers = table.list_peers()
    is_small = _is_small(peers)
    for peer in peers:
        if to_all_regions or not table.is_cross_region(peer):
            is_in_zone = peer.availability_zone == table.own_zone
            if is_small or is_in_zone or _needs_heartbeats(table, peer):
                yield peer


def list_zone_peers(table: MembershipTable) -> Iterator[Instance]:
    """Yield the other instances of the own zone."""
    for peer in table.list_peers():
        if peer.availability_zone == table.own_zone:
            yield peer


def list_digest_recipients(
    table: MembershipTable, at: float, *, to_all_regions: bool
) -> Iterator[Instance]:
    """Yield the instances to which this one sends the digest of its zone.

    There are none in a small fleet, and none if this is no reporter.
    """
    peers = table.list_peers()
    if _is_small(peers) or at - table.started_at < REPORT_AFTER_S:
        return
    reporters = list_reporters(list_zone_instances(table, at), table.own_zone)
    own = table.own_heartbeat.instance
    if own.name not in {reporter.name for reporter in reporters}:
        return
    for zone, candidates in _group_by_zone(table, peers).items():
        remote = list_reporters(candidates, zone)
        for peer in pair_reporters(own.name, reporters, remote):
            if to_all_regions or not table.is_cross_region(peer):
                yield peer


def _group_by_zone(
    table: MembershipTable, peers: Iterable[Instance]
) -> dict[str, list[Instance]]:
    """Return the instances of each other zone: the live ones, if known."""
    by_zone: dict[str, list[Instance]] = {}
    for peer in peers:
        if peer.availability_zone != table.own_zone:
            by_zone.setdefault(peer.availability_zone, []).append(peer)
    for zone in by_zone:
        digest = table.zone_digests.find(zone)
        if digest is not None and digest.live_instances:
            by_zone[zone] = list(digest.live_instances)
    return by_zone


def _is_small(peers: list[Instance]) -> bool:
    return len(peers) < MAX_DIRECT_FLEET_SIZE


def _needs_heartbeats(table: MembershipTable, peer: Instance) -> bool:
    record = table.heartbeat_records.get(peer.name)
    return record is not None and not record.heartbeat.reads_digests
