"""Keep for each object the few targets of a large service that matter to it.

The cost of a choice then does not grow with the service.
"""

from collections import OrderedDict
from collections.abc import Mapping, Sequence

from currantspur.decisions.affinity import (
    WEIGHT_LIMIT,
    draw_uniform,
    rendezvous_weight,
)
from currantspur.decisions.home_index import HomeIndex
from currantspur.decisions.target_state import TargetState
from currantspur.decisions.topology import Topology

# All targets of a smaller service are compared.
MIN_SERVICE_SIZE = 48
OWN_REGION_TARGETS = 24
OTHER_REGION_TARGETS = 12
MAX_OBJECTS = 1024
# For a request without an object, of the own zone, of the other zones of the
# region and of other regions each. Among so many, the least busy one is hardly
# busier than the least busy of all.
SAMPLED_TARGETS = 12
# Instances that send first requests to a target that joined: every one would
# keep it busy with the first requests of a large fleet alone.
WARMUP_INSTANCES = 6

TargetStates = Sequence[TargetState]


class ServiceTargets:
    """The targets of one service, and the first ones of recent objects."""

    __slots__ = (
        'by_distance',
        'by_object',
        'joined',
        'other_region',
        'own_region',
        'placed',
        'states',
    )

    def __init__(self, states: TargetStates, topology: Topology) -> None:
        self.states = states
        self.placed = _list_placed(states)
        self.joined = tuple(state for state in states if state.has_joined)
        # In the own zone, in the rest of the own region, in other regions.
        own_zone: list[TargetState] = []
        own_region: list[TargetState] = []
        other_region: list[TargetState] = []
        for state in states:
            zone = state.target.availability_zone
            if zone == topology.availability_zone:
                own_zone.append(state)
            elif topology.is_cross_region(zone):
                other_region.append(state)
            else:
                own_region.append(state)
        self.by_distance = (own_zone, own_region, other_region)
        self.own_region = HomeIndex(own_zone + own_region)
        self.other_region = HomeIndex(other_region)
        # Most recently used last.
        self.by_object: OrderedDict[str, TargetStates] = OrderedDict()

    def has_same_order(self, states: TargetStates) -> bool:
        """Tell whether these targets have the same order for all objects."""
        return self.placed == _list_placed(states)


class TargetShortlists:
    """The shortlists of all services, as seen from one instance."""

    __slots__ = ('by_service', 'instance_name', 'topology')

    def __init__(self, topology: Topology, instance_name: str) -> None:
        self.topology = topology
        self.instance_name = instance_name
        self.by_service: dict[str, ServiceTargets] = {}

    def update(
        self, states_by_service: Mapping[str, list[TargetState]]
    ) -> None:
        """Replace the targets; shortlists of unchanged services are kept."""
        before = self.by_service
        self.by_service = {}
        for service, states in states_by_service.items():
            known = before.get(service)
            if known is None or not known.has_same_order(states):
                known = ServiceTargets(states, self.topology)
            self.by_service[service] = known

    def find(
        self, service: str, object_key: str | None, at: float
    ) -> TargetStates:
        """Return the targets to compare for an object, or all of them.

        Besides its first ones these are the joined targets that this instance
        has to send a first request. Without an object they are some that
        change with the time.
        """
        targets = self.by_service.get(service)
        if targets is None:
            return ()
        if len(targets.states) < MIN_SERVICE_SIZE:
            return targets.states
        shortlist = (
            _sample(targets, at)
            if object_key is None
            else self._find_shortlist(targets, object_key)
        )
        due = [state for state in targets.joined if state.needs_warmup(at)]
        return (*shortlist, *due) if due else shortlist

    def sends_warmups(
        self, state: TargetState, region_instance_count: int
    ) -> bool:
        """Tell whether this instance is one that warms up a joined target.

        Only instances of the target's own region do.
        """
        if not state.has_joined:
            return False
        weight = rendezvous_weight(self.instance_name, state.target.name)
        return weight / WEIGHT_LIMIT * region_instance_count < WARMUP_INSTANCES

    def _find_shortlist(
        self, targets: ServiceTargets, object_key: str
    ) -> TargetStates:
        shortlist = targets.by_object.get(object_key)
        if shortlist is None:
            shortlist = (
                *targets.own_region.find_first(object_key, OWN_REGION_TARGETS),
                *targets.other_region.find_first(
                    object_key, OTHER_REGION_TARGETS
                ),
            )
            targets.by_object[object_key] = shortlist
            if len(targets.by_object) > MAX_OBJECTS:
                targets.by_object.popitem(last=False)
        targets.by_object.move_to_end(object_key)
        return shortlist


def _sample(targets: ServiceTargets, at: float) -> TargetStates:
    # Requests that are placed at the same time compare the same targets.
    draw = draw_uniform(str(at), '')
    sample: list[TargetState] = []
    for states in targets.by_distance:
        first = int(draw * len(states))
        sample += states[first : first + SAMPLED_TARGETS]
        if len(states) - first < SAMPLED_TARGETS:
            left = first + SAMPLED_TARGETS - len(states)
            sample += states[: min(first, left)]
    return tuple(sample)


def _list_placed(
    states: TargetStates,
) -> frozenset[tuple[TargetState, int, str]]:
    return frozenset(
        (state, state.target.slots, state.target.availability_zone)
        for state in states
    )
