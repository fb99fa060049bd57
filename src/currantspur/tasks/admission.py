"""Own the admission state: routes, keys and parts of the teams' rates."""

from collections.abc import Iterable, Iterator

from currantspur.decisions.demand import RateMeter
from currantspur.decisions.identity import ApiKeyIndex
from currantspur.decisions.rate_share import RateShare, share_rate
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
from currantspur.pipelines import AdmissionState, assemble_admission
from currantspur.tasks.clock import Clock
from currantspur.tasks.journal import Journal
from currantspur.tasks.mailbox import Envelope
from currantspur.tasks.task import Task

RateAndBurst = tuple[float, float]


class AdmissionTask(Task):
    """Run requests through the admission pipeline."""

    __slots__ = (
        'clock',
        'configuration',
        'fleet_view',
        'instance',
        'journal',
        'pipeline',
        'state',
    )

    def __init__(
        self, *, clock: Clock, instance: str, journal: Journal
    ) -> None:
        super().__init__()
        self.clock = clock
        self.instance = instance
        self.journal = journal
        self.state = AdmissionState()
        self.pipeline = assemble_admission(self.state)
        self.configuration = Configuration(version=0)
        self.fleet_view = FleetView(
            live_instances=(),
            fleet_size=1,
            requests_per_s_by_instance={},
            computed_at=clock.now(),
        )
        self.state.demand_meter = RateMeter(clock.now())

    def receive(self, envelopes: Iterable[Envelope]) -> None:
        """Apply what was learnt first, then check the requests."""
        arrived: list[Envelope] = []
        for envelope in envelopes:
            if isinstance(envelope.message, IncomingRequest):
                arrived.append(envelope)
            else:
                envelope.set_reply(self.handle_message(envelope.message))
        requests = [envelope.message for envelope in arrived]
        contexts = self.pipeline.run(requests)
        for envelope, context in zip(arrived, contexts, strict=True):
            envelope.set_reply(context)

    def handle_message(self, message: Message) -> Message | None:
        """Apply what a message says and return the answer, if it has one."""
        if isinstance(message, ConfigurationUpdate):
            self._apply(message)
        elif isinstance(message, FleetView):
            self.fleet_view = message
            self._share()
        elif isinstance(message, Tick):
            return self._measure()
        return None

    def _apply(self, seen: ConfigurationUpdate) -> None:
        configuration = seen.configuration
        if configuration.version <= self.state.version:
            return
        self.journal.note(
            'version_in_force',
            version=configuration.version,
            before=self.state.version,
            revision=seen.revision,
            age_s=round(self.clock.now() - seen.read_at, 3),
            rates=dict(_list_new_rates(self.configuration, configuration)),
        )
        self.configuration = configuration
        self.state.version = configuration.version
        self.state.max_body_bytes = configuration.limits.max_body_bytes
        self.state.routes = RouteTable(configuration.routes)
        self.state.keys = ApiKeyIndex(configuration.teams)
        limited = {
            team.name for team in configuration.teams if team.rate_per_s > 0
        }
        for name in set(self.state.rate_shares) - limited:
            self.state.rate_shares.pop(name)
        self._share()

    def _share(self) -> None:
        now = self.clock.now()
        for team in self.configuration.teams:
            if team.rate_per_s > 0:
                self._share_team(team, now)

    def _share_team(self, team: Team, now: float) -> None:
        demand = {
            name: by_team.get(team.name, 0.0)
            for name, by_team in (
                self.fleet_view.requests_per_s_by_instance.items()
            )
        }
        share = share_rate(
            team.rate_per_s,
            demand,
            self.instance,
            fleet_size=self.fleet_view.fleet_size,
        )
        rate_share = self.state.rate_shares.get(team.name)
        if rate_share is None:
            self.state.rate_shares[team.name] = RateShare(
                team_rate_per_s=team.rate_per_s,
                team_burst=team.burst,
                share=share,
                at=now,
            )
        else:
            rate_share.reconfigure(
                rate=team.rate_per_s, burst=team.burst, share=share, at=now
            )

    def _measure(self) -> TeamDemand:
        by_team = self.state.demand_meter.update_rates(self.clock.now())
        return TeamDemand(requests_per_s_by_team=by_team)


def _list_new_rates(
    before: Configuration, after: Configuration
) -> Iterator[tuple[str, RateAndBurst]]:
    known = {team.name: (team.rate_per_s, team.burst) for team in before.teams}
    for team in after.teams:
        if known.get(team.name) != (team.rate_per_s, team.burst):
            yield team.name, (team.rate_per_s, team.burst)
