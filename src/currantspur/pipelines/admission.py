"""Admit requests: match the route, identify the team, limit its rate.

The pipeline also sets the deadline and picks the service.
"""

from collections.abc import Iterable, Iterator

from currantspur.decisions.api_key_index import ApiKeyIndex
from currantspur.decisions.ranks import rank_of
from currantspur.decisions.rate_meter import RateMeter
from currantspur.decisions.rate_share import RateShare
from currantspur.decisions.routing import RouteTable
from currantspur.decisions.splitting import Splitter
from currantspur.encoding import is_utf8
from currantspur.messages import (
    IncomingRequest,
    Refusal,
    RequestContext,
    Team,
)
from currantspur.pipelines.filter import AdmissionCheck, Filter, Pipeline

# Callers retry soon if an instance has no configuration yet: it reads one
# within a few round trips to the store.
NOT_READY_RETRY_AFTER_S = 0.3
# Least Retry-After of a refused rate, also if the wait is shorter or unknown.
MIN_RETRY_AFTER_S = 0.05


# Counts the requests of callers without a key; no team has this name.
NO_TEAM = ''


class AdmissionState:
    """The state that the admission filters read; one task owns it."""

    __slots__ = (
        'api_key_index',
        'max_body_bytes',
        'rate_shares',
        'routes',
        'splitter',
        'team_request_meter',
        'version',
    )

    def __init__(self) -> None:
        # The version of the configuration; 0 until one is in force.
        self.version = 0
        self.max_body_bytes = 0
        self.routes = RouteTable()
        self.api_key_index = ApiKeyIndex()
        self.splitter = Splitter()
        self.rate_shares: dict[str, RateShare] = {}
        self.team_request_meter = RateMeter(0.0)


class CreateContext(Filter[IncomingRequest, RequestContext]):
    """Create the context that each request carries through the pipeline."""

    __slots__ = ('state',)

    def __init__(self, state: AdmissionState) -> None:
        self.state = state

    def run(
        self, stream: Iterable[IncomingRequest]
    ) -> Iterator[RequestContext]:
        """Yield a context with the version and the body limit in force."""
        for request in stream:
            context = RequestContext(request=request)
            context.configuration_version = self.state.version
            context.max_body_bytes = self.state.max_body_bytes
            yield context


class RequireConfiguration(AdmissionCheck):
    """Refuse all requests until a configuration is in force."""

    __slots__ = ()

    def check(self, context: RequestContext) -> Refusal | None:
        """Refuse with a Retry-After if the version is 0."""
        if not context.configuration_version:
            return Refusal(
                code='not_ready',
                detail='this instance knows no configuration yet',
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
        return None


class CheckRequest(AdmissionCheck):
    """Refuse requests that a target would read in another way than this.

    A fragment is no part of a request target (RFC 9112, 3.2), and targets may
    cut it off. CONNECT asks for a tunnel to another host. Of an object key that
    is not UTF-8 the HTTP client library leaves out bytes.
    """

    __slots__ = ()

    def check(self, context: RequestContext) -> Refusal | None:
        """Refuse CONNECT, a fragment, and a malformed object key."""
        request = context.request
        if request.method == 'CONNECT':
            return Refusal(code='bad_request', detail='CONNECT is not served')
        if '#' in request.path:
            return Refusal(
                code='bad_request', detail='the request target has a fragment'
            )
        if not is_utf8(request.object_key or ''):
            return Refusal(
                code='bad_request', detail='the object key is not UTF-8'
            )
        return None


class MatchRoute(AdmissionCheck):
    """Match the route and set the deadline.

    The request may take the timeout of the route, or that of the caller if it
    is shorter.
    """

    __slots__ = ('state',)

    def __init__(self, state: AdmissionState) -> None:
        self.state = state

    def check(self, context: RequestContext) -> Refusal | None:
        """Refuse a host and path without a route or a timeout of 0 or less."""
        request = context.request
        route = self.state.routes.match(request.host, request.path)
        if route is None:
            return Refusal(code='route_unknown', detail='no route for the path')
        context.route = route
        context.rank = rank_of(route, None)
        context.home_regions = route.home_regions
        timeout_s = route.timeout_s
        if request.timeout_s is not None:
            timeout_s = min(timeout_s, request.timeout_s)
        context.deadline = request.received_at + timeout_s
        if timeout_s <= 0:
            return Refusal(code='deadline_passed', detail='no time is left')
        return None


class IdentifyTeam(AdmissionCheck):
    """Identify the team by its API key, except on anonymous routes.

    The key is removed from the request. Without any team, keys are not
    checked.
    """

    __slots__ = ('state',)

    def __init__(self, state: AdmissionState) -> None:
        self.state = state

    def check(self, context: RequestContext) -> Refusal | None:
        """Refuse a missing, unknown or withdrawn key."""
        request = context.request
        key = request.api_key
        request.api_key = None
        route = context.route
        if (
            route is None
            or route.allows_anonymous
            or not self.state.api_key_index.requires_key
        ):
            return None
        team = self.find_team(key)
        if team is None:
            return Refusal(
                code='key_unknown', detail='the key is unknown or withdrawn'
            )
        context.team = team.name
        context.rank = rank_of(route, team.priority)
        context.home_regions = _combine_home_regions(
            context.home_regions, team.home_regions
        )
        return None

    def find_team(self, key: str | None) -> Team | None:
        """Return the team that owns the key of a request, or None."""
        return self.state.api_key_index.find(key)


class LimitRate(AdmissionCheck):
    """Limit the requests of a team to this instance's part of its rate.

    Refused requests count in the demand of the team, too.
    """

    __slots__ = ('state',)

    def __init__(self, state: AdmissionState) -> None:
        self.state = state

    def check(self, context: RequestContext) -> Refusal | None:
        """Refuse if no token is left, with the seconds until there is one."""
        team = context.team or NO_TEAM
        self.state.team_request_meter.count(team)
        rate_share = self.state.rate_shares.get(team)
        if rate_share is None:
            return None
        wait_s = rate_share.consume_or_wait_s(context.request.received_at)
        if wait_s is None:
            return None
        return Refusal(
            code='rate_exceeded',
            detail='the rate of the team is used up',
            retry_after_s=max(MIN_RETRY_AFTER_S, wait_s),
        )


class PickService(Filter[RequestContext, RequestContext]):
    """Pick the service of each request by the weights of its route."""

    __slots__ = ('state',)

    def __init__(self, state: AdmissionState) -> None:
        self.state = state

    def run(self, stream: Iterable[RequestContext]) -> Iterator[RequestContext]:
        """Yield every context; the service of refused ones stays empty."""
        for context in stream:
            if context.refusal is None and context.route is not None:
                context.service = self.state.splitter.pick(context.route)
            yield context


def assemble_admission(
    state: AdmissionState, identify_team: IdentifyTeam | None = None
) -> Pipeline:
    """Return the pipeline that requests pass before placement.

    By default a request is of the team whose key it carries.
    """
    return Pipeline(
        CreateContext(state),
        RequireConfiguration(),
        CheckRequest(),
        MatchRoute(state),
        identify_team or IdentifyTeam(state),
        LimitRate(state),
        PickService(state),
    )


def _combine_home_regions(
    route_regions: frozenset[str], team_regions: frozenset[str]
) -> frozenset[str]:
    # If both are limited and have no region in common, the request may run
    # nowhere. An empty set would mean everywhere, so the result is the
    # empty string, which is the region of no target.
    if not route_regions or not team_regions:
        return route_regions | team_regions
    return (route_regions & team_regions) or frozenset(('',))
