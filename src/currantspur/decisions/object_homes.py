"""Order the targets of a service for an object by weighted rendezvous hashing.

The first target is the home of the object. The share of objects of which a
target is the home follows its slots, and every instance finds the same order
from the same rows. A target that comes or goes moves only objects to itself, or
from itself.
"""

from collections.abc import Callable, Sequence
from math import log
from typing import TypeVar

from currantspur.decisions.affinity import (
    WEIGHT_LIMIT,
    draw_uniform,
    rendezvous_weight,
)
from currantspur.messages import Target

# A target that joined takes no objects before the other instances list it, too.
# Tables reach all of them within 2.5 s.
JOIN_DELAY_S = 3.0
# It then takes all of its objects within the time in which the fleet may send a
# cold target a request for each of as many as targets keep, but not faster than
# a target of 3 slots handles so many cold ones of 0.9 s beside its other work.
KEPT_OBJECTS = 27
MIN_JOIN_S = 12.0
MAX_JOIN_S = 60.0
Member = TypeVar('Member')
# The least comes first.
Place = tuple[float, int]


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


class JoiningTime:
    """When a target that joined takes its place for each object.

    It is counted from when this instance first listed the target: clocks of
    other machines do not matter. What differs between instances is only when
    they listed it, so they disagree on few of its objects.
    """

    __slots__ = ('begins_at', 'lasts_s')

    def __init__(self, listed_at: float, cold_s: float) -> None:
        self.begins_at = listed_at + max(JOIN_DELAY_S, cold_s)
        self.lasts_s = MIN_JOIN_S

    def set_cold_rate(self, requests_per_s: float) -> None:
        """Set the requests per second that the fleet may send a cold target."""
        if requests_per_s > 0:
            self.lasts_s = min(
                MAX_JOIN_S, max(MIN_JOIN_S, KEPT_OBJECTS / requests_per_s)
            )

    def is_over(self, at: float) -> bool:
        """Tell whether the target has its place for all objects."""
        return at - self.begins_at >= self.lasts_s

    def has_place(self, name: str, object_key: str | None, at: float) -> bool:
        """Tell whether the target of this name has its place for an object.

        The order of objects is the same on all instances. Requests without an
        object come last.
        """
        passed_s = at - self.begins_at
        if passed_s <= 0 or object_key is None or passed_s >= self.lasts_s:
            return passed_s >= self.lasts_s
        position = draw_uniform(f'{object_key}\0join', name)
        return passed_s >= position * self.lasts_s
