"""Define the messages of a request and of a look-up."""

from typing import Final, Literal

from currantspur.messages.base import Message
from currantspur.messages.configuration import NO_REGIONS, Route
from currantspur.messages.fleet_state import Instance
from currantspur.messages.targets import Target, TargetLoad

RefusalCode = Literal[
    'bad_request',
    'body_too_large',
    'deadline_passed',
    'key_unknown',
    'no_room',
    'no_target',
    'not_ready',
    'outcome_unknown',
    'rate_exceeded',
    'route_unknown',
    'target_failed',
]
NO_TARGETS: Final[frozenset[str]] = frozenset()
# Late: no answer in time. Erred: an answer that says the target failed.
AttemptOutcome = Literal[
    'answered',
    'erred',
    'failed',
    'late',
    'moved',
    'shed',
    'unknown',
    'unreachable',
]


class Refusal(Message):
    """Say why a request was not answered and whether it surely did not run."""

    __slots__ = ('code', 'detail', 'not_run', 'retry_after_s')

    def __init__(
        self,
        *,
        code: RefusalCode,
        detail: str,
        not_run: bool = True,
        retry_after_s: float | None = None,
    ) -> None:
        self.code = code
        self.detail = detail
        self.not_run = not_run
        self.retry_after_s = retry_after_s


class IncomingRequest(Message):
    """Describe a request as it entered, without its body."""

    __slots__ = (
        'api_key',
        'host',
        'method',
        'object_key',
        'path',
        'received_at',
        'request_id',
        'timeout_s',
    )

    def __init__(
        self,
        *,
        request_id: str,
        received_at: float,
        method: str,
        host: str,
        path: str,
        api_key: str | None = None,
        object_key: str | None = None,
        timeout_s: float | None = None,
    ) -> None:
        """Take the seconds that the caller waits, if it said so."""
        self.request_id = request_id
        self.received_at = received_at
        self.method = method
        self.host = host
        self.path = path
        self.api_key = api_key
        self.object_key = object_key
        self.timeout_s = timeout_s


class RequestContext(Message):
    """Hold what admission found out about a request."""

    __slots__ = (
        'configuration_version',
        'deadline',
        'home_regions',
        'max_body_bytes',
        'refusal',
        'request',
        'route',
        'service',
        'team',
    )

    def __init__(self, *, request: IncomingRequest) -> None:
        self.request = request
        self.max_body_bytes = 0
        self.route: Route | None = None
        self.service = ''
        self.team: str | None = None
        self.deadline = float('inf')
        self.home_regions: frozenset[str] = frozenset()
        self.refusal: Refusal | None = None
        self.configuration_version = 0


class OutgoingRequest(Message):
    """Describe what a target gets, without the body."""

    __slots__ = ('headers', 'method', 'path', 'request_id')

    def __init__(
        self,
        *,
        request_id: str,
        method: str,
        path: str,
        headers: tuple[tuple[str, str], ...],
    ) -> None:
        self.request_id = request_id
        self.method = method
        self.path = path
        self.headers = headers


class PlacementRequest(Message):
    """Ask for a target to send a request to."""

    __slots__ = (
        'attempt_number',
        'deadline',
        'excluded_targets',
        'home_regions',
        'object_key',
        'request_id',
        'route',
        'service',
    )

    def __init__(
        self,
        *,
        request_id: str,
        route: Route,
        service: str,
        deadline: float,
        object_key: str | None = None,
        home_regions: frozenset[str] = NO_REGIONS,
        attempt_number: int = 0,
        excluded_targets: frozenset[str] = NO_TARGETS,
    ) -> None:
        """Take the deadline in monotonic seconds and targets to leave out."""
        self.request_id = request_id
        self.route = route
        self.service = service
        self.deadline = deadline
        self.object_key = object_key
        self.home_regions = home_regions
        self.attempt_number = attempt_number
        self.excluded_targets = excluded_targets


class Assignment(Message):
    """Give a request to a target."""

    __slots__ = (
        'assigned_at',
        'expected_s',
        'had_free_slot',
        'is_warm',
        'request',
        'target',
    )

    def __init__(
        self,
        *,
        request: PlacementRequest,
        target: Target,
        assigned_at: float,
        expected_s: float,
        is_warm: bool,
        had_free_slot: bool,
    ) -> None:
        """Take whether it was warm for the object and had a free slot."""
        self.request = request
        self.target = target
        self.assigned_at = assigned_at
        self.expected_s = expected_s
        self.is_warm = is_warm
        self.had_free_slot = had_free_slot


class TargetRelease(Message):
    """Tell how an exchange with a target ended."""

    __slots__ = ('assignment', 'load', 'outcome')

    def __init__(
        self,
        *,
        assignment: Assignment,
        outcome: AttemptOutcome,
        load: TargetLoad | None = None,
    ) -> None:
        self.assignment = assignment
        self.outcome = outcome
        self.load = load


class ResponseHead(Message):
    """Hold the status and headers of an answer."""

    __slots__ = ('body', 'headers', 'load', 'status')

    def __init__(
        self,
        *,
        status: int,
        headers: tuple[tuple[str, str], ...],
        body: bytes | None = None,
        load: TargetLoad | None = None,
    ) -> None:
        """Take the whole body where it is there already."""
        self.status = status
        self.headers = headers
        self.body = body
        self.load = load


class ResponseChunk(Message):
    """Hold a piece of the body of an answer."""

    __slots__ = ('body',)

    def __init__(self, *, body: bytes) -> None:
        self.body = body


class LookupQuery(Message):
    """Ask which instances a caller should use."""

    __slots__ = ('availability_zone', 'region')

    def __init__(self, *, region: str, availability_zone: str) -> None:
        self.region = region
        self.availability_zone = availability_zone


class LookupResponse(Message):
    """Name the instances that a caller should use, and for how long."""

    __slots__ = ('instances', 'ttl_s')

    def __init__(
        self, *, instances: tuple[Instance, ...], ttl_s: float
    ) -> None:
        self.instances = instances
        self.ttl_s = ttl_s
