"""Define what operators decide: routes, services, teams and limits."""

from typing import Final

from currantspur.messages.base import Message

NO_REGIONS: Final[frozenset[str]] = frozenset()


class Part(Message):
    """Send a share of a route's requests to a service."""

    __slots__ = ('service', 'weight')

    def __init__(self, *, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class Route(Message):
    """Match requests by host and path and say how they are served."""

    __slots__ = (
        'goal_s',
        'has_affinity',
        'home_regions',
        'host',
        'is_idempotent',
        'is_open',
        'name',
        'parts',
        'prefix',
        'priority',
        'timeout_s',
        'tries',
    )

    def __init__(
        self,
        *,
        name: str,
        host: str,
        prefix: str,
        parts: tuple[Part, ...],
        is_idempotent: bool,
        timeout_s: float,
        goal_s: float,
        tries: int,
        priority: int = 0,
        is_open: bool = False,
        has_affinity: bool = False,
        home_regions: frozenset[str] = NO_REGIONS,
    ) -> None:
        """Take the response-time goal and the longest wait in seconds."""
        self.name = name
        self.host = host
        self.prefix = prefix
        self.parts = parts
        self.is_idempotent = is_idempotent
        self.timeout_s = timeout_s
        self.goal_s = goal_s
        self.tries = tries
        self.priority = priority
        self.is_open = is_open
        self.has_affinity = has_affinity
        self.home_regions = home_regions


class Service(Message):
    """Describe what all targets of a service have in common."""

    __slots__ = ('cold_per_s', 'cold_s', 'connections', 'health_path', 'name')

    def __init__(
        self,
        *,
        name: str,
        health_path: str = '/health',
        connections: int = 0,
        cold_s: float = 0.0,
        cold_per_s: float = 0.0,
    ) -> None:
        """Take the cold time and what a cold target bears each second."""
        self.name = name
        self.health_path = health_path
        self.connections = connections
        self.cold_s = cold_s
        self.cold_per_s = cold_per_s


class Team(Message):
    """Own keys, and a rate and a burst across the whole fleet."""

    __slots__ = ('burst', 'home_regions', 'keys', 'name', 'priority', 'rate')

    def __init__(
        self,
        *,
        name: str,
        keys: tuple[str, ...] = (),
        rate: float = 0.0,
        burst: float = 0.0,
        priority: int | None = None,
        home_regions: frozenset[str] = NO_REGIONS,
    ) -> None:
        """Take requests a second; a rate of 0 does not limit."""
        self.name = name
        self.keys = keys
        self.rate = rate
        self.burst = burst
        self.priority = priority
        self.home_regions = home_regions


class CallerLimits(Message):
    """Bound what a caller may send and how long it may stay idle."""

    __slots__ = ('body_bytes', 'header_bytes', 'header_s', 'idle_s')

    def __init__(
        self,
        *,
        header_bytes: int = 16_384,
        body_bytes: int = 1_048_576,
        header_s: float = 10.0,
        idle_s: float = 60.0,
    ) -> None:
        self.header_bytes = header_bytes
        self.body_bytes = body_bytes
        self.header_s = header_s
        self.idle_s = idle_s


class Configuration(Message):
    """Hold one version of everything that operators decide."""

    __slots__ = ('limits', 'routes', 'services', 'teams', 'version')

    def __init__(
        self,
        *,
        version: int,
        routes: tuple[Route, ...] = (),
        services: tuple[Service, ...] = (),
        teams: tuple[Team, ...] = (),
        limits: CallerLimits | None = None,
    ) -> None:
        self.version = version
        self.routes = routes
        self.services = services
        self.teams = teams
        self.limits = limits or CallerLimits()
