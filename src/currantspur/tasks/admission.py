"""Task that checks requests; owns routes, API keys and rate shares."""

from collections import deque
from collections.abc import Iterable, Iterator

from currantspur.decisions.affinity import draw_uniform
from currantspur.decisions.api_key_index import ApiKeyIndex
from currantspur.decisions.rate_meter import RateMeter
from currantspur.decisions.rate_share import (
    RateShare,
    draw_first_tokens,
    find_min_burst,
    is_rate_exceeded,
    share_burst,
    share_rate,
)
from currantspur.decisions.routing import RouteTable
from currantspur.messages import (
    Configuration,
    ConfigurationUpdate,
    FleetView,
    IncomingRequest,
    Message,
    Team,
    TeamDemand,
    Tick,
)
from currantspur.messages.revisions import get_version
from currantspur.messages.route_explanations import (
    AdmissionExplanation,
    AdmissionQuery,
)
from currantspur.pipelines import AdmissionState, assemble_admission
from currantspur.pipelines.route_explanation import explain_admission
from currantspur.tasks.clock import Clock
from currantspur.tasks.journal import Journal
from currantspur.tasks.mailbox import Envelope, log_failure
from currantspur.tasks.startup_hold import StartupHold
from currantspur.tasks.task import Task

# Requests per second and requests in a burst.
RateAndBurst = tuple[float, float]


