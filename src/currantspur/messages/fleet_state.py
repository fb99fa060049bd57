"""The instances of the fleet, their state and their load.

Moments are monotonic seconds of this instance.
"""

from collections.abc import Mapping

from currantspur.messages.base import Message
from currantspur.messages.targets import TargetNotice, TargetReport


def make_rank_key(service: str, rank: int) -> str:
    """Return the key of what requests of a rank ask for of a service."""
    return f'{rank}:{service}'


class Instance(Message):
    """An entry instance and the addresses at which it is reached.

    ``address`` serves callers and ``peer`` other instances, both as IP address
    and port. ``link_mbps`` is the bandwidth of its network link in Mbit/s, 0
    if unknown. The names of the fields are written to heartbeats and rows.
    """

    __slots__ = (
        'address',
        'availability_zone',
        'link_mbps',
        'name',
        'peer',
        'region',
    )

    def __init__(
        self,
        *,
        name: str,
        availability_zone: str,
        region: str,
        address: str,
        peer: str,
        link_mbps: float = 0.0,
    ) -> None:
        self.link_mbps = link_mbps
        self.name = name
        self.availability_zone = availability_zone
        self.region = region
        self.address = address
        self.peer = peer


class Heartbeat(Message):
    """The state that an instance sends to its peers at short intervals.

    - ``incarnation``: a random number that the process draws when it starts.
    - ``sequence_number``: grows by one with each heartbeat of an incarnation.
    - ``is_ready``: the instance has a configuration and targets, and is not
      draining.
    - ``is_leaving``: the instance is shutting down.
    - ``requests_per_s_by_team``: smoothed rate of requests received here.
    - ``revisions``: the newest known row revision by table.
    - ``busy_slots_by_service``: estimated slots of targets that the requests
      received here occupy.
    - ``busy_slots_by_rank``: slots that its requests ask for, refused ones
      included, by `make_rank_key`, of services whose requests differ in rank.
    - ``reads_digests``: the instance learns of other zones by their digests,
      and so needs no heartbeats from there; older builds do not.
    - ``target_reports``: what the instance saw of targets since its last
      heartbeat.
    - ``target_notices``: what targets said of themselves and their rows do not
      say.
    - ``requests_per_s_by_target``: smoothed rate of requests for which a target
      that names a limit would be the best choice.
    """

    __slots__ = (
        'busy_slots_by_rank',
        'busy_slots_by_service',
        'incarnation',
        'instance',
        'is_leaving',
        'is_ready',
        'reads_digests',
        'requests_per_s_by_target',
        'requests_per_s_by_team',
        'revisions',
        'sequence_number',
        'target_notices',
        'target_reports',
    )

    def __init__(
        self,
        *,
        instance: Instance,
        incarnation: int,
        sequence_number: int,
        is_leaving: bool = False,
        is_ready: bool = True,
        requests_per_s_by_team: Mapping[str, float] | None = None,
        revisions: Mapping[str, int] | None = None,
        busy_slots_by_service: Mapping[str, float] | None = None,
        reads_digests: bool = True,
        target_reports: tuple[TargetReport, ...] = (),
        target_notices: tuple[TargetNotice, ...] = (),
        requests_per_s_by_target: Mapping[str, float] | None = None,
        busy_slots_by_rank: Mapping[str, float] | None = None,
    ) -> None:
        self.busy_slots_by_rank = busy_slots_by_rank or {}
        self.target_reports = target_reports
        self.target_notices = target_notices
        self.requests_per_s_by_target = requests_per_s_by_target or {}
        self.reads_digests = reads_digests
        self.is_ready = is_ready
        self.instance = instance
        self.incarnation = incarnation
        self.sequence_number = sequence_number
        self.is_leaving = is_leaving
        self.requests_per_s_by_team = requests_per_s_by_team or {}
        self.revisions = revisions or {}
        self.busy_slots_by_service = busy_slots_by_service or {}


