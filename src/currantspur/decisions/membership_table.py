"""Track which instances are alive by the heartbeats that they send."""

from collections.abc import Iterable, Iterator, Mapping

from currantspur.decisions.fleet_sums import (
    sum_by_key,
    sum_by_zone,
    unite_by_name,
)
from currantspur.decisions.sequence_order import SequenceOrder
from currantspur.decisions.subsetting import (
    choose_subsets,
    count_senders,
    divide_limits,
)
from currantspur.decisions.zone_digests import ZoneDigestTable
from currantspur.messages import FleetView, Heartbeat, Instance, ZoneDigest

# Look-ups stop returning an instance that is silent for longer: four heartbeat
# intervals without jitter. Two heartbeats in a row may be lost, a third only if
# the next one is not late.
HEARTBEAT_TIMEOUT_S = 3.2
# Heartbeats to other regions are less frequent, one in about 2.4 s, as that
# traffic is paid for; one of them may be lost. Look-ups return a dead instance
# for less than 7 s.
CROSS_REGION_HEARTBEAT_TIMEOUT_S = 6.5
# A silent instance may only be cut off from this one and still serve callers:
# it counts in the fleet size and keeps its part of the team rates and of the
# retry slack for this long.
FORGET_AFTER_S = 30.0
# For this long after its own start an instance also counts the instances that
# the store lists: peers that restarted with it are heard from only a heartbeat
# later.
STARTUP_WINDOW_S = 5.0
# Fleet size assumed until the store's list is read.
DEFAULT_FLEET_SIZE = 12
# Fleets of up to this size exchange all heartbeats, and each instance reads the
# store itself; in larger ones both would cost more than they are worth.
MAX_DIRECT_FLEET_SIZE = 12
# Busy slots by service, and these by region.
SlotsByService = Mapping[str, float]
SlotsByRegion = Mapping[str, SlotsByService]
# The default time of the start: no startup window.
LONG_AGO = float('-inf')


class HeartbeatRecord:
    """The newest heartbeat of an instance and the time of its arrival."""

    __slots__ = ('heartbeat', 'order', 'received_at')

    def __init__(self, heartbeat: Heartbeat, at: float) -> None:
        self.heartbeat = heartbeat
        self.received_at = at
        self.order = SequenceOrder(
            heartbeat.incarnation, heartbeat.sequence_number
        )

    def update(self, heartbeat: Heartbeat, at: float) -> bool:
        """Record a heartbeat unless it is older than the recorded one."""
        if not self.order.advance(
            heartbeat.incarnation, heartbeat.sequence_number
        ):
            return False
        self.heartbeat = heartbeat
        self.received_at = at
        return True


