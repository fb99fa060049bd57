"""Admit requests: route, deadline, freshness, team by key, rate."""

from collections.abc import Iterable, Iterator

from currantspur.decisions.bucket import Bucket
from currantspur.decisions.freshness import Freshness
from currantspur.decisions.identity import KeyRing
from currantspur.decisions.routing import RouteTable
from currantspur.messages import Arrival, Passage, Refusal, name_team_limit
from currantspur.pipelines.filter import Filter, Gate, Pipeline


class AdmissionState:
    """Hold what the admission filters read; one task owns it."""

    __slots__ = ('buckets', 'freshness', 'keys', 'routes', 'version')

    def __init__(self, *, freshness: Freshness) -> None:
        self.version = 0
        self.freshness = freshness
        self.routes = RouteTable(())
        self.keys = KeyRing(())
        self.buckets: dict[str, Bucket] = {}


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
        if state.freshness.is_fresh(passage.arrival.at, version=state.version):
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


class SpendRate(Gate):
    """Spend a token of this instance's part of the team's rate."""

    __slots__ = ('state',)

    def __init__(self, state: AdmissionState) -> None:
        self.state = state

    def judge(self, passage: Passage) -> Refusal | None:
        """Refuse when the part is used up."""
        if passage.team is None:
            return None
        bucket = self.state.buckets.get(name_team_limit(passage.team))
        if bucket is not None and bucket.spend(passage.arrival.at):
            return None
        return Refusal(
            code='rate_exceeded',
            detail='the rate of the team is used up',
            retry_after_s=bucket.wait_s() if bucket else None,
        )


def assemble_admission(state: AdmissionState) -> Pipeline:
    """Join the filters that every request passes before it gets a slot."""
    return Pipeline(
        Receive(),
        MatchRoute(state),
        ProveFreshness(state),
        IdentifyTeam(state),
        SpendRate(state),
    )
