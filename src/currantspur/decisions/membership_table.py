"""Tell which instances live from the heartbeats that they send."""

from collections.abc import Iterable, Iterator, Mapping

from currantspur.messages import FleetView, Heartbeat, Instance

# Three heartbeats may be lost before an instance leaves the answers to callers.
HEARTBEAT_TIMEOUT_S = 3.2
# Heartbeats to other regions are fewer, as traffic there is paid for; two of
# them may be lost. Callers are told of a dead instance for less than 7 s.
CROSS_REGION_HEARTBEAT_TIMEOUT_S = 6.5
# A silent instance may be cut off and still serve callers: its part of the
# limits is kept for it this long.
FORGET_AFTER_S = 30.0
# For this long after its start an instance goes by the store's list too: its
# peers, started again with it, are heard from a heartbeat later.
STARTUP_WINDOW_S = 5.0
# Until the list is read a fleet is taken to have as many instances as read
# the store themselves.
DEFAULT_FLEET_SIZE = 12
LONG_AGO = float('-inf')


class HeartbeatRecord:
    """Hold the newest heartbeat of an instance and when it came."""

    __slots__ = ('at', 'heartbeat', 'previous_incarnation')

    def __init__(
        self,
        heartbeat: Heartbeat,
        at: float,
        *,
        previous_incarnation: int | None = None,
    ) -> None:
        """Take the life before this one: its late heartbeats count no more."""
        self.heartbeat = heartbeat
        self.at = at
        self.previous_incarnation = previous_incarnation

    def is_superseded_by(self, heartbeat: Heartbeat) -> bool:
        """Tell whether a heartbeat was sent after the newest one."""
        if heartbeat.incarnation == self.heartbeat.incarnation:
            return heartbeat.sequence_number > self.heartbeat.sequence_number
        return heartbeat.incarnation != self.previous_incarnation


class MembershipTable:
    """Keep what peers said last; this instance always lives."""

    __slots__ = (
        'began_at',
        'heartbeat_records',
        'listed_count',
        'own_heartbeat',
    )

    def __init__(
        self, own_heartbeat: Heartbeat, *, began_at: float = LONG_AGO
    ) -> None:
        """Take when this instance started, in monotonic seconds."""
        self.began_at = began_at
        # The number of instances on the store's list, once it was read.
        self.listed_count: int | None = None
        self.own_heartbeat = own_heartbeat
        self.heartbeat_records: dict[str, HeartbeatRecord] = {}

    def record_heartbeat(self, heartbeat: Heartbeat, at: float) -> bool:
        """Take a heartbeat; tell whether it changes who is known."""
        name = heartbeat.instance.name
        if name == self.own_heartbeat.instance.name:
            return False
        known = self.heartbeat_records.get(name)
        if known is None:
            self.heartbeat_records[name] = HeartbeatRecord(heartbeat, at)
            return True
        if not known.is_superseded_by(heartbeat):
            return False
        former = known.previous_incarnation
        if heartbeat.incarnation != known.heartbeat.incarnation:
            former = known.heartbeat.incarnation
        self.heartbeat_records[name] = HeartbeatRecord(
            heartbeat, at, previous_incarnation=former
        )
        return _takes_callers(known.heartbeat) != _takes_callers(heartbeat)

    def list_peers(self, known: Iterable[Instance]) -> list[Instance]:
        """Return everyone to whom heartbeats go."""
        peers = {one.name: one for one in known}
        for name, record in self.heartbeat_records.items():
            peers[name] = record.heartbeat.instance
        peers.pop(self.own_heartbeat.instance.name, None)
        return list(peers.values())

    def is_cross_region(self, instance: Instance) -> bool:
        """Tell whether an instance is in another region."""
        return instance.region != self.own_heartbeat.instance.region

    def build_view(self, at: float) -> FleetView:
        """Return who takes callers and what is asked of everyone."""
        self._forget(at)
        live = (
            [self.own_heartbeat.instance]
            if _takes_callers(self.own_heartbeat)
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
                and at - record.at > HEARTBEAT_TIMEOUT_S
            ):
                continue
            demand[name] = record.heartbeat.requests_per_s_by_team
            if self._is_current(record, at) and _takes_callers(
                record.heartbeat
            ):
                live.append(record.heartbeat.instance)
        return FleetView(
            live_instances=tuple(live),
            fleet_size=self._count(len(demand), at),
            requests_per_s_by_instance=demand,
            computed_at=at,
            busy_slots_by_region=self._sum_work(at),
        )

    def _count(self, heard: int, at: float) -> int:
        if at - self.began_at >= STARTUP_WINDOW_S:
            return heard
        return max(heard, self.listed_count or DEFAULT_FLEET_SIZE)

    def _sum_work(self, at: float) -> dict[str, dict[str, float]]:
        by_region: dict[str, dict[str, float]] = {}
        for heartbeat in self._list_current(at):
            region = by_region.setdefault(heartbeat.instance.region, {})
            for service, work in heartbeat.busy_slots_by_service.items():
                region[service] = region.get(service, 0.0) + work
        return by_region

    def _list_current(self, at: float) -> Iterator[Heartbeat]:
        yield self.own_heartbeat
        for record in self.heartbeat_records.values():
            if self._is_current(record, at):
                yield record.heartbeat

    def _is_current(self, record: HeartbeatRecord, at: float) -> bool:
        is_far = self.is_cross_region(record.heartbeat.instance)
        silent_s = (
            CROSS_REGION_HEARTBEAT_TIMEOUT_S if is_far else HEARTBEAT_TIMEOUT_S
        )
        return at - record.at <= silent_s

    def _forget(self, at: float) -> None:
        gone = [
            name
            for name, record in self.heartbeat_records.items()
            if at - record.at > FORGET_AFTER_S
        ]
        for name in gone:
            self.heartbeat_records.pop(name)


def _takes_callers(heartbeat: Heartbeat) -> bool:
    return heartbeat.is_ready and not heartbeat.is_leaving
