"""Count the moves of objects, and log what is learned of them."""

from collections.abc import Mapping

from currantspur.decisions.object_moves import ObjectMoves
from currantspur.decisions.target_state import TargetState
from currantspur.decisions.warm_objects import MAX_WARM_OBJECTS
from currantspur.messages import PlacementRequest
from currantspur.pipelines.placement_state import PlacementState
from currantspur.tasks.journal import Journal

# A learned number is logged when it differs from the logged one by this part.
LOGGED_CHANGE = 0.25


class ObjectJournal:
    """What is known of objects at targets; a part of the dispatcher.

    `logged` is the number of warm objects last logged, by service.
    """

    __slots__ = (
        'journal',
        'logged',
        'moves',
        'placement_state',
        'target_states',
    )

    def __init__(
        self,
        journal: Journal,
        placement_state: PlacementState,
        target_states: Mapping[str, TargetState],
    ) -> None:
        """Read the state of placement and the targets that are listed."""
        self.journal = journal
        self.placement_state = placement_state
        self.target_states = target_states
        self.moves = ObjectMoves()
        self.logged: dict[str, int] = {}

    def count_move(
        self, request: PlacementRequest, chosen: TargetState, at: float
    ) -> None:
        """Count the first attempt of a request if its object moved."""
        object_key = request.object_key
        if object_key is None or request.excluded_targets:
            return
        name = self.moves.find_target(request.service, object_key)
        before = self.target_states.get(name or '')
        self.moves.record(
            object_key,
            chosen,
            is_before_usable=before is not None and self._stays(before),
            at=at,
        )

    def find_fullest(self) -> float:
        """Return the largest share of objects, as a multiple of what is due.

        Of targets in the own region; 1 means that none has more than its due.
        """
        topology = self.placement_state.topology
        return max(
            (
                self.moves.find_fullest(
                    service,
                    (
                        state
                        for state in states
                        if not topology.is_cross_region(
                            state.target.availability_zone
                        )
                    ),
                )
                for service, states in (
                    self.placement_state.states_by_service.items()
                )
            ),
            default=0.0,
        )

    def note_warm_limit(self, service: str) -> None:
        """Log how many objects the targets of a service keep, if it changed."""
        capacity = self.placement_state.warm_capacities.get(service)
        if capacity is None:
            return
        before = self.logged.get(service, MAX_WARM_OBJECTS)
        if abs(capacity.limit - before) >= LOGGED_CHANGE * before:
            self.logged[service] = capacity.limit
            self.journal.note(
                'warm_objects',
                service=service,
                limit=capacity.limit,
                before=before,
                samples=capacity.sample_count,
            )

    def _stays(self, state: TargetState) -> bool:
        zone = state.target.availability_zone
        return not (
            state.target.is_draining
            or self.placement_state.signals.is_leaving(state.target)
            or zone in self.placement_state.evacuated_zones
        )
