"""Define what operators write: routes, teams, keys, targets, regions."""

from ipaddress import IPv4Network, IPv6Network
from typing import Literal

from currantspur.messages.base import Message

Access = Literal['keyed', 'open']
Objective = Literal['fairness', 'latency']
Role = Literal['read', 'drain', 'change']


class Route(Message):
    """Map a path prefix to a service and say how its requests are carried."""

    __slots__ = ('access', 'deadline_s', 'idempotent', 'prefix', 'service')

    def __init__(
        self,
        *,
        prefix: str,
        service: str,
        access: Access = 'keyed',
        idempotent: bool = True,
        deadline_s: float = 10.0,
    ) -> None:
        self.prefix = prefix
        self.service = service
        self.access = access
        self.idempotent = idempotent
        self.deadline_s = deadline_s


class Team(Message):
    """Give a team its rate (requests a second) and burst (requests)."""

    __slots__ = ('burst', 'name', 'rate')

    def __init__(self, *, name: str, rate: float, burst: float) -> None:
        self.name = name
        self.rate = rate
        self.burst = burst


class Key(Message):
    """Name a team's key by its public id and the digest of its secret."""

    __slots__ = ('digest', 'key_id', 'team')

    def __init__(self, *, key_id: str, team: str, digest: str) -> None:
        self.key_id = key_id
        self.team = team
        self.digest = digest


class Operator(Message):
    """Let an operator in by the public id and the digest of a key."""

    __slots__ = ('digest', 'key_id', 'name', 'role')

    def __init__(
        self, *, name: str, role: Role, key_id: str, digest: str
    ) -> None:
        self.name = name
        self.role = role
        self.key_id = key_id
        self.digest = digest


class Target(Message):
    """Describe a back end: where it listens and what it can take."""

    __slots__ = (
        'address',
        'availability_zone',
        'connections',
        'name',
        'service',
        'slots',
    )

    def __init__(
        self,
        *,
        name: str,
        service: str,
        address: str,
        availability_zone: str,
        slots: int = 3,
        connections: int = 330,
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.availability_zone = availability_zone
        self.slots = slots
        self.connections = connections


class Region(Message):
    """Group availability zones under one intake limit (requests a second)."""

    __slots__ = ('availability_zones', 'intake_burst', 'intake_rate', 'name')

    def __init__(
        self,
        *,
        name: str,
        availability_zones: tuple[str, ...],
        intake_rate: float,
        intake_burst: float,
    ) -> None:
        self.name = name
        self.availability_zones = availability_zones
        self.intake_rate = intake_rate
        self.intake_burst = intake_burst


class Link(Message):
    """Limit the traffic from one region to another (Mbit/s)."""

    __slots__ = ('destination', 'mbit_s', 'origin')

    def __init__(self, *, origin: str, destination: str, mbit_s: float) -> None:
        self.origin = origin
        self.destination = destination
        self.mbit_s = mbit_s


class Block(Message):
    """Map a prefix of client addresses to the site nearest to it."""

    __slots__ = ('network', 'site')

    def __init__(
        self, *, network: IPv4Network | IPv6Network, site: str
    ) -> None:
        self.network = network
        self.site = site


class Site(Message):
    """Name a place of clients by the availability zone nearest to it."""

    __slots__ = ('availability_zone', 'name')

    def __init__(self, *, name: str, availability_zone: str) -> None:
        self.name = name
        self.availability_zone = availability_zone


class Drain(Message):
    """Plan that a target, availability zone or region stops taking work."""

    __slots__ = ('drain_id', 'name', 'pace', 'paused', 'scope', 'start_s')

    def __init__(
        self,
        *,
        drain_id: str,
        scope: Literal['target', 'availability_zone', 'region'],
        name: str,
        start_s: float = 0.0,
        pace: float = 1.0,
        paused: bool = False,
    ) -> None:
        """Take the start as Unix time and the pace as a share a second."""
        self.drain_id = drain_id
        self.scope = scope
        self.name = name
        self.start_s = start_s
        self.pace = pace
        self.paused = paused


class Steering(Message):
    """Set how look-ups are answered and how fast traffic may move."""

    __slots__ = ('cache_s', 'objective', 'shift_cap', 'step_s')

    def __init__(
        self,
        *,
        cache_s: float = 5.0,
        shift_cap: float = 0.1,
        step_s: float = 5.0,
        objective: Objective = 'fairness',
    ) -> None:
        """Take the cap as the share of a region's traffic moved in a step."""
        self.cache_s = cache_s
        self.shift_cap = shift_cap
        self.step_s = step_s
        self.objective = objective


class Configuration(Message):
    """Hold one whole accepted configuration."""

    __slots__ = (
        'blocks',
        'drains',
        'keys',
        'links',
        'operators',
        'regions',
        'routes',
        'sites',
        'steering',
        'targets',
        'teams',
    )

    def __init__(
        self,
        *,
        routes: tuple[Route, ...] = (),
        teams: tuple[Team, ...] = (),
        keys: tuple[Key, ...] = (),
        targets: tuple[Target, ...] = (),
        regions: tuple[Region, ...] = (),
        links: tuple[Link, ...] = (),
        blocks: tuple[Block, ...] = (),
        drains: tuple[Drain, ...] = (),
        sites: tuple[Site, ...] = (),
        operators: tuple[Operator, ...] = (),
        steering: Steering | None = None,
    ) -> None:
        self.routes = routes
        self.teams = teams
        self.keys = keys
        self.targets = targets
        self.regions = regions
        self.links = links
        self.blocks = blocks
        self.drains = drains
        self.sites = sites
        self.operators = operators
        self.steering = steering or Steering()

    def region_by_zone(self) -> dict[str, str]:
        """Return the region of each availability zone."""
        return {
            zone: region.name
            for region in self.regions
            for zone in region.availability_zones
        }
