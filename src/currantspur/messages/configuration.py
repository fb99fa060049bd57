"""The configuration by operators: routes, services, teams and limits."""

from typing import Final

from currantspur.messages.base import Message

NO_REGIONS: Final[frozenset[str]] = frozenset()


class WeightedService(Message):
    """A service that receives a part of the requests of a route.

    Its share is ``weight`` divided by the sum of the weights of the route. A
    service of weight 0 receives no requests, unless all services of the route
    have weight 0: then the last one by name receives all.
    """

    __slots__ = ('service', 'weight')

    def __init__(self, *, service: str, weight: float) -> None:
        self.service = service
        self.weight = weight


class Route(Message):
    """Requests of one host and path prefix, and how they are handled.

    - ``is_idempotent``: a request that may have run may be sent again.
    - ``timeout_s``: seconds from the arrival of a request to its deadline,
      over all attempts; a shorter timeout of the caller takes precedence.
    - ``latency_goal_s``: seconds within which a response should be complete;
      first estimate of the work of a request and a scale for costs. It is
      the timeout of the route where none is configured.
    - ``max_attempts``: attempts per request, the first one included; those that
      do not reach the target are not counted.
    - ``allows_anonymous``: requests need no API key and are not rate limited.
    - ``has_affinity``: requests for an object prefer targets that have it
      cached.
    - ``home_regions``: regions whose targets may run the requests; empty for
      all regions.
    - ``priority``: the rank of its requests, 0 for the most urgent, unless
      their team has one.
    """

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
    """Properties that all targets of a service share.

    - ``cold_start_s``: seconds for which a target counts as cold when the
      evacuation of its availability zone ends.
    - ``cold_requests_per_s``: requests per second that a cold target may get
      from all instances together; 0 sends it none. An absent target gets a
      part of this rate, or of a default rate if this is 0.
    - ``health_path`` and ``max_connections``: read from the configuration,
      not used by any decision.
    """

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
        self.name = name
        self.health_path = health_path
        self.max_connections = max_connections
        self.cold_start_s = cold_start_s
        self.cold_requests_per_s = cold_requests_per_s


class Team(Message):
    """A team of callers with its API keys and its rate limit.

    - ``rate_per_s``: requests per second over the whole fleet; 0 for no
      limit.
    - ``burst``: size of the token bucket in requests, over the whole fleet;
      as each instance allows at least 2, a large fleet may exceed it.
    - ``home_regions``: regions whose targets may run the requests; empty for
      all regions. Where the route has home regions too, both must allow a
      region.
    - ``priority``: the rank of its requests, 0 for the most urgent, or None
      for that of the route.
    """

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
        self.name = name
        self.keys = keys
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.priority = priority
        self.home_regions = home_regions


class CallerLimits(Message):
    """Limits on what a caller may send and how long it may stay idle.

    ``max_body_bytes`` is enforced exactly, the others with a margin
    (decisions.connection_limits).
    """

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
    """One version of all that operators configure.

    Only a version above the one in force is applied; 0 means that none was
    read yet.
    """

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
