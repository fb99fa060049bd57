"""Define what an instance learns from the platform and from its peers."""

from collections.abc import Mapping

from currantspur.messages.base import Message
from currantspur.messages.configuration import Configuration
from currantspur.messages.targets import Target

NEVER = float('-inf')


class TableSnapshot(Message):
    """Hold all rows of a table as of one revision."""

    __slots__ = (
        'newest_row_revision',
        'outage_ended_at',
        'read_at',
        'revision',
        'rows_by_key',
        'table',
    )

    def __init__(
        self,
        *,
        table: str,
        rows_by_key: Mapping[str, bytes],
        revision: int,
        read_at: float,
        newest_row_revision: int = -1,
        outage_ended_at: float = NEVER,
    ) -> None:
        """Take the newest change, when it was read, and the last outage."""
        self.newest_row_revision = newest_row_revision
        self.table = table
        self.rows_by_key = rows_by_key
        self.revision = revision
        self.read_at = read_at
        self.outage_ended_at = outage_ended_at


class ConfigurationUpdate(Message):
    """Bring a version into force."""

    __slots__ = ('configuration', 'read_at', 'revision')

    def __init__(
        self, *, configuration: Configuration, revision: int, read_at: float
    ) -> None:
        self.configuration = configuration
        self.revision = revision
        self.read_at = read_at


class EvacuationsUpdate(Message):
    """Name the availability zones whose targets get no work."""

    __slots__ = ('availability_zones', 'read_at', 'revision')

    def __init__(
        self,
        *,
        availability_zones: frozenset[str],
        revision: int,
        read_at: float,
    ) -> None:
        self.availability_zones = availability_zones
        self.revision = revision
        self.read_at = read_at


class TargetsUpdate(Message):
    """List all targets as of one revision."""

    __slots__ = ('outage_ended_at', 'read_at', 'revision', 'targets_by_name')

    def __init__(
        self,
        *,
        targets_by_name: Mapping[str, Target],
        revision: int,
        read_at: float,
        outage_ended_at: float = NEVER,
    ) -> None:
        """Take when an outage of the store last ended, in monotonic seconds."""
        self.targets_by_name = targets_by_name
        self.revision = revision
        self.read_at = read_at
        self.outage_ended_at = outage_ended_at


class Instance(Message):
    """Name an entry instance and where callers and peers reach it."""

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
        """Take the bandwidth of its own link, 0 where it is not known."""
        self.link_mbps = link_mbps
        self.name = name
        self.availability_zone = availability_zone
        self.region = region
        self.address = address
        self.peer = peer


class Heartbeat(Message):
    """Tell peers that an instance lives and what each team asks of it."""

    __slots__ = (
        'busy_slots_by_service',
        'incarnation',
        'instance',
        'is_leaving',
        'is_ready',
        'requests_per_s_by_team',
        'revisions',
        'sequence_number',
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
    ) -> None:
        """Take requests a second by team and the revision of each table.

        The work is the number of slots that the requests for each service
        fill. An instance that is not ready knows too little to serve callers.
        """
        self.is_ready = is_ready
        self.instance = instance
        self.incarnation = incarnation
        self.sequence_number = sequence_number
        self.is_leaving = is_leaving
        self.requests_per_s_by_team = requests_per_s_by_team or {}
        self.revisions = revisions or {}
        self.busy_slots_by_service = busy_slots_by_service or {}


class FleetView(Message):
    """Tell which instances live and what is asked of each."""

    __slots__ = (
        'busy_slots_by_region',
        'computed_at',
        'fleet_size',
        'live_instances',
        'requests_per_s_by_instance',
    )

    def __init__(
        self,
        *,
        live_instances: tuple[Instance, ...],
        fleet_size: int,
        requests_per_s_by_instance: Mapping[str, Mapping[str, float]],
        computed_at: float,
        busy_slots_by_region: Mapping[str, Mapping[str, float]] | None = None,
    ) -> None:
        """Take the number of instances that may send, and demand by them.

        The work is that of each service, by the region of its callers.
        """
        self.busy_slots_by_region = busy_slots_by_region or {}
        self.live_instances = live_instances
        self.fleet_size = fleet_size
        self.requests_per_s_by_instance = requests_per_s_by_instance
        self.computed_at = computed_at


class TeamDemand(Message):
    """Tell what each team asks of this instance, in requests a second."""

    __slots__ = ('requests_per_s_by_team',)

    def __init__(self, *, requests_per_s_by_team: Mapping[str, float]) -> None:
        self.requests_per_s_by_team = requests_per_s_by_team


class ServiceLoad(Message):
    """Tell how many slots the requests for each service fill."""

    __slots__ = ('busy_slots_by_service',)

    def __init__(self, *, busy_slots_by_service: Mapping[str, float]) -> None:
        self.busy_slots_by_service = busy_slots_by_service


class SpillPlan(Message):
    """Say which share of a service's work other regions should take."""

    __slots__ = ('before', 'sent_now', 'service', 'share', 'work')

    def __init__(
        self,
        *,
        service: str,
        share: float,
        before: float,
        sent_now: float,
        work: Mapping[str, float],
    ) -> None:
        """Take the slots that the callers of each region fill."""
        self.service = service
        self.share = share
        self.before = before
        self.sent_now = sent_now
        self.work = work


class Tick(Message):
    """Ask a task to look at the time."""

    __slots__ = ()


class ShutdownStarted(Message):
    """Announce that this instance was asked to stop."""

    __slots__ = ()
