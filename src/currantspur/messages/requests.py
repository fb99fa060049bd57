"""Messages that carry one request from admission to a target, and look-ups.

Moments and deadlines are monotonic seconds.
"""

from typing import Final, Literal

from currantspur.messages.base import Message
from currantspur.messages.configuration import NO_REGIONS, Route
from currantspur.messages.fleet_state import Instance
from currantspur.messages.targets import Target, TargetLoad, TargetSignals

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
# answered: the response was forwarded to the caller.
# erred: a server error response, held back since a retry may do better.
# failed: the connection failed or the response did not match the request; not
# the same as the refusal target_failed, after which no target ran the request.
# late: no complete response in time.
# moved: another target answers at the address.
# shed: the target rejected the request without running it.
# unknown: the caller left before the attempt ended.
# unreachable: no connection could be opened.
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
    """The reason why a request gets no response of a target.

    ``not_run`` is true only if no target can have run the request.
    ``retry_after_s`` is the delay in seconds after which the caller should
    retry, or None. Code and detail are sent to the caller.
    """

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
    """A request as received from a caller, without its body.

    ``path`` includes the query. ``object_key`` names the object for affinity.
    ``timeout_s`` is how long the caller waits, in seconds, or None if it did
    not say. ``api_key`` is set to None once the team is identified.
    """

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
        self.request_id = request_id
        self.received_at = received_at
        self.method = method
        self.host = host
        self.path = path
        self.api_key = api_key
        self.object_key = object_key
        self.timeout_s = timeout_s


class RequestContext(Message):
    """A request with what the filters of admission add to it.

    - ``refusal``: set if the request is not admitted; the fields of later
      filters keep their initial values then.
    - ``deadline``: monotonic seconds; infinite until a route matches.
    - ``max_body_bytes``: limit of the request body, 0 until it is set.
    - ``service``: name of the service picked by the weights of the route;
      empty until one is picked.
    - ``team``: name of the team of the API key, or None on routes that need
      no key.
    - ``home_regions``: regions whose targets may run the request; empty for
      all regions.
    - ``rank``: urgency of the request, 0 for the most urgent.
    - ``configuration_version``: the version applied, 0 if there is none yet.
    """

    __slots__ = (
        'configuration_version',
        'deadline',
        'home_regions',
        'max_body_bytes',
        'rank',
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
        self.rank = 0
        self.deadline = float('inf')
        self.home_regions: frozenset[str] = frozenset()
        self.refusal: Refusal | None = None
        self.configuration_version = 0


class OutgoingRequest(Message):
    """A request as forwarded to targets, without its body.

    Headers that differ between attempts are added when it is sent.
    """

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
    """Request to the dispatcher for a target, one for each attempt.

    - ``object_key``: the object for affinity, or None.
    - ``attempt_number``: number of earlier attempts that reached a target or
      may have; if it is above 0, the retry budget is charged.
    - ``excluded_targets``: names of targets already tried.
    - ``must_meet_deadline``: nobody waits past the deadline, as the instance
      stops then; the first attempt, too, goes only where a response is expected
      in time.
    - ``rank``: urgency of the request, 0 for the most urgent.
    """

    __slots__ = (
        'attempt_number',
        'deadline',
        'excluded_targets',
        'home_regions',
        'must_meet_deadline',
        'object_key',
        'rank',
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
        must_meet_deadline: bool = False,
        rank: int = 0,
    ) -> None:
        self.rank = rank
        self.must_meet_deadline = must_meet_deadline
        self.request_id = request_id
        self.route = route
        self.service = service
        self.deadline = deadline
        self.object_key = object_key
        self.home_regions = home_regions
        self.attempt_number = attempt_number
        self.excluded_targets = excluded_targets


class Assignment(Message):
    """The target chosen for an attempt.

    - ``expected_s``: estimated seconds until the response, with the time on
      the network and in the queue of the target.
    - ``is_warm``: the target has handled the object lately.
    - ``rank``: place of the target in the order of the object in its region,
      from 0; of targets that were not left out.
    - ``had_free_slot``: the target had a free slot by its estimated load, so
      the duration of the attempt should contain no time in a queue.
    """

    __slots__ = (
        'assigned_at',
        'expected_s',
        'had_free_slot',
        'is_warm',
        'rank',
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
        rank: int = 0,
    ) -> None:
        self.rank = rank
        self.request = request
        self.target = target
        self.assigned_at = assigned_at
        self.expected_s = expected_s
        self.is_warm = is_warm
        self.had_free_slot = had_free_slot


class TargetRelease(Message):
    """The end of an attempt; the request no longer counts as in flight.

    ``load`` is the load that the target reported in its response, if any, and
    ``signals`` what else it said of itself, or None without a response of it.
    """

    __slots__ = ('assignment', 'load', 'outcome', 'signals')

    def __init__(
        self,
        *,
        assignment: Assignment,
        outcome: AttemptOutcome,
        load: TargetLoad | None = None,
        signals: TargetSignals | None = None,
    ) -> None:
        self.signals = signals
        self.assignment = assignment
        self.outcome = outcome
        self.load = load


class LookupQuery(Message):
    """A caller's look-up of instances, with the place of the caller."""

    __slots__ = ('availability_zone', 'region')

    def __init__(self, *, region: str, availability_zone: str) -> None:
        self.region = region
        self.availability_zone = availability_zone


class LookupResponse(Message):
    """The instances to use; callers may cache them for ``ttl_s`` seconds."""

    __slots__ = ('instances', 'ttl_s')

    def __init__(
        self, *, instances: tuple[Instance, ...], ttl_s: float
    ) -> None:
        self.instances = instances
        self.ttl_s = ttl_s
