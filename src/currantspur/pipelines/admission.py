"""Admit requests: route, deadline, freshness, team by key, limits."""

from collections.abc import Iterable, Iterator

from currantspur.decisions.freshness import Freshness
from currantspur.decisions.holdings import Holdings
from currantspur.decisions.identity import KeyRing
from currantspur.decisions.routing import RouteTable
from currantspur.messages import (
    Arrival,
    Passage,
    Refusal,
    name_region_limit,
    name_team_limit,
)
from currantspur.pipelines.filter import Filter, Gate, Pipeline


class AdmissionState:
    """Hold what the admission filters read; one task owns it."""

    __slots__ = (
        'freshness',
        'holdings',
        'keys',
        'region',
        'routes',
        'version',
    )

    def __init__(self, *, freshness: Freshness) -> None:
        self.version = 0
        self.freshness = freshness
        self.routes = RouteTable(())
        self.keys = KeyRing(())
        self.region: str | None = None
        self.holdings = Holdings()

    def is_current(self, at: float) -> bool:
        """Tell whether keys and parts are proven to be the newest."""
        return self.holdings.version >= self.version and (
            self.freshness.is_fresh(at, version=self.version)
        )


class Receive(Filter[Arrival, Passage]):
    """Open a passage for each arrival."""

    __slots__ = ()

    def run(self, stream: Iterable[Arrival]) -> Iterator[Passage]:
        """Yield a passage for each arrival."""
        for arrival in stream:
            yield Passage(arrival=arrival)


class MatchRoute(Gate):
    """Find the route and set the deadline."""

    __slots__ = ('state',)

    def __init__(self, state: AdmissionState) -> None:
        self.state = state

    def judge(self, passage: Passage) -> Refusal | None:
        """Refuse paths without a route and deadlines already passed."""
        arrival = passage.arrival
        passage.route = self.state.routes.match(arrival.path)
        if passage.route is None:
            return Refusal(code='route_unknown', detail='no route for the path')
        latest = arrival.at + passage.route.deadline_s
        passage.deadline = min(arrival.deadline or latest, latest)
        if passage.deadline <= arrival.at:
            return Refusal(code='deadline_passed', detail='no time is left')
        return None


class ProveFreshness(Gate):
    """Refuse keyed requests while the version in force is not proven."""

    __slots__ = ('state',)

    def __init__(self, state: AdmissionState) -> None:
        self.state = state

    def judge(self, passage: Passage) -> Refusal | None:
        """Let open routes and fresh instances go on."""
        state = self.state
        if passage.route is None or passage.route.access == 'open':
            return None
        if state.is_current(passage.arrival.at):
            return None
        return Refusal(
            code='not_fresh',
            detail='this instance cannot prove that its keys are current',
            retry_after_s=1.0,
        )


class IdentifyTeam(Gate):
    """Find the team of the key on keyed routes."""

    __slots__ = ('state',)

    def __init__(self, state: AdmissionState) -> None:
        self.state = state

    def judge(self, passage: Passage) -> Refusal | None:
        """Refuse missing, unknown and withdrawn keys; drop the key."""
        arrival = passage.arrival
        key = arrival.key
        arrival.key = None
        if passage.route is None or passage.route.access == 'open':
            return None
        if key is None:
            return Refusal(code='key_missing', detail='the route needs a key')
        found = self.state.keys.find(key)
        if found is None:
            return Refusal(
                code='key_unknown', detail='the key is unknown or withdrawn'
            )
        passage.team = found.team
        passage.key_id = found.key_id
        return None


class SpendLimits(Gate):
    """Spend a token of this instance's part of each limit, or of none."""

    __slots__ = ('state',)

    def __init__(self, state: AdmissionState) -> None:
        self.state = state

    def judge(self, passage: Passage) -> Refusal | None:
        """Refuse when a part is used up."""
        holdings = self.state.holdings
        at = passage.arrival.at
        limits = list_limits_of(self.state, passage)
        for limit in limits:
            if holdings.count(limit, at) < 1:
                return _refuse(passage, limit, holdings.wait_s(limit))
        for limit in limits:
            holdings.spend(limit, at)
        return None


def list_limits_of(state: AdmissionState, passage: Passage) -> list[str]:
    """Return the limits that a request spends of, its team's first."""
    limits = []
    if passage.team is not None:
        limits.append(name_team_limit(passage.team))
    if state.region is not None:
        limits.append(name_region_limit(state.region))
    return limits


def find_short_limit(state: AdmissionState, passage: Passage) -> str | None:
    """Return the limit for which a request was refused."""
    code = passage.refusal.code if passage.refusal else None
    limits = list_limits_of(state, passage)
    short = {'rate_exceeded': limits[:1], 'region_full': limits[-1:]}
    return next(iter(short.get(code or '', ())), None)


def assemble_admission(state: AdmissionState) -> Pipeline:
    """Join the filters that every request passes before it gets a slot."""
    return Pipeline(
        Receive(),
        MatchRoute(state),
        ProveFreshness(state),
        IdentifyTeam(state),
        SpendLimits(state),
    )


def assemble_spending(state: AdmissionState) -> Pipeline:
    """Join the filters that a request passes again after it waited."""
    return Pipeline(ProveFreshness(state), SpendLimits(state))


def _refuse(passage: Passage, limit: str, wait_s: float | None) -> Refusal:
    if passage.team is not None and limit == name_team_limit(passage.team):
        return Refusal(
            code='rate_exceeded',
            detail='the rate of the team is used up',
            retry_after_s=wait_s,
        )
    return Refusal(
        code='region_full',
        detail='the region takes no more requests now',
        retry_after_s=wait_s,
    )
