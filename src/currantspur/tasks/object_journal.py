"""Log what is learned of the objects at targets, when it changes."""

from currantspur.decisions.warm_objects import MAX_WARM_OBJECTS
from currantspur.pipelines.placement_state import PlacementState
from currantspur.tasks.journal import Journal

# A learned number is logged when it differs from the logged one by this part.
LOGGED_CHANGE = 0.25


class ObjectJournal:
    """Log changes of the objects that targets keep; a part of the dispatcher.

    `logged` is the number last logged, by service.
    """

    __slots__ = ('journal', 'logged', 'placement_state')

    def __init__(
        self, journal: Journal, placement_state: PlacementState
    ) -> None:
        self.journal = journal
        self.placement_state = placement_state
        self.logged: dict[str, int] = {}

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
