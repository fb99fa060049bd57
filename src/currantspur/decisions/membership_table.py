"""Track which instances are alive by the heartbeats that they send."""

from collections.abc import Iterable, Iterator, Mapping

from currantspur.messages import FleetView, Heartbeat, Instance

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
# Fleet size assumed until the store's list is read: the largest one at which
# every instance reads the store itself (MAX_DIRECT_FLEET_SIZE).
DEFAULT_FLEET_SIZE = 12
# The default time of the start: no startup window.
LONG_AGO = float('-inf')


class HeartbeatRecord:
    """The newest heartbeat of an instance and the time of its arrival."""

    __slots__ = ('heartbeat', 'previous_incarnation', 'received_at')

    def __init__(
        self,
        heartbeat: Heartbeat,
        at: float,
        *,
        previous_incarnation: int | None = None,
    ) -> None:
        """Record a heartbeat and the incarnation that preceded its own.

        Late heartbeats of the previous incarnation are ignored.
        """
        self.heartbeat = heartbeat
        self.received_at = at
        self.previous_incarnation = previous_incarnation

    def is_superseded_by(self, heartbeat: Heartbeat) -> bool:
        """Tell whether a heartbeat was sent after the recorded one."""
        if heartbeat.incarnation == self.heartbeat.incarnation:
            return heartbeat.sequence_number > self.heartbeat.sequence_number
        return heartbeat.incarnation != self.previous_incarnation


class MembershipTable:
    """Keep the newest heartbeat of every peer.

    This instance itself never times out.
    """

    __slots__ = (
        'heartbeat_records',
        'listed_count',
        'own_heartbeat',
        'started_at',
    )

    def __init__(
        self, own_heartbeat: Heartbeat, *, started_at: float = LONG_AGO
    ) -> None:
        """Start with the own heartbeat, at the time `started_at`."""
        self.started_at = started_at
        # The number of instances that the store lists; None until it is read.
        # 0 counts as not read.
        self.listed_count: int | None = None
        self.own_heartbeat = own_heartbeat
        self.heartbeat_records: dict[str, HeartbeatRecord] = {}

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
        known = self.heartbeat_records.get(name)
        if known is None:
            self.heartbeat_records[name] = HeartbeatRecord(heartbeat, at)
            return True
        if not known.is_superseded_by(heartbeat):
            return False
        previous_incarnation = known.previous_incarnation
        if heartbeat.incarnation != known.heartbeat.incarnation:
            previous_incarnation = known.heartbeat.incarnation
        self.heartbeat_records[name] = HeartbeatRecord(
            heartbeat, at, previous_incarnation=previous_incarnation
        )
        return _accepts_callers(known.heartbeat) != _accepts_callers(heartbeat)

    def list_peers(self, listed: Iterable[Instance]) -> list[Instance]:
        """Return the instances to send heartbeats to: listed or heard from."""
        peers = {instance.name: instance for instance in listed}
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
        live = (
            [self.own_heartbeat.instance]
            if _accepts_callers(self.own_heartbeat)
            else []
        )
        demand: dict[str, Mapping[str, float]] = {
            self.own_heartbeat.instance.name: (
                self.own_heartbeat.requests_per_s_by_team
            )
        }
        for name, record in self.heartbeat_records.items():
            if (
                record.heartbeat.is_leaving
                and at - record.received_at > HEARTBEAT_TIMEOUT_S
            ):
                continue
            demand[name] = record.heartbeat.requests_per_s_by_team
            if self._is_current(record, at) and _accepts_callers(
                record.heartbeat
            ):
                live.append(record.heartbeat.instance)
        return FleetView(
            live_instances=tuple(live),
            fleet_size=self._estimate_fleet_size(len(demand), at),
            requests_per_s_by_instance=demand,
            computed_at=at,
            busy_slots_by_region=self._sum_busy_slots(at),
        )

    def _estimate_fleet_size(self, known_count: int, at: float) -> int:
        if at - self.started_at >= STARTUP_WINDOW_S:
            return known_count
        return max(known_count, self.listed_count or DEFAULT_FLEET_SIZE)

    def _sum_busy_slots(self, at: float) -> dict[str, dict[str, float]]:
        by_region: dict[str, dict[str, float]] = {}
        for heartbeat in self._current_heartbeats(at):
            by_service = by_region.setdefault(heartbeat.instance.region, {})
            for service, busy_slots in heartbeat.busy_slots_by_service.items():
                by_service[service] = by_service.get(service, 0.0) + busy_slots
        return by_region

    def _current_heartbeats(self, at: float) -> Iterator[Heartbeat]:
        yield self.own_heartbeat
        for record in self.heartbeat_records.values():
            if self._is_current(record, at):
                yield record.heartbeat

    def _is_current(self, record: HeartbeatRecord, at: float) -> bool:
        is_cross_region = self.is_cross_region(record.heartbeat.instance)
        timeout_s = (
            CROSS_REGION_HEARTBEAT_TIMEOUT_S
            if is_cross_region
            else HEARTBEAT_TIMEOUT_S
        )
        return at - record.received_at <= timeout_s

    def _drop_expired(self, at: float) -> None:
        expired = [
            name
            for name, record in self.heartbeat_records.items()
            if at - record.received_at > FORGET_AFTER_S
        ]
        for name in expired:
            self.heartbeat_records.pop(name)


def _accepts_callers(heartbeat: Heartbeat) -> bool:
    return heartbeat.is_ready and not heartbeat.is_leaving
