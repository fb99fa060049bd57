"""Order the targets of a service for an object by weighted rendezvous hashing.

The first target is the home of the object. The share of objects of which a
target is the home follows its slots, and every instance finds the same order
from the same rows. A target that comes or goes moves only objects to itself, or
from itself.
"""

from collections.abc import Callable, Iterable, Sequence
from math import exp, inf, log
from operator import itemgetter
from typing import TypeVar

from xxhash import xxh64_intdigest

from currantspur.decisions.affinity import WEIGHT_LIMIT, rendezvous_weight
from currantspur.decisions.target_state import TargetState
from currantspur.messages import Target

Member = TypeVar('Member')
# The least comes first.
Place = tuple[float, int]
# Only the targets within a distance are sorted, which on average are this many
# times as many as are sought.
SOUGHT_MARGIN = 2


def find_place(weight: int, slots: int) -> Place:
    """Return the sort key of a target with a rendezvous weight and slots.

    The negative logarithm of a uniform number is distributed exponentially.
    Divided by the slots, it is the least of all with a probability in
    proportion to the slots. Targets of equal slots have the order of their
    weights, which also decides where logarithms are equal.
    """
    distance = -log((weight + 0.5) / WEIGHT_LIMIT) / max(1, slots)
    return distance, -weight


def order_homes(
    members: Sequence[Member],
    object_key: str,
    get_target: Callable[[Member], Target],
) -> list[Member]:
    """Return members in the order of an object, that of their targets."""
    targets = [get_target(member) for member in members]
    weights = [rendezvous_weight(object_key, target.name) for target in targets]
    places: list[Place] | list[int]
    if len({target.slots for target in targets}) > 1:
        places = [
            find_place(weight, target.slots)
            for weight, target in zip(weights, targets, strict=True)
        ]
    else:
        places = [-weight for weight in weights]
    numbers = sorted(range(len(members)), key=places.__getitem__)
    return [members[number] for number in numbers]


class HomeGroup:
    """Targets of equal slots, whose order is that of their weights."""

    __slots__ = ('slots', 'states', 'suffixes')

    def __init__(self, slots: int) -> None:
        """Start without targets."""
        self.slots = slots
        self.states: list[TargetState] = []
        # What follows the object in the text that is hashed.
        self.suffixes: list[bytes] = []

    def add(self, state: TargetState) -> None:
        """Add a target."""
        self.states.append(state)
        self.suffixes.append(f'\0{state.target.name}'.encode())

    def find_within(
        self, prefix: bytes, reach: float
    ) -> list[tuple[Place, TargetState]]:
        """Return targets within a distance, with their places, unordered.

        The weights are those of `rendezvous_weight`.
        """
        weights = [xxh64_intdigest(prefix + each) for each in self.suffixes]
        least = WEIGHT_LIMIT * exp(-reach * self.slots)
        return [
            (find_place(weight, self.slots), self.states[number])
            for number, weight in enumerate(weights)
            if weight >= least
        ]


class HomeIndex:
    """Targets among which the first ones of any object are found quickly."""

    __slots__ = ('groups', 'size', 'slots')

    def __init__(self, states: Iterable[TargetState]) -> None:
        by_slots: dict[int, HomeGroup] = {}
        for state in states:
            slots = max(1, state.target.slots)
            by_slots.setdefault(slots, HomeGroup(slots)).add(state)
        self.groups = tuple(by_slots.values())
        self.size = sum(len(group.states) for group in self.groups)
        self.slots = sum(
            group.slots * len(group.states) for group in self.groups
        )

    def find_first(self, object_key: str, count: int) -> list[TargetState]:
        """Return the first targets in the order of an object."""
        if not self.size:
            return []
        # On average, as many targets are within a distance as there are slots,
        # times the distance.
        reach = SOUGHT_MARGIN * count / self.slots
        found = self._find_within(object_key, reach)
        if len(found) < min(count, self.size):
            found = self._find_within(object_key, inf)
        found.sort(key=itemgetter(0))
        return [state for _, state in found[:count]]

    def _find_within(
        self, object_key: str, reach: float
    ) -> list[tuple[Place, TargetState]]:
        prefix = object_key.encode()
        found: list[tuple[Place, TargetState]] = []
        for group in self.groups:
            found.extend(group.find_within(prefix, reach))
        return found
