"""Admit requests: route, team by key, service, time, rate."""

from collections.abc import Iterable, Iterator

from currantspur.decisions.demand import RateMeter
from currantspur.decisions.identity import ApiKeyIndex
from currantspur.decisions.rate_share import RateShare
from currantspur.decisions.routing import RouteTable
from currantspur.decisions.splitting import Splitter
from currantspur.messages import IncomingRequest, Refusal, RequestContext
from currantspur.pipelines.filter import AdmissionCheck, Filter, Pipeline

# Callers of an instance that knows no configuration yet come back soon: it
# reads one within a few round trips to the store.
NOT_READY_RETRY_AFTER_S = 0.3
MIN_RETRY_AFTER_S = 0.05


class AdmissionState:
    """Hold what the admission filters read; one task owns it."""

    __slots__ = (
        'demand_meter',
        'keys',
        'max_body_bytes',
        'rate_shares',
        'routes',
        'splitter',
        'version',
    )

    def __init__(self) -> None:
        self.version = 0
        self.max_body_bytes = 0
        self.routes = RouteTable()
        self.keys = ApiKeyIndex()
        self.splitter = Splitter()
        self.rate_shares: dict[str, RateShare] = {}
        self.demand_meter = RateMeter(0.0)


class Receive(Filter[IncomingRequest, RequestContext]):
    """Open a context for each request."""

    __slots__ = ('state',)

    def __init__(self, state: AdmissionState) -> None:
        self.state = state

    def run(
        self, stream: Iterable[IncomingRequest]
    ) -> Iterator[RequestContext]:
        """Yield a context for each request."""
        for request in stream:
            context = RequestContext(request=request)
            context.configuration_version = self.state.version
            context.max_body_bytes = self.state.max_body_bytes
            yield context


class RequireConfiguration(AdmissionCheck):
    """Refuse everything until a configuration is known."""

    __slots__ = ()

    def check(self, context: RequestContext) -> Refusal | None:
        """Say when to come back."""
        if not context.configuration_version:
            return Refusal(
                code='not_ready',
                detail='this instance knows no configuration yet',
                retry_after_s=NOT_READY_RETRY_AFTER_S,
            )
        return None


class MatchRoute(AdmissionCheck):
    """Find the route and set the deadline."""

    __slots__ = ('state',)

    def __init__(self, state: AdmissionState) -> None:
        self.state = state

    def check(self, context: RequestContext) -> Refusal | None:
        """Refuse paths without a route and deadlines already passed."""
        request = context.request
        route = self.state.routes.match(request.host, request.path)
        if route is None:
            return Refusal(code='route_unknown', detail='no route for the path')
        context.route = route
        context.home_regions = route.home_regions
        budget_s = route.timeout_s
        if request.timeout_s is not None:
            budget_s = min(budget_s, request.timeout_s)
        context.deadline = request.received_at + budget_s
        if budget_s <= 0:
            return Refusal(code='deadline_passed', detail='no time is left')
        return None


class IdentifyTeam(AdmissionCheck):
    """Find the team of the key on keyed routes; drop the key."""

    __slots__ = ('state',)

    def __init__(self, state: AdmissionState) -> None:
        self.state = state

    def check(self, context: RequestContext) -> Refusal | None:
        """Refuse missing, unknown and withdrawn keys."""
        request = context.request
        key = request.api_key
        request.api_key = None
        route = context.route
        if (
            route is None
            or route.allows_anonymous
            or not self.state.keys.by_digest
        ):
            return None
        team = self.state.keys.find(key)
        if team is None:
            return Refusal(
                code='key_unknown', detail='the key is unknown or withdrawn'
            )
        context.team = team.name
        context.home_regions = _join_homes(
            context.home_regions, team.home_regions
        )
        return None


class LimitRate(AdmissionCheck):
    """Take one request of this instance's part of the team's rate."""

    __slots__ = ('state',)

    def __init__(self, state: AdmissionState) -> None:
        self.state = state

    def check(self, context: RequestContext) -> Refusal | None:
        """Refuse when the part is used up, with the time to wait."""
        team = context.team
        if team is None:
            return None
        self.state.demand_meter.count(team)
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
    """Pick the service by the weights of the route."""

    __slots__ = ('state',)

    def __init__(self, state: AdmissionState) -> None:
        self.state = state

    def run(self, stream: Iterable[RequestContext]) -> Iterator[RequestContext]:
        """Yield every context; those admitted have a service."""
        for context in stream:
            if context.refusal is None and context.route is not None:
                context.service = self.state.splitter.pick(context.route)
            yield context


def assemble_admission(state: AdmissionState) -> Pipeline:
    """Join the filters that every request passes before it gets a target."""
    return Pipeline(
        Receive(state),
        RequireConfiguration(),
        MatchRoute(state),
        IdentifyTeam(state),
        LimitRate(state),
        PickService(state),
    )


def _join_homes(ours: frozenset[str], theirs: frozenset[str]) -> frozenset[str]:
    # Where both bind, a request with no region in common runs nowhere: an
    # empty set would mean everywhere.
    if not ours or not theirs:
        return ours | theirs
    return (ours & theirs) or frozenset(('',))
