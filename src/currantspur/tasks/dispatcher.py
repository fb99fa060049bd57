"""Own what is known of the targets and give requests to them."""

from collections.abc import Callable, Iterable
from typing import Any

from currantspur.decisions.retries import RetryBudgets
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
    PlacementRequest,
    Refusal,
    Target,
    TargetRelease,
    TargetsUpdate,
    Tick,
    fields,
)
from currantspur.messages.limits import FleetLimits
from currantspur.pipelines.placement import (
    PlacementState,
    choose_target,
    cold_bucket,
    list_eligible,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.journal import Journal
from currantspur.tasks.mailbox import Envelope
from currantspur.tasks.task import Task

# Callers come back when a queue has moved on by a few requests.
FULL_RETRY_AFTER_S = 0.3
# A service without targets gets them back in seconds, not sooner.
NO_TARGET_RETRY_AFTER_S = 0.5
MIN_WORK_S = 0.001
# What counts against a target, and what tells of a fault near it.
FAILURE_OUTCOMES = frozenset(
    ('erred', 'failed', 'late', 'moved', 'unreachable')
)
NEARBY_FAULT_OUTCOMES = frozenset(('failed', 'moved', 'unreachable'))
# What tells that a target is not there.
ABSENCE_OUTCOMES = frozenset(('moved', 'unreachable'))


class Dispatcher(Task):
    """Choose a target for each request and learn from how it went."""

    __slots__ = (
        'clock',
        'configuration',
        'handlers',
        'journal',
        'limits',
        'placement_state',
        'retry_budgets',
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
        self.placement_state = PlacementState(
            topology, shift_cap=limits.shift_cap, instance=instance
        )
        self.target_retention = TargetRetention()
        self.targets_revision = -1
        self.target_states: dict[str, TargetState] = {}
        self.retry_budgets = RetryBudgets(limits)
        self.configuration = Configuration(version=0)
        self.handlers: dict[type[Message], Callable[[Any], None]] = {
            ConfigurationUpdate: self._apply,
            EvacuationsUpdate: self._evacuate,
            FleetView: self._resize,
            TargetRelease: self._release,
            TargetsUpdate: self._list_targets,
        }

    def receive(self, envelopes: Iterable[Envelope]) -> None:
        """Learn first, then choose."""
        waiting: list[tuple[Envelope, PlacementRequest]] = []
        for envelope in envelopes:
            message = envelope.message
            if isinstance(message, PlacementRequest):
                waiting.append((envelope, message))
            elif isinstance(message, Tick):
                work = self.placement_state.spillover.measure_busy_slots(
                    self.clock.now()
                )
                envelope.set_reply(work)
            else:
                self.handle_message(message)
        for envelope, request in waiting:
            self._choose(envelope, request)

    def handle_message(self, message: Message) -> None:
        """Apply what a message says."""
        handle = self.handlers.get(type(message))
        if handle is not None:
            handle(message)

    def _choose(self, envelope: Envelope, request: PlacementRequest) -> None:
        if envelope.reply_future is None or envelope.reply_future.done():
            return
        now = self.clock.now()
        envelope.set_reply(self._assign(request, now))

    def _assign(
        self, request: PlacementRequest, now: float
    ) -> Assignment | Refusal:
        budget = self.retry_budgets.get_or_create(request.service)
        if request.attempt_number and not budget.try_consume(now):
            return Refusal(code='no_room', detail='no repeat is left')
        if not request.attempt_number:
            budget.record_request()
        chosen = choose_target(request, self.placement_state, now)
        if not request.attempt_number:
            self.placement_state.record_request(request, now)
        if chosen is None:
            return self._refuse(request)
        state = chosen.state
        state.own_in_flight += 1
        self.placement_state.spillover.shift_limiter(
            request.service
        ).record_sent(
            is_cross_region=self.placement_state.is_cross_region(chosen)
        )
        if not chosen.is_warm:
            state.warmup_at = now
        if state.is_cold(now):
            cold_bucket(state, self.placement_state, now).try_consume(now)
        return Assignment(
            request=request,
            target=state.target,
            assigned_at=now,
            expected_s=chosen.expected_s,
            is_warm=chosen.is_warm,
            had_free_slot=chosen.is_free,
        )

    def _refuse(self, request: PlacementRequest) -> Refusal:
        if any(list_eligible(request, self.placement_state)):
            return Refusal(
                code='no_room',
                detail='every target that may run it is full',
                retry_after_s=FULL_RETRY_AFTER_S,
            )
        return Refusal(
            code='no_target',
            detail='no target may run it',
            retry_after_s=NO_TARGET_RETRY_AFTER_S,
        )

    def _release(self, release: TargetRelease) -> None:
        assignment = release.assignment
        state = self.target_states.get(assignment.target.name)
        if state is None:
            return
        now = self.clock.now()
        state.own_in_flight = max(0, state.own_in_flight - 1)
        if release.load is not None:
            state.update_load(release.load, now)
        if release.outcome == 'answered':
            state.record_success(now, assignment.request.object_key)
            self._measure(state, assignment, now)
        elif release.outcome == 'shed':
            state.record_rejection(now)
        elif release.outcome in FAILURE_OUTCOMES:
            self._note_disturbance(release, state, now)
            is_absence = release.outcome in ABSENCE_OUTCOMES
            (state.record_absence if is_absence else state.record_failure)(now)

    def _note_disturbance(
        self, release: TargetRelease, state: TargetState, now: float
    ) -> None:
        # A target with a long queue is late, errs and resets connections too:
        # an overload may not move requests at once.
        is_near = not self.placement_state.topology.is_cross_region(
            state.target.availability_zone
        )
        is_idle = state.in_flight(now) < state.target.slots
        if is_near and is_idle and release.outcome in NEARBY_FAULT_OUTCOMES:
            service = state.target.service
            self.placement_state.spillover.shift_limiter(service).record_fault(
                now
            )

    def _measure(
        self, state: TargetState, assignment: Assignment, now: float
    ) -> None:
        if not assignment.had_free_slot:
            return
        zone = assignment.target.availability_zone
        trip_s = self.placement_state.topology.round_trip_s(zone)
        took_s = max(MIN_WORK_S, now - assignment.assigned_at - trip_s)
        times = self.placement_state.work_times_for(assignment.request)
        # Another instance may have warmed up the target.
        is_warm = assignment.is_warm or times.looks_warm(took_s)
        expected_s = times.expected_work_s(is_warm=is_warm)
        times.update(took_s, is_warm=is_warm)
        state.record_latency_ratio(took_s / expected_s, now)

    def _apply(self, seen: ConfigurationUpdate) -> None:
        configuration = seen.configuration
        if configuration.version <= self.configuration.version:
            return
        self.configuration = configuration
        self.placement_state.cold_rates = {
            service.name: service.cold_requests_per_s
            for service in configuration.services
        }
        self.retry_budgets.retain_only(
            {one.name for one in configuration.services}
        )

    def _evacuate(self, seen: EvacuationsUpdate) -> None:
        before = self.placement_state.evacuated_zones
        self.placement_state.evacuated_zones = seen.availability_zones
        if before == seen.availability_zones:
            return
        now = self.clock.now()
        self.journal.note(
            'evacuations',
            availability_zones=sorted(seen.availability_zones),
            before=sorted(before),
            revision=seen.revision,
        )
        cold = {
            one.name: one.cold_start_s for one in self.configuration.services
        }
        for state in self.target_states.values():
            if state.target.availability_zone in before:
                state.mark_cold(cold.get(state.target.service, 0.0), now)

    def _list_targets(self, seen: TargetsUpdate) -> None:
        self.target_retention.update(seen)
        self.targets_revision = seen.revision
        self._renew()

    def _renew(self) -> None:
        now = self.clock.now()
        current = self.target_retention.current(now)
        gone = set(self.target_states) - set(current)
        for name in gone:
            self.target_states.pop(name)
        fresh = [self._learn_target(one, now) for one in current.values()]
        by_service: dict[str, list[TargetState]] = {}
        for state in self.target_states.values():
            by_service.setdefault(state.target.service, []).append(state)
        self.placement_state.states_by_service = by_service
        self.placement_state.plan_spill(now)
        if gone or any(fresh):
            self.journal.note(
                'targets',
                revision=self.targets_revision,
                known=len(current),
                new=sum(fresh),
                gone=sorted(gone),
                lapsed=len(self.target_retention.retained),
            )

    def _learn_target(self, target: Target, now: float) -> bool:
        state = self.target_states.get(target.name)
        if state is not None:
            state.update_target(target, now)
            return False
        has_joined = any(
            other.target.service == target.service and other.warm_keys
            for other in self.target_states.values()
        )
        self.target_states[target.name] = TargetState(
            target, now, has_joined=has_joined
        )
        return True

    def _resize(self, view: FleetView) -> None:
        self.placement_state.fleet_size = max(1, view.fleet_size)
        self._plan_spill(view)
        self.retry_budgets.update_fleet_size(
            fleet_size=view.fleet_size, at=view.computed_at
        )
        # Heartbeats come often enough to notice that a time is over.
        if (
            self.target_retention.retained
            and self.clock.now() > self.target_retention.retain_until
        ):
            self._renew()

    def _plan_spill(self, view: FleetView) -> None:
        spill = self.placement_state.spillover
        near = [
            one for one in view.live_instances if one.region == spill.region
        ]
        spill.regional_size = max(1, len(near))
        spill.busy_slots_by_region = view.busy_slots_by_region
        self.placement_state.plan_spill(self.clock.now())
        for plan in spill.list_changes():
            self.journal.note('spill_planned', **dict(fields(plan)))
