"""Questions where a request would go now, and the answers to them."""

from collections.abc import Mapping

from currantspur.messages.base import Message
from currantspur.messages.requests import (
    IncomingRequest,
    PlacementRequest,
    Refusal,
    RequestContext,
)


class AdmissionQuery(Message):
    """Question to the admission task; the reply is an AdmissionExplanation.

    ``team`` names the team of the request, as it carries no key; None for a
    request without a key.
    """

    __slots__ = ('request', 'team')

    def __init__(
        self, *, request: IncomingRequest, team: str | None = None
    ) -> None:
        self.request = request
        self.team = team


class PlacementQuery(Message):
    """Question to the dispatcher; the reply is a PlacementExplanation."""

    __slots__ = ('request',)

    def __init__(self, *, request: PlacementRequest) -> None:
        self.request = request


class RateExplanation(Message):
    """The rate limit of a team and the part of this instance.

    - ``rate_per_s``, ``burst``: of the whole fleet.
    - ``share_per_s``, ``share_burst``: of this instance.
    - ``tokens``: what is left before the request.
    """

    __slots__ = ('burst', 'rate_per_s', 'share_burst', 'share_per_s', 'tokens')

    def __init__(
        self,
        *,
        rate_per_s: float,
        burst: float,
        share_per_s: float,
        share_burst: float,
        tokens: float,
    ) -> None:
        self.rate_per_s = rate_per_s
        self.burst = burst
        self.share_per_s = share_per_s
        self.share_burst = share_burst
        self.tokens = tokens


class AdmissionExplanation(Message):
    """What admission would do with a request.

    - ``context``: as a request gets it, with the refusal if there is one.
    - ``is_host_known``: a route has the host.
    - ``is_team_known``: the configuration has the team, or none was named.
    - ``is_held``: the request would first wait for a configuration.
    - ``rank``: priority of the team if it has one, else of the route; None
      without a route.
    - ``rate``: None if the rate of the request is not limited.
    """

    __slots__ = (
        'context',
        'is_held',
        'is_host_known',
        'is_team_known',
        'rank',
        'rate',
    )

    def __init__(
        self,
        *,
        context: RequestContext,
        is_host_known: bool = True,
        is_team_known: bool = True,
        is_held: bool = False,
        rank: int | None = None,
        rate: RateExplanation | None = None,
    ) -> None:
        self.context = context
        self.is_host_known = is_host_known
        self.is_team_known = is_team_known
        self.is_held = is_held
        self.rank = rank
        self.rate = rate


class CandidateExplanation(Message):
    """A target that was compared; ``cost_terms`` add up to ``cost_s``."""

    __slots__ = (
        'availability_zone',
        'cost_s',
        'cost_terms',
        'expected_s',
        'in_flight',
        'is_cross_region',
        'is_warm',
        'order',
        'slots',
        'target',
    )

    def __init__(
        self,
        *,
        target: str,
        availability_zone: str,
        is_cross_region: bool,
        slots: int,
        in_flight: float,
        is_warm: bool,
        order: int,
        expected_s: float,
        cost_s: float,
        cost_terms: Mapping[str, float],
    ) -> None:
        self.target = target
        self.availability_zone = availability_zone
        self.is_cross_region = is_cross_region
        self.slots = slots
        self.in_flight = in_flight
        self.is_warm = is_warm
        # Place in the order of the object, as the rank in the log.
        self.order = order
        self.expected_s = expected_s
        self.cost_s = cost_s
        self.cost_terms = cost_terms


class FilterRejects(Message):
    """The targets that a filter left out: all counted, the first ones named."""

    __slots__ = ('count', 'filter_name', 'targets')

    def __init__(
        self, *, filter_name: str, count: int, targets: tuple[str, ...]
    ) -> None:
        self.filter_name = filter_name
        self.count = count
        self.targets = targets


class PassExplanation(Message):
    """One pass of the filters, over a shortlist or over the whole service."""

    __slots__ = ('left_out', 'scope', 'target_count')

    def __init__(
        self,
        *,
        scope: str,
        target_count: int,
        left_out: tuple[FilterRejects, ...] = (),
    ) -> None:
        self.scope = scope
        self.target_count = target_count
        self.left_out = left_out


class ShiftExplanation(Message):
    """What the region shift limiter decided, and by which shares.

    - ``prefers_cross_region``: the cheapest target is in another region; None
      if there was no target to compare.
    - ``crosses_region``: the limiter sends the request to another region.
    - ``planned_share``, ``current_share``: of requests to other regions.
    - ``owed_requests``: sent too few (or, if negative, too many) to others.
    - ``position``: of the object, from 0, the first to leave, to 1; or None.
    - ``is_after_fault``: a fault in the own region lifts the limit.
    """

    __slots__ = (
        'crosses_region',
        'current_share',
        'is_after_fault',
        'owed_requests',
        'planned_share',
        'position',
        'prefers_cross_region',
    )

    def __init__(
        self,
        *,
        prefers_cross_region: bool | None,
        crosses_region: bool | None,
        planned_share: float,
        current_share: float,
        owed_requests: float,
        position: float | None,
        is_after_fault: bool,
    ) -> None:
        self.prefers_cross_region = prefers_cross_region
        self.crosses_region = crosses_region
        self.planned_share = planned_share
        self.current_share = current_share
        self.owed_requests = owed_requests
        self.position = position
        self.is_after_fault = is_after_fault


class PlacementExplanation(Message):
    """Which target an attempt would get, and why.

    - ``target``: None if the request would be refused.
    - ``candidates``: the chosen target, then the others by cost; at most
      MAX_CANDIDATES of ``candidate_count``.
    - ``is_held``: the request would first wait for targets.
    - ``admitted_share``: the part of the requests of its rank that the service
      admits; 1 unless it is overloaded.
    """

    __slots__ = (
        'admitted_share',
        'candidate_count',
        'candidates',
        'is_held',
        'passes',
        'refusal',
        'shift',
        'target',
    )

    def __init__(
        self,
        *,
        target: str | None,
        candidates: tuple[CandidateExplanation, ...],
        candidate_count: int,
        passes: tuple[PassExplanation, ...],
        shift: ShiftExplanation,
        refusal: Refusal | None = None,
        is_held: bool = False,
        admitted_share: float = 1.0,
    ) -> None:
        self.admitted_share = admitted_share
        self.target = target
        self.candidates = candidates
        self.candidate_count = candidate_count
        self.passes = passes
        self.shift = shift
        self.refusal = refusal
        self.is_held = is_held


class RouteExplanation(Message):
    """The whole answer; ``placement`` is None if admission refuses."""

    __slots__ = ('admission', 'placement')

    def __init__(
        self,
        *,
        admission: AdmissionExplanation,
        placement: PlacementExplanation | None = None,
    ) -> None:
        self.admission = admission
        self.placement = placement

    @property
    def refusal(self) -> Refusal | None:
        """The refusal that the caller would get, or None."""
        if self.placement is not None:
            return self.placement.refusal
        return self.admission.context.refusal
