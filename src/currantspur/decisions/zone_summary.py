"""Sum up the state of the own availability zone for other zones."""

from collections.abc import Iterable, Iterator, Mapping

from currantspur.decisions.fleet_sums import sum_by_key
from currantspur.decisions.membership_table import MembershipTable
from currantspur.messages import Heartbeat, Instance, ZoneDigest


def build_digest(
    table: MembershipTable, at: float, *, sequence_number: int
) -> ZoneDigest:
    """Return the digest of the own zone."""
    own = table.own_heartbeat
    counted = list(_within_zone(table.counted_heartbeats(at), table.own_zone))
    current = list(_within_zone(table.current_heartbeats(at), table.own_zone))
    return ZoneDigest(
        availability_zone=table.own_zone,
        region=own.instance.region,
        reporter=own.instance.name,
        reporter_peer=own.instance.peer,
        incarnation=own.incarnation,
        sequence_number=sequence_number,
        live_instances=tuple(
            instance
            for instance in table.live_instances(at)
            if instance.availability_zone == table.own_zone
        ),
        counted_instances=len(counted),
        requests_per_s_by_team=sum_by_key(
            heartbeat.requests_per_s_by_team for heartbeat in counted
        ),
        requests_per_s_by_target=sum_by_key(
            heartbeat.requests_per_s_by_target for heartbeat in counted
        ),
        # The reporter has also what the others of its zone were told.
        target_notices=own.target_notices,
        busy_slots_by_service=sum_by_key(
            heartbeat.busy_slots_by_service for heartbeat in current
        ),
        busy_slots_by_rank=sum_by_key(
            heartbeat.busy_slots_by_rank for heartbeat in current
        ),
        revisions=_newest_by_key(heartbeat.revisions for heartbeat in counted),
    )


def list_zone_instances(table: MembershipTable, at: float) -> list[Instance]:
    """Return the own zone's instances that were heard from lately.

    They may not be ready yet; this instance is one of them.
    """
    current = _within_zone(table.current_heartbeats(at), table.own_zone)
    return [
        heartbeat.instance for heartbeat in current if not heartbeat.is_leaving
    ]


def _within_zone(
    heartbeats: Iterable[Heartbeat], availability_zone: str
) -> Iterator[Heartbeat]:
    for heartbeat in heartbeats:
        if heartbeat.instance.availability_zone == availability_zone:
            yield heartbeat


def _newest_by_key(mappings: Iterable[Mapping[str, int]]) -> dict[str, int]:
    newest: dict[str, int] = {}
    for mapping in mappings:
        for key, revision in mapping.items():
            newest[key] = max(revision, newest.get(key, revision))
    return newest
