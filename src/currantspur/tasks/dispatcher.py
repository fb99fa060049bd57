"""Task that assigns requests to targets; owns the state of all targets."""

from collections.abc import Callable, Iterable
from typing import Any

from currantspur.decisions.evacuated_zones import EvacuatedZones
from currantspur.decisions.listed_targets import (
    group_by_service,
    refresh_states,
)
from currantspur.decisions.retries import RetryBudgets
from currantspur.decisions.target_reports import (
    ReportCollector,
    apply_report,
)
from currantspur.decisions.target_retention import TargetRetention
from currantspur.decisions.target_state import TargetState
from currantspur.decisions.topology import Topology
from currantspur.messages import (
    Assignment,
    Configuration,
    ConfigurationUpdate,
    EvacuationsUpdate,
    FleetView,
    Message,
    PeerReports,
    PlacementRequest,
    Refusal,
    ResponseStarted,
    ServiceLoad,
    TargetRelease,
    TargetsUpdate,
    Tick,
    fields,
)
from currantspur.messages.limits import FleetLimits
from currantspur.messages.revisions import get_version
from currantspur.pipelines.assignment import (
    admit_attempt,
    assign,
    find_candidate,
)
from currantspur.pipelines.placement_refusals import refuse_placement
from currantspur.pipelines.placement_state import PlacementState
from currantspur.pipelines.target_outcomes import record_outcome
from currantspur.tasks.clock import Clock
from currantspur.tasks.journal import Journal
from currantspur.tasks.mailbox import Envelope
from currantspur.tasks.object_journal import ObjectJournal
from currantspur.tasks.overload_log import log_admitted_shares
from currantspur.tasks.placement_queries import PlacementQueries
from currantspur.tasks.signal_recorder import SignalRecorder
from currantspur.tasks.startup_hold import StartupHold
from currantspur.tasks.task import Task

# Names in one line of the log.
MAX_LOGGED_NAMES = 20


