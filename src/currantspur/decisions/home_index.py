"""Find the first targets of any object among many quickly."""

from collections.abc import Iterable
from math import exp, inf
from operator import itemgetter

from xxhash import xxh64_intdigest

from currantspur.decisions.affinity import WEIGHT_LIMIT
from currantspur.decisions.object_homes import Place, find_place
from currantspur.decisions.target_state import TargetState

# Only the targets within a distance are sorted, which on average are this many
# times as many as are sought.
SOUGHT_MARGIN = 2


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
        names = map(prefix.__add__, self.suffixes)
        weights = list(map(xxh64_intdigest, names))
        least = int(WEIGHT_LIMIT * exp(-reach * self.slots))
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