class ZoneDigest(Message):
    """The state of an availability zone, as one of its instances sums it up.

    - ``reporter``, ``incarnation``, ``sequence_number``: the instance that
      sends the digest, and its numbers as in a Heartbeat.
    - ``reporter_peer``: the address at which it serves table rows.
    - ``live_instances``: instances of the zone that callers may use.
    - ``counted_instances``: number of its instances that divide limits.
    - ``requests_per_s_by_team``, ``requests_per_s_by_target``,
      ``busy_slots_by_service``, ``busy_slots_by_rank``: sums over these.
    - ``target_notices``: what targets said to its instances.
    - ``revisions``: the newest row revision by table that any of them knows.
    - ``is_relayed``: it was passed on within the zone that received it.
    """

    __slots__ = (
        'availability_zone',
        'busy_slots_by_rank',
        'busy_slots_by_service',
        'counted_instances',
        'incarnation',
        'is_relayed',
        'live_instances',
        'region',
        'reporter',
        'reporter_peer',
        'requests_per_s_by_target',
        'requests_per_s_by_team',
        'revisions',
        'sequence_number',
        'target_notices',
    )

    def __init__(
        self,
        *,
        availability_zone: str,
        region: str,
        reporter: str,
        reporter_peer: str,
        incarnation: int,
        sequence_number: int,
        live_instances: tuple[Instance, ...] = (),
        counted_instances: int = 0,
        requests_per_s_by_team: Mapping[str, float] | None = None,
        busy_slots_by_service: Mapping[str, float] | None = None,
        revisions: Mapping[str, int] | None = None,
        is_relayed: bool = False,
        requests_per_s_by_target: Mapping[str, float] | None = None,
        target_notices: tuple[TargetNotice, ...] = (),
        busy_slots_by_rank: Mapping[str, float] | None = None,
    ) -> None:
        self.busy_slots_by_rank = busy_slots_by_rank or {}
        self.requests_per_s_by_target = requests_per_s_by_target or {}
        self.target_notices = target_notices
        self.availability_zone = availability_zone
        self.region = region
        self.reporter = reporter
        self.reporter_peer = reporter_peer
        self.incarnation = incarnation
        self.sequence_number = sequence_number
        self.live_instances = live_instances
        self.counted_instances = counted_instances
        self.requests_per_s_by_team = requests_per_s_by_team or {}
        self.busy_slots_by_service = busy_slots_by_service or {}
        self.revisions = revisions or {}
        self.is_relayed = is_relayed


class FleetView(Message):
    """The fleet as one instance sees it, from heartbeats and zone digests.

    - ``live_instances``: instances that callers may use.
    - ``caller_instances``: the live ones that look-ups return.
    - ``reachable_instances``: instances that may be asked for table rows,
      ready or not; just after the start those that the store lists.
    - ``fleet_size``: number of instances that may send requests to targets,
      also silent ones. Just after the start it is
      at least the number listed in the store, or a default until that is
      read.
    - ``senders``: the instances that callers use, as far as they are known,
      also silent ones; just after the start those that the store lists.
    - ``sender_count``: number of instances that callers use; just after the
      start an estimate.
    - ``limit_divisor``: this instance may use one part in so many of each
      limit.
    - ``requests_per_s_by_team``: rates of requests received by the fleet.
    - ``own_requests_per_s_by_team``: the part received by this instance.
    - ``requests_per_s_by_target``, ``own_requests_per_s_by_target``: rates of
      requests for which a limited target would be the best choice.
    - ``busy_slots_by_region``: estimated slots of targets that requests
      occupy, by region of the callers, then by service.
    - ``busy_slots_by_rank``: slots that the requests of the fleet ask for, as
      in a Heartbeat.
    """

    __slots__ = (
        'busy_slots_by_rank',
        'busy_slots_by_region',
        'caller_instances',
        'computed_at',
        'fleet_size',
        'limit_divisor',
        'live_instances',
        'own_requests_per_s_by_target',
        'own_requests_per_s_by_team',
        'reachable_instances',
        'requests_per_s_by_target',
        'requests_per_s_by_team',
        'sender_count',
        'senders',
    )

    def __init__(
        self,
        *,
        live_instances: tuple[Instance, ...],
        fleet_size: int,
        computed_at: float,
        caller_instances: tuple[Instance, ...] | None = None,
        sender_count: int | None = None,
        limit_divisor: float | None = None,
        reachable_instances: tuple[Instance, ...] = (),
        requests_per_s_by_team: Mapping[str, float] | None = None,
        own_requests_per_s_by_team: Mapping[str, float] | None = None,
        busy_slots_by_region: Mapping[str, Mapping[str, float]] | None = None,
        senders: tuple[Instance, ...] = (),
        requests_per_s_by_target: Mapping[str, float] | None = None,
        own_requests_per_s_by_target: Mapping[str, float] | None = None,
        busy_slots_by_rank: Mapping[str, float] | None = None,
    ) -> None:
        """Record a view; by default callers use all live instances."""
        self.busy_slots_by_rank = busy_slots_by_rank or {}
        self.senders = senders
        self.requests_per_s_by_target = requests_per_s_by_target or {}
        self.own_requests_per_s_by_target = own_requests_per_s_by_target or {}
        self.live_instances = live_instances
        self.caller_instances = (
            live_instances if caller_instances is None else caller_instances
        )
        self.reachable_instances = reachable_instances
        self.fleet_size = fleet_size
        self.sender_count = fleet_size if sender_count is None else sender_count
        self.limit_divisor = (
            fleet_size if limit_divisor is None else limit_divisor
        )
        self.requests_per_s_by_team = requests_per_s_by_team or {}
        self.own_requests_per_s_by_team = own_requests_per_s_by_team or {}
        self.busy_slots_by_region = busy_slots_by_region or {}
        self.computed_at = computed_at


class ListedInstances(Message):
    """The instances that the store lists, some of them gone for long."""

    __slots__ = ('instances',)

    def __init__(self, *, instances: tuple[Instance, ...]) -> None:
        self.instances = instances
