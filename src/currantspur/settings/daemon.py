"""Settings of one entry daemon."""

from collections.abc import Mapping

from currantspur.messages.base import Message
from currantspur.messages.limits import FleetLimits
from currantspur.settings.document import Document, NodeReader
from currantspur.settings.machine import (
    MIN_DEFAULT_MEMORY_MB,
    find_memory_mb,
)

# Any of these keys marks a document as daemon settings.
DAEMON_KEYS = frozenset(('instance', 'listen', 'peer', 'store'))
MAX_GRACE_S = 3600.0
# Fewer than the smallest machine that instances run on allows.
DEFAULT_MAX_FDS = 1024.0
# An instance without any client takes 31 to 39 MB, and a few dozen descriptors.
MIN_MEMORY_MB = 64.0
MIN_MAX_FDS = 96.0
DEFAULT_LIMITS = FleetLimits()


class DaemonSettings(Message):
    """Settings of an entry daemon; all addresses are IP address and port.

    - ``instance``: name of the instance.
    - ``availability_zone``: the zone in which it runs.
    - ``regions``: region by availability zone.
    - ``listen``: serves requests of callers.
    - ``ready``, ``directory``: serve readiness checks and look-ups.
    - ``peer``: receives heartbeats and row requests of other instances.
    - ``metrics``: serves metrics.
    - ``store``: address of the store.
    - ``limits``: limits of the whole fleet.
    - ``collector``: address of an OTLP collector, or None for no tracing.
    - ``link_mbps``: bandwidth of the network link in Mbit/s, 0 if unknown.
    - ``first_start``: whether the whole fleet starts for the first time.
    - ``memory_mb``: memory of the machine, of which a part is for clients.
    - ``max_fds``: file descriptors that the process may open.
    """

    __slots__ = (
        'availability_zone',
        'collector',
        'directory',
        'first_start',
        'instance',
        'limits',
        'link_mbps',
        'listen',
        'max_fds',
        'memory_mb',
        'metrics',
        'peer',
        'ready',
        'regions',
        'store',
    )

    def __init__(
        self,
        *,
        instance: str,
        availability_zone: str,
        regions: Mapping[str, str],
        listen: str,
        ready: str,
        directory: str,
        peer: str,
        metrics: str,
        store: str,
        limits: FleetLimits = DEFAULT_LIMITS,
        collector: str | None = None,
        link_mbps: float = 0.0,
        first_start: bool = False,
        memory_mb: float = MIN_DEFAULT_MEMORY_MB,
        max_fds: float = DEFAULT_MAX_FDS,
    ) -> None:
        self.memory_mb = memory_mb
        self.max_fds = max_fds
        self.first_start = first_start
        self.link_mbps = link_mbps
        self.instance = instance
        self.availability_zone = availability_zone
        self.regions = regions
        self.listen = listen
        self.ready = ready
        self.directory = directory
        self.peer = peer
        self.metrics = metrics
        self.store = store
        self.limits = limits
        self.collector = collector

    @property
    def region(self) -> str:
        """The region of the availability zone, or the zone if it has none."""
        return self.regions.get(self.availability_zone, self.availability_zone)


def read_daemon_settings(text: str, *, file: str) -> DaemonSettings:
    """Parse daemon settings; raise SettingsError with all findings."""
    document = Document(text, file=file)
    root = document.root
    settings = DaemonSettings(
        instance=root.text('instance'),
        availability_zone=root.text('availability_zone'),
        regions=_read_regions(root),
        listen=root.address('listen'),
        ready=root.address('ready'),
        directory=root.address('directory'),
        peer=root.address('peer'),
        metrics=root.address('metrics'),
        store=root.address('store'),
        limits=_read_limits(root.child('limits')),
        collector=_read_collector(root),
        link_mbps=root.number('link_mbps', 0.0),
        first_start=root.flag('first_start', default=False),
        memory_mb=root.number('memory_mb', find_memory_mb(), low=MIN_MEMORY_MB),
        max_fds=root.number('max_fds', DEFAULT_MAX_FDS, low=MIN_MAX_FDS),
    )
    root.check_keys()
    document.raise_findings()
    return settings


def is_daemon_settings(text: str) -> bool:
    """Return whether a YAML text has a key that only daemon settings have."""
    keys = set(Document(text, file='').root.list_keys())
    return bool(keys & DAEMON_KEYS)


def _read_regions(root: NodeReader) -> dict[str, str]:
    zones = root.child('regions')
    regions = {zone: zones.text(zone) for zone in zones.list_keys()}
    zones.check_keys()
    return regions


def _read_limits(reader: NodeReader) -> FleetLimits:
    limits = FleetLimits(
        retry_ratio=reader.number('retry_ratio', DEFAULT_LIMITS.retry_ratio),
        retry_slack=reader.number('retry_slack', DEFAULT_LIMITS.retry_slack),
        # Not 0, as a retry budget divides its slack by the window.
        retry_window_s=reader.number(
            'retry_window_s', DEFAULT_LIMITS.retry_window_s, low=0.1
        ),
        grace_s=reader.number(
            'grace_s', DEFAULT_LIMITS.grace_s, high=MAX_GRACE_S
        ),
        shift_cap=reader.number(
            'shift_cap', DEFAULT_LIMITS.shift_cap, high=1.0
        ),
    )
    reader.check_keys()
    return limits


def _read_collector(root: NodeReader) -> str | None:
    if root.child('collector').is_absent:
        return None
    return root.address('collector')
