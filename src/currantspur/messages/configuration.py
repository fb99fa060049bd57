"""Define what operators decide: routes, services, teams and limits."""

from typing import Final

from currantspur.messages.base import Message

NO_REGIONS: Final[frozenset[str]] = frozenset()


class WeightedService(Message):
    """Send a share of a route's requests to a service."""

    __slots__ = ('service', 'weight')

    def __init__(self, *, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class Route(Message):
    """Match requests by host and path and say how they are served."""

    __slots__ = (
        'allows_anonymous',
        'has_affinity',
        'home_regions',
        'host',
        'is_idempotent',
        'latency_goal_s',
        'max_attempts',
        'name',
        'path_prefix',
        'priority',
        'timeout_s',
        'weighted_services',
    )

    def __init__(
        self,
        *,
        name: str,
        host: str,
        path_prefix: str,
        weighted_services: tuple[WeightedService, ...],
        is_idempotent: bool,
        timeout_s: float,
        latency_goal_s: float,
        max_attempts: int,
        priority: int = 0,
        allows_anonymous: bool = False,
        has_affinity: bool = False,
        home_regions: frozenset[str] = NO_REGIONS,
    ) -> None:
        """Take the response-time goal and the longest wait in seconds."""
        self.name = name
        self.host = host
        self.path_prefix = path_prefix
        self.weighted_services = weighted_services
        self.is_idempotent = is_idempotent
        self.timeout_s = timeout_s
        self.latency_goal_s = latency_goal_s
        self.max_attempts = max_attempts
        self.priority = priority
        self.allows_anonymous = allows_anonymous
        self.has_affinity = has_affinity
        self.home_regions = home_regions


class Service(Message):
    """Describe what all targets of a service have in common."""

    __slots__ = (
        'cold_requests_per_s',
        'cold_start_s',
        'health_path',
        'max_connections',
        'name',
    )

    def __init__(
        self,
        *,
        name: str,
        health_path: str = '/health',
        max_connections: int = 0,
        cold_start_s: float = 0.0,
        cold_requests_per_s: float = 0.0,
    ) -> None:
        """Take the cold time and what a cold target bears each second."""
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.cold_start_s = cold_start_s
        self.cold_requests_per_s = cold_requests_per_s


class Team(Message):
    """Own keys, and a rate and a burst across the whole fleet."""

    __slots__ = (
        'burst',
        'home_regions',
        'keys',
        'name',
        'priority',
        'rate_per_s',
    )

    def __init__(
        self,
        *,
        name: str,
        keys: tuple[str, ...] = (),
        rate_per_s: float = 0.0,
        burst: float = 0.0,
        priority: int | None = None,
        home_regions: frozenset[str] = NO_REGIONS,
    ) -> None:
        """Take requests a second; a rate of 0 does not limit."""
        self.name = name
        self.keys = keys
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.priority = priority
        self.home_regions = home_regions


class CallerLimits(Message):
    """Bound what a caller may send and how long it may stay idle."""

    __slots__ = (
        'header_timeout_s',
        'idle_timeout_s',
        'max_body_bytes',
        'max_header_bytes',
    )

    def __init__(
        self,
        *,
        max_header_bytes: int = 16_384,
        max_body_bytes: int = 1_048_576,
        header_timeout_s: float = 10.0,
        idle_timeout_s: float = 60.0,
    ) -> None:
        self.max_header_bytes = max_header_bytes
        self.max_body_bytes = max_body_bytes
        self.header_timeout_s = header_timeout_s
        self.idle_timeout_s = idle_timeout_s


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