class Dispatcher(Task):
    """Choose a target for each attempt and learn from its outcome.

    The reply to a PlacementRequest is an Assignment or a Refusal, the reply to
    a Tick is the ServiceLoad of this instance, the reply to a PlacementQuery a
    PlacementExplanation.
    """

    __slots__ = (
        'clock',
        'configuration',
        'evacuated_zones',
        'handlers',
        'journal',
        'limits',
        'object_journal',
        'placement_queries',
        'placement_state',
        'report_collector',
        'retry_budgets',
        'signal_recorder',
        'startup_hold',
        'target_retention',
        'target_states',
        'targets_revision',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        topology: Topology,
        limits: FleetLimits,
        journal: Journal,
        instance: str = '',
    ) -> None:
        super().__init__()
        self.clock = clock
        self.limits = limits
        self.journal = journal
        self.startup_hold = StartupHold(clock.now())
        self.placement_state = PlacementState(
            topology, shift_cap=limits.shift_cap, instance_name=instance
        )
        self.placement_queries = PlacementQueries(
            self.placement_state, self.startup_hold
        )
        self.report_collector = ReportCollector()
        self.target_retention = TargetRetention()
        self.evacuated_zones = EvacuatedZones()
        self.targets_revision = -1
        self.target_states: dict[str, TargetState] = {}
        self.object_journal = ObjectJournal(
            journal, self.placement_state, self.target_states
        )
        self.signal_recorder = SignalRecorder(
            journal, self.placement_state.signals, self.target_states
        )
        self.retry_budgets = RetryBudgets(limits)
        self.configuration = Configuration(version=0)
        self.handlers: dict[type[Message], Callable[[Any], Message | None]] = {
            ConfigurationUpdate: self._apply_configuration,
            EvacuationsUpdate: self._apply_evacuations,
            FleetView: self._apply_fleet_view,
            PeerReports: self._apply_peer_reports,
            ResponseStarted: self._record_signals,
            TargetRelease: self._record_release,
            TargetsUpdate: self._apply_targets,
            Tick: self._measure_load,
        }

    def receive(self, envelopes: Iterable[Envelope]) -> None:
        """Apply updates before choosing targets for the same batch.

        Requests wait for the first targets, for a short time.
        """
        arrived: list[Envelope] = []
        for envelope in self.placement_queries.take_from(envelopes):
            if isinstance(envelope.message, PlacementRequest):
                arrived.append(envelope)
            else:
                envelope.resolve(self.handle_message)
        now = self.clock.now()
        if self.target_retention.has_expired(now):
            self._refresh_targets()
        if self.evacuated_zones.has_expired(now):
            self._refresh_evacuations()
        self.placement_queries.answer(now)
        for due in self.startup_hold.take_due(
            arrived, is_ready=bool(self.target_states), at=now
        ):
            due.resolve(self._assign)

    def handle_message(self, message: Message) -> Message | None:
        """Apply an update or a release, or return the reply to a Tick.

        Ignore other types of messages.
        """
        handler = self.handlers.get(type(message))
        return handler(message) if handler else None

    def _measure_load(self, _tick: Tick) -> ServiceLoad:
        now = self.clock.now()
        spillover = self.placement_state.spillover
        return ServiceLoad(
            busy_slots_by_service=spillover.measure_busy_slots(now),
            busy_slots_by_rank=(
                self.placement_state.rank_demand.measure_busy_slots(now)
            ),
            target_reports=self.report_collector.take_reports(),
            target_notices=self.signal_recorder.list_notices(now),
            requests_per_s_by_target=(
                self.placement_state.target_limits.measure_demand(
                    (state.target for state in self.target_states.values()), now
                )
            ),
        )

    def _apply_peer_reports(self, message: PeerReports) -> None:
        now = self.clock.now()
        self.signal_recorder.record_notices(
            message.notices, source=message.source, at=now
        )
        for report in message.reports:
            state = self.target_states.get(report.target)
            if state is not None:
                apply_report(state, report, now)

    def _assign(self, request: PlacementRequest) -> Assignment | Refusal:
        now = self.clock.now()
        refusal = admit_attempt(
            request, self.placement_state, self.retry_budgets, now
        )
        if refusal is not None:
            return refusal
        candidate = find_candidate(request, self.placement_state, now)
        if candidate is None:
            return refuse_placement(request, self.placement_state, now)
        self.object_journal.count_move(request, candidate.state, now)
        return assign(request, candidate, self.placement_state, now)

    def _record_signals(
        self, response: TargetRelease | ResponseStarted
    ) -> None:
        self.signal_recorder.record_response(
            response.assignment, response.signals, self.clock.now()
        )

    def _record_release(self, release: TargetRelease) -> None:
        assignment = release.assignment
        now = self.clock.now()
        self._record_signals(release)
        state = self.target_states.get(assignment.target.name)
        if state is None:
            return
        state.own_in_flight = max(0, state.own_in_flight - 1)
        if release.load is not None:
            state.update_load(release.load, now)
            self.report_collector.record(release)
        record_outcome(release, state, self.placement_state, now)
        self.object_journal.note_warm_limit(state.target.service)

    def _apply_configuration(self, update: ConfigurationUpdate) -> None:
        configuration = update.configuration
        if configuration.version <= self.configuration.version:
            return
        self.configuration = configuration
        self.placement_state.rank_demand.configure(configuration)
        self.placement_state.target_limits.cold_per_s_by_service = {
            service.name: service.cold_requests_per_s
            for service in configuration.services
        }
        self.retry_budgets.retain_only(
            {service.name for service in configuration.services}
        )

    def _apply_evacuations(self, update: EvacuationsUpdate) -> None:
        self.evacuated_zones.update(update)
        self._refresh_evacuations()

    def _refresh_evacuations(self) -> None:
        now = self.clock.now()
        before = self.placement_state.evacuated_zones
        zones = self.evacuated_zones.current(now)
        self.placement_state.evacuated_zones = zones
        if before == zones:
            return
        self.journal.note(
            'evacuations',
            availability_zones=sorted(zones),
            before=sorted(before),
            revision=get_version(self.evacuated_zones.revision),
        )
        cold_start_s_by_service = {
            service.name: service.cold_start_s
            for service in self.configuration.services
        }
        for state in self.target_states.values():
            # Zones that stay evacuated are included; they are marked again when
            # their evacuation ends.
            if state.target.availability_zone in before:
                state.mark_cold(
                    cold_start_s_by_service.get(state.target.service, 0.0), now
                )

    def _apply_targets(self, update: TargetsUpdate) -> None:
        newly_retained = self.target_retention.update(update)
        if newly_retained:
            self.journal.note(
                'targets_retained',
                targets=newly_retained[:MAX_LOGGED_NAMES],
                count=len(newly_retained),
                revision=get_version(update.revision),
                outage_ended_s_ago=round(
                    update.read_at - update.outage_ended_at, 3
                ),
            )
        self.targets_revision = update.revision
        self._refresh_targets()

    def _refresh_targets(self) -> None:
        now = self.clock.now()
        current_targets = self.target_retention.current(now)
        self.placement_state.signals.forget_unlisted(current_targets, now)
        change = refresh_states(self.target_states, current_targets, now)
        self.placement_state.set_targets(group_by_service(self.target_states))
        self.placement_state.plan_spillover(now)
        if change.removed_names or change.new_count:
            self.journal.note(
                'targets',
                revision=get_version(self.targets_revision),
                known=len(current_targets),
                new=change.new_count,
                gone=sorted(change.removed_names),
                lapsed=len(self.target_retention.retained),
            )

    def _apply_fleet_view(self, view: FleetView) -> None:
        self.placement_state.target_limits.update_view(view)
        self._plan_spillover(view)
        log_admitted_shares(
            self.journal,
            self.placement_state.update_overload(
                view.busy_slots_by_rank, self.clock.now()
            ),
        )
        self.retry_budgets.update_limit_divisor(
            limit_divisor=view.limit_divisor, at=view.computed_at
        )

    def _plan_spillover(self, view: FleetView) -> None:
        planner = self.placement_state.spillover
        own_region_instances = [
            instance
            for instance in view.caller_instances
            if instance.region == planner.region
        ]
        regions = set(self.placement_state.topology.region_by_zone.values())
        # Just after a start only the size of the fleet is known.
        planner.set_instance_count(
            max(
                len(own_region_instances),
                round(view.sender_count / max(1, len(regions))),
            )
        )
        planner.busy_slots_by_region = view.busy_slots_by_region
        self.placement_state.plan_spillover(self.clock.now())
        for plan in planner.list_changed_plans():
            self.journal.note('spill_planned', **dict(fields(plan)))