class AdmissionTask(Task):
    """Run requests through the admission pipeline.

    The reply to an IncomingRequest is its RequestContext, the reply to a Tick
    is the TeamDemand of this instance, the reply to an AdmissionQuery an
    AdmissionExplanation.
    """

    __slots__ = (
        'clock',
        'configuration',
        'exceeded_teams',
        'fleet_view',
        'instance',
        'journal',
        'pipeline',
        'startup_hold',
        'state',
    )

    def __init__(
        self, *, clock: Clock, instance: str, journal: Journal
    ) -> None:
        super().__init__()
        self.clock = clock
        self.instance = instance
        self.journal = journal
        self.startup_hold = StartupHold(clock.now())
        self.state = AdmissionState()
        self.pipeline = assemble_admission(self.state)
        self.configuration = Configuration(version=0)
        self.fleet_view = FleetView(
            live_instances=(),
            fleet_size=1,
            computed_at=clock.now(),
        )
        self.state.team_request_meter = RateMeter(clock.now())
        # Teams that ask for more than their rate.
        self.exceeded_teams: set[str] = set()

    def receive(self, envelopes: Iterable[Envelope]) -> None:
        """Apply updates before checking the requests of the same batch.

        Requests wait for the first configuration, for a short time.
        """
        arrived: list[Envelope] = []
        for envelope in envelopes:
            if isinstance(envelope.message, IncomingRequest):
                arrived.append(envelope)
            else:
                envelope.resolve(self.handle_message)
        due = self.startup_hold.take_due(
            arrived, is_ready=self.state.version > 0, at=self.clock.now()
        )
        unchecked = deque(due)
        while unchecked:
            # Contexts pass one by one: those behind an error are unchecked.
            contexts = self.pipeline.run([each.message for each in unchecked])
            try:
                for context in contexts:
                    unchecked.popleft().set_reply(context)
            except Exception as error:
                log_failure(error)
                unchecked.popleft().fail(error)

    def handle_message(self, message: Message) -> Message | None:
        """Apply an update; return the reply to a Tick or a query, or None."""
        if isinstance(message, ConfigurationUpdate):
            self._apply_configuration(message)
        elif isinstance(message, FleetView):
            self.fleet_view = message
            self._update_rate_shares()
        elif isinstance(message, Tick):
            return self._measure_demand()
        elif isinstance(message, AdmissionQuery):
            return self._explain(message)
        return None

    def _explain(self, query: AdmissionQuery) -> AdmissionExplanation:
        explanation = explain_admission(
            query, self.state, self.configuration.teams
        )
        explanation.is_held = self.startup_hold.is_holding(
            is_ready=self.state.version > 0, at=self.clock.now()
        )
        return explanation

    def _apply_configuration(self, update: ConfigurationUpdate) -> None:
        configuration = update.configuration
        if configuration.version <= self.state.version:
            return
        self.journal.note(
            'version_in_force',
            version=configuration.version,
            before=self.state.version,
            revision=get_version(update.revision),
            age_s=round(self.clock.now() - update.read_at, 3),
            rates=dict(_list_changed_rates(self.configuration, configuration)),
        )
        self.configuration = configuration
        self.state.version = configuration.version
        self.state.max_body_bytes = configuration.limits.max_body_bytes
        self.state.routes = RouteTable(configuration.routes)
        self.state.api_key_index = ApiKeyIndex(configuration.teams)
        limited_teams = {
            team.name for team in configuration.teams if team.rate_per_s > 0
        }
        for name in set(self.state.rate_shares) - limited_teams:
            self.state.rate_shares.pop(name)
        self.exceeded_teams &= limited_teams
        self._update_rate_shares()

    def _update_rate_shares(self) -> None:
        now = self.clock.now()
        for team in self.configuration.teams:
            if team.rate_per_s > 0:
                self._update_rate_share(team, now)

    def _update_rate_share(self, team: Team, now: float) -> None:
        view = self.fleet_view
        own_per_s = view.own_requests_per_s_by_team.get(team.name, 0.0)
        demand_per_s = view.requests_per_s_by_team.get(team.name, 0.0)
        share = share_rate(
            team.rate_per_s,
            own_demand_per_s=own_per_s,
            total_demand_per_s=demand_per_s,
            limit_divisor=view.limit_divisor,
        )
        was_exceeded = team.name in self.exceeded_teams
        is_exceeded = is_rate_exceeded(
            team.rate_per_s, demand_per_s, was_exceeded=was_exceeded
        )
        min_burst = find_min_burst(
            team.burst,
            sender_count=view.sender_count,
            was_exceeded=was_exceeded,
            is_exceeded=is_exceeded,
        )
        rate_share = self.state.rate_shares.get(team.name)
        if rate_share is not None:
            share = rate_share.limit_rise(share, now)
        burst = share_burst(
            team.burst,
            share_per_s=share,
            rate_per_s=team.rate_per_s,
            min_burst=min_burst,
        )
        if rate_share is None:
            rate_share = RateShare(
                share_per_s=share,
                burst=burst,
                at=now,
                initial_tokens=draw_first_tokens(
                    team.burst,
                    share_per_s=share,
                    sender_count=view.sender_count,
                    draw=draw_uniform(team.name, self.instance),
                ),
            )
            self.state.rate_shares[team.name] = rate_share
        if is_exceeded != was_exceeded:
            self.exceeded_teams ^= {team.name}
            self._log_exceeded_rate(team, rate_share, is_exceeded=is_exceeded)
        rate_share.reconfigure(share_per_s=share, burst=burst, at=now)

    def _log_exceeded_rate(
        self, team: Team, rate_share: RateShare, *, is_exceeded: bool
    ) -> None:
        """Log that the demand of a team begins or ceases to exceed its rate.

        The shares and tokens of all instances, as they were until then, add up
        to what the team gets.
        """
        view = self.fleet_view
        bucket = rate_share.bucket
        own_per_s = view.own_requests_per_s_by_team.get(team.name, 0.0)
        demand_per_s = view.requests_per_s_by_team.get(team.name, 0.0)
        self.journal.note(
            'team_rate',
            team=team.name,
            is_exceeded=is_exceeded,
            rate_per_s=team.rate_per_s,
            demand_per_s=round(demand_per_s, 1),
            own_demand_per_s=round(own_per_s, 2),
            share_per_s=round(bucket.rate_per_s, 3),
            burst=round(bucket.burst, 2),
            tokens=round(bucket.tokens, 2),
            limit_divisor=round(view.limit_divisor, 1),
        )

    def _measure_demand(self) -> TeamDemand:
        requests_per_s_by_team = self.state.team_request_meter.update_rates(
            self.clock.now()
        )
        return TeamDemand(requests_per_s_by_team=requests_per_s_by_team)


def _list_changed_rates(
    before: Configuration, after: Configuration
) -> Iterator[tuple[str, RateAndBurst]]:
    rates_before = {
        team.name: (team.rate_per_s, team.burst) for team in before.teams
    }
    for team in after.teams:
        if rates_before.get(team.name) != (team.rate_per_s, team.burst):
            yield team.name, (team.rate_per_s, team.burst)