class MembershipTable:
    """Keep the newest heartbeat of every peer and digest of every zone.

    This instance itself never times out.
    """

    __slots__ = (
        'heartbeat_records',
        'listed_instances',
        'own_heartbeat',
        'region_count',
        'started_at',
        'zone_digests',
    )

    def __init__(
        self,
        own_heartbeat: Heartbeat,
        *,
        started_at: float = LONG_AGO,
        region_count: int = 1,
    ) -> None:
        """Start with the own heartbeat, at the time `started_at`.

        The region count is that of the settings.
        """
        self.started_at = started_at
        self.region_count = region_count
        # The instances that the store lists; empty until it is read.
        self.listed_instances: tuple[Instance, ...] = ()
        self.own_heartbeat = own_heartbeat
        self.heartbeat_records: dict[str, HeartbeatRecord] = {}
        self.zone_digests = ZoneDigestTable(
            own_heartbeat.instance.availability_zone
        )

    @property
    def own_zone(self) -> str:
        """The availability zone of this instance."""
        return self.own_heartbeat.instance.availability_zone

    def record_heartbeat(self, heartbeat: Heartbeat, at: float) -> bool:
        """Record a heartbeat of a peer.

        Return True if the peer is new, or if it starts or stops accepting
        callers. A peer that was silent past its timeout is live again in the
        next view, but the return value does not tell that. Own heartbeats and
        those that arrive out of order are ignored.
        """
        name = heartbeat.instance.name
        if name == self.own_heartbeat.instance.name:
            return False
        # Heartbeats from a zone replace a digest that has timed out.
        instance = heartbeat.instance
        self.zone_digests.forget_zone_before(
            instance.availability_zone,
            at - self._get_timeout_s(instance.region),
        )
        known = self.heartbeat_records.get(name)
        if known is None:
            self.heartbeat_records[name] = HeartbeatRecord(heartbeat, at)
            return True
        accepted_callers = _accepts_callers(known.heartbeat)
        is_newer = known.update(heartbeat, at)
        return is_newer and accepted_callers != _accepts_callers(heartbeat)

    def list_peers(self) -> list[Instance]:
        """Return all other instances: listed, heard from or in a digest."""
        peers = {instance.name: instance for instance in self.listed_instances}
        for digest in self.zone_digests.list_since(LONG_AGO):
            for instance in digest.live_instances:
                peers[instance.name] = instance
        for name, record in self.heartbeat_records.items():
            peers[name] = record.heartbeat.instance
        peers.pop(self.own_heartbeat.instance.name, None)
        return list(peers.values())

    def is_cross_region(self, instance: Instance) -> bool:
        """Tell whether an instance is in another region than this one."""
        return instance.region != self.own_heartbeat.instance.region

    def build_view(self, at: float) -> FleetView:
        """Return the live instances with the demand and load of the fleet.

        Live instances are ready and not leaving, and were heard from lately.
        Demand and fleet size also count instances that are silent or not
        ready, as these may still serve callers, but not one that said that it
        is leaving and fell silent.
        """
        self._drop_expired(at)
        counted = list(self.counted_heartbeats(at))
        digests = list(self.zone_digests.list_since(at - FORGET_AFTER_S))
        live = (
            *self.live_instances(at),
            *(
                instance
                for digest in self._current_digests(at)
                for instance in digest.live_instances
            ),
        )
        fleet_size = self._estimate_fleet_size(
            len(counted) + sum(each.counted_instances for each in digests), at
        )
        demand_by_zone = sum_by_zone(counted, digests)
        # This instance and, just after the start, the listed ones divide the
        # limits before callers use them.
        reachable = self._list_reachable(live, at)
        used, senders, counted_senders = choose_subsets(
            (
                live,
                reachable,
                unite_by_name(
                    reachable,
                    (each.instance for each in counted),
                    *(digest.live_instances for digest in digests),
                ),
            ),
            demand_by_zone,
        )
        sender_count = count_senders(
            known=reachable, subset=senders, fleet_size=fleet_size
        )
        return FleetView(
            live_instances=live,
            caller_instances=used,
            reachable_instances=reachable,
            fleet_size=fleet_size,
            sender_count=sender_count,
            limit_divisor=divide_limits(
                self.own_heartbeat.instance.name,
                senders,
                sender_count=sender_count,
                fleet_size=fleet_size,
            ),
            requests_per_s_by_team=sum_by_key(
                (
                    *(each.requests_per_s_by_team for each in counted),
                    *(each.requests_per_s_by_team for each in digests),
                )
            ),
            own_requests_per_s_by_team=(
                self.own_heartbeat.requests_per_s_by_team
            ),
            senders=counted_senders,
            requests_per_s_by_target=sum_by_key(
                (
                    *(each.requests_per_s_by_target for each in counted),
                    *(each.requests_per_s_by_target for each in digests),
                )
            ),
            own_requests_per_s_by_target=(
                self.own_heartbeat.requests_per_s_by_target
            ),
            computed_at=at,
            busy_slots_by_region=self._sum_busy_slots(at),
            busy_slots_by_rank=sum_by_key(
                (
                    *(
                        each.busy_slots_by_rank
                        for each in self.current_heartbeats(at)
                    ),
                    *(
                        each.busy_slots_by_rank
                        for each in self._current_digests(at)
                    ),
                )
            ),
        )

    def live_instances(self, at: float) -> Iterator[Instance]:
        """Yield the instances whose own heartbeats say that they are live."""
        for heartbeat in self.current_heartbeats(at):
            if _accepts_callers(heartbeat):
                yield heartbeat.instance

    def counted_heartbeats(self, at: float) -> Iterator[Heartbeat]:
        """Yield the heartbeats of instances that divide limits."""
        yield self.own_heartbeat
        for record in self._undigested_records():
            is_gone = (
                record.heartbeat.is_leaving
                and at - record.received_at > HEARTBEAT_TIMEOUT_S
            )
            if not is_gone:
                yield record.heartbeat

    def current_heartbeats(self, at: float) -> Iterator[Heartbeat]:
        """Yield the heartbeats of instances that were heard from lately."""
        yield self.own_heartbeat
        for record in self._undigested_records():
            instance = record.heartbeat.instance
            if at - record.received_at <= self._get_timeout_s(instance.region):
                yield record.heartbeat

    def _list_reachable(
        self, live: tuple[Instance, ...], at: float
    ) -> tuple[Instance, ...]:
        by_name = {instance.name: instance for instance in live}
        own = self.own_heartbeat.instance
        by_name[own.name] = own
        if at - self.started_at < STARTUP_WINDOW_S:
            for instance in self.list_peers():
                by_name[instance.name] = instance
        return tuple(by_name.values())

    def _estimate_fleet_size(self, known_count: int, at: float) -> int:
        if at - self.started_at >= STARTUP_WINDOW_S:
            return known_count
        listed_count = scale_to_regions(
            self.listed_instances, self.region_count
        )
        return max(known_count, listed_count or DEFAULT_FLEET_SIZE)

    def _sum_busy_slots(self, at: float) -> SlotsByRegion:
        by_region: dict[str, list[SlotsByService]] = {}
        for heartbeat in self.current_heartbeats(at):
            by_region.setdefault(heartbeat.instance.region, []).append(
                heartbeat.busy_slots_by_service
            )
        for digest in self._current_digests(at):
            by_region.setdefault(digest.region, []).append(
                digest.busy_slots_by_service
            )
        return {
            region: sum_by_key(by_services)
            for region, by_services in by_region.items()
        }

    def _undigested_records(self) -> Iterator[HeartbeatRecord]:
        """Yield the records of instances that are in no digest."""
        for record in self.heartbeat_records.values():
            zone = record.heartbeat.instance.availability_zone
            if self.zone_digests.find(zone) is None:
                yield record

    def _current_digests(self, at: float) -> Iterator[ZoneDigest]:
        for record in self.zone_digests.record_by_zone.values():
            timeout_s = self._get_timeout_s(record.digest.region)
            if at - record.received_at <= timeout_s:
                yield record.digest

    def _get_timeout_s(self, region: str) -> float:
        return (
            HEARTBEAT_TIMEOUT_S
            if region == self.own_heartbeat.instance.region
            else CROSS_REGION_HEARTBEAT_TIMEOUT_S
        )

    def _drop_expired(self, at: float) -> None:
        expired = [
            name
            for name, record in self.heartbeat_records.items()
            if at - record.received_at > FORGET_AFTER_S
        ]
        for name in expired:
            self.heartbeat_records.pop(name)
        self.zone_digests.forget_before(at - FORGET_AFTER_S)


def _accepts_callers(heartbeat: Heartbeat) -> bool:
    return heartbeat.is_ready and not heartbeat.is_leaving


def scale_to_regions(listed: Iterable[Instance], region_count: int) -> int:
    """Return the number of listed instances, as if all regions were listed.

    The list of the own region is read first.
    """
    regions = [instance.region for instance in listed]
    missing_factor = region_count / max(1, len(set(regions)))
    return round(len(regions) * max(1.0, missing_factor))
