"""Define what steering between availability zones reads and gives."""

from collections.abc import Mapping

from currantspur.messages.base import Message
from currantspur.messages.records import Decision

Flows = Mapping[str, Mapping[str, float]]


class LoadReport(Message):
    """Report the requests a second that a zone's own callers want."""

    __slots__ = ('at', 'availability_zone', 'load', 'requests_s', 'sequence')

    def __init__(
        self,
        *,
        availability_zone: str,
        requests_s: float,
        load: float,
        sequence: int,
        at: float,
    ) -> None:
        """Take the demand, the share of capacity in use and its time."""
        self.availability_zone = availability_zone
        self.requests_s = requests_s
        self.load = load
        self.sequence = sequence
        self.at = at


class Place(Message):
    """Describe what an availability zone can take (requests a second)."""

    __slots__ = ('availability_zone', 'capacity', 'health', 'kept', 'region')

    def __init__(
        self,
        *,
        availability_zone: str,
        region: str,
        capacity: float,
        health: float | None = 1.0,
        kept: float = 1.0,
    ) -> None:
        """Take the healthy share (None: unknown) and what drains leave."""
        self.availability_zone = availability_zone
        self.region = region
        self.capacity = capacity
        self.health = health
        self.kept = kept

    def usable(self) -> float:
        """Return the share that is healthy and not drained."""
        return self.kept if self.health is None else self.health * self.kept


class SteeringView(Message):
    """Hold all inputs of one steering decision."""

    __slots__ = ('ages', 'assumed', 'demands', 'flows', 'loads', 'places')

    def __init__(
        self,
        *,
        places: tuple[Place, ...],
        demands: Mapping[str, float],
        loads: Mapping[str, float],
        ages: Mapping[str, float],
        flows: Flows,
        assumed: frozenset[str] | None = None,
    ) -> None:
        """Take demand, load and report age by zone, and the flows so far."""
        self.assumed = assumed or frozenset()
        self.places = places
        self.demands = demands
        self.loads = loads
        self.ages = ages
        self.flows = flows


class Step(Message):
    """Give the next flows and the record of why."""

    __slots__ = ('decision', 'flows', 'shift')

    def __init__(
        self, *, flows: Flows, decision: Decision, shift: float
    ) -> None:
        """Take the largest share of a region's callers that moves."""
        self.flows = flows
        self.decision = decision
        self.shift = shift
