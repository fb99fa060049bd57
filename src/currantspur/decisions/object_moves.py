"""Count the objects that change their target, and how even their shares are."""

from collections import Counter, OrderedDict
from collections.abc import Iterable
from enum import StrEnum

from currantspur.decisions.target_state import TargetState

# The newest objects of all services; enough for shares that mean something.
MAX_OBJECTS = 2048


class MoveCause(StrEnum):
    """Why an object changed its target."""

    # The new target is joining.
    JOINED = 'joined'
    # The target before is leaving or no longer listed.
    LEFT = 'left'
    # The target before is busy, slow or failing, or no longer is.
    OVERLOAD = 'overload'


class ObjectMoves:
    """The target to which this instance sent each object last.

    `count_by_cause` has the moves since the instance started.
    """

    __slots__ = ('count_by_cause', 'target_by_object')

    def __init__(self) -> None:
        self.count_by_cause: Counter[MoveCause] = Counter()
        # By service and object; the least recently used first.
        self.target_by_object: OrderedDict[tuple[str, str], str] = OrderedDict()

    def find_target(self, service: str, object_key: str) -> str | None:
        """Return the name of the target to which the object went last."""
        return self.target_by_object.get((service, object_key))

    def record(
        self,
        object_key: str,
        chosen: TargetState,
        *,
        is_before_usable: bool,
        at: float,
    ) -> None:
        """Record to which target a request for an object is sent.

        `is_before_usable` tells that its last target is listed and stays.
        """
        key = (chosen.target.service, object_key)
        before = self.target_by_object.get(key)
        self.target_by_object[key] = chosen.target.name
        self.target_by_object.move_to_end(key)
        if len(self.target_by_object) > MAX_OBJECTS:
            self.target_by_object.popitem(last=False)
        if before is not None and before != chosen.target.name:
            cause = (
                _find_cause(chosen, at) if is_before_usable else MoveCause.LEFT
            )
            self.count_by_cause[cause] += 1

    def count(self, cause: MoveCause) -> int:
        """Return the moves of a cause since the instance started."""
        return self.count_by_cause[cause]

    def find_fullest(
        self, service: str, states: Iterable[TargetState]
    ) -> float:
        """Return the largest share of a target as a multiple of what is due.

        The targets given share their objects by their slots; 0 without objects.
        """
        slots = {
            state.target.name: max(1, state.target.slots) for state in states
        }
        objects = Counter(
            name
            for (known, _), name in self.target_by_object.items()
            if known == service and name in slots
        )
        if not objects:
            return 0.0
        slots_by_object = sum(slots.values()) / objects.total()
        return slots_by_object * max(
            count / slots[name] for name, count in objects.items()
        )


def _find_cause(chosen: TargetState, at: float) -> MoveCause:
    is_joining = chosen.has_joined and not chosen.joining_time.is_over(at)
    return MoveCause.JOINED if is_joining else MoveCause.OVERLOAD
