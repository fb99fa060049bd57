"""Explain where a request would go, by the filters that requests pass.

The filters are applied to copies of the state, so that asking has no effect.
"""

from collections.abc import Iterable

from currantspur.decisions.affinity import hash_position
from currantspur.decisions.cost_model import Candidate
from currantspur.messages import (
    PlacementRequest,
    RequestContext,
    Team,
)
from currantspur.messages.route_explanations import (
    AdmissionExplanation,
    AdmissionQuery,
    CandidateExplanation,
    PlacementExplanation,
    RateExplanation,
    ShiftExplanation,
)
from currantspur.pipelines.admission import (
    AdmissionState,
    IdentifyTeam,
    assemble_admission,
)
from currantspur.pipelines.placement import choose_target
from currantspur.pipelines.placement_recorder import PlacementRecorder
from currantspur.pipelines.placement_refusals import (
    refuse_overload,
    refuse_placement,
)
from currantspur.pipelines.placement_state import PlacementState
from currantspur.pipelines.state_copies import (
    copy_admission,
    copy_placement,
    copy_share,
)

# Targets listed with their costs; all are counted.
MAX_CANDIDATES = 24


class IdentifyNamedTeam(IdentifyTeam):
    """Take a team by its name: questions carry no API key."""

    __slots__ = ('team',)

    def __init__(self, state: AdmissionState, team: Team | None) -> None:
        """Identify every request as one of this team."""
        super().__init__(state)
        self.team = team

    def find_team(self, key: str | None) -> Team | None:
        """Return the named team; None is a request without a key."""
        return self.team


def explain_admission(
    query: AdmissionQuery, state: AdmissionState, teams: Iterable[Team]
) -> AdmissionExplanation:
    """Return what admission would do with a request."""
    team = next((each for each in teams if each.name == query.team), None)
    request = query.request
    copied = copy_admission(state, query.team or '')
    pipeline = assemble_admission(copied, IdentifyNamedTeam(copied, team))
    context: RequestContext = next(pipeline.run([request]))
    is_of_team = team is not None and context.team == team.name
    return AdmissionExplanation(
        context=context,
        is_host_known=state.routes.has_host(request.host),
        is_team_known=team is not None or not query.team or not state.version,
        rank=None if context.route is None else context.rank,
        rate=(
            _explain_rate(team, state, request.received_at)
            if team is not None and is_of_team
            else None
        ),
    )


def explain_placement(
    request: PlacementRequest, state: PlacementState, at: float
) -> PlacementExplanation:
    """Return which target a request would get, and why."""
    copied = copy_placement(state, request)
    recorder = PlacementRecorder()
    chosen = choose_target(request, copied, at, recorder)
    listed = _order_candidates(recorder.candidates, chosen)
    admission = state.overload.find(request.service)
    refusal = None
    if not admission.would_admit(request.rank):
        refusal = refuse_overload(request)
    elif chosen is None:
        refusal = refuse_placement(request, copied, at)
    return PlacementExplanation(
        target=(
            None
            if chosen is None or refusal is not None
            else chosen.state.target.name
        ),
        admitted_share=admission.find_share(request.rank),
        candidates=tuple(
            _explain_candidate(each, copied) for each in listed[:MAX_CANDIDATES]
        ),
        candidate_count=len(listed),
        passes=tuple(recorder.passes),
        shift=_explain_shift(request, copied, recorder, at),
        refusal=refusal,
    )


def _explain_rate(
    team: Team, state: AdmissionState, at: float
) -> RateExplanation | None:
    share = state.rate_shares.get(team.name)
    if share is None:
        return None
    bucket = copy_share(share).bucket
    bucket.refill(at)
    return RateExplanation(
        rate_per_s=team.rate_per_s,
        burst=team.burst,
        share_per_s=bucket.rate_per_s,
        share_burst=bucket.burst,
        tokens=bucket.tokens,
    )


def _order_candidates(
    candidates: Iterable[Candidate], chosen: Candidate | None
) -> list[Candidate]:
    """Return each target once: the chosen one, then the others by cost."""
    ordered = sorted(
        candidates, key=lambda each: (each is not chosen, each.cost_s)
    )
    by_name: dict[str, Candidate] = {}
    for each in ordered:
        by_name.setdefault(each.state.target.name, each)
    return list(by_name.values())


def _explain_candidate(
    candidate: Candidate, state: PlacementState
) -> CandidateExplanation:
    target = candidate.state.target
    return CandidateExplanation(
        target=target.name,
        availability_zone=target.availability_zone,
        is_cross_region=state.is_cross_region(candidate),
        slots=target.slots,
        in_flight=candidate.in_flight,
        is_warm=candidate.is_warm,
        order=candidate.rank,
        expected_s=candidate.expected_s,
        cost_s=candidate.cost_s,
        cost_terms=candidate.cost_terms,
    )


def _explain_shift(
    request: PlacementRequest,
    state: PlacementState,
    recorder: PlacementRecorder,
    at: float,
) -> ShiftExplanation:
    limiter = state.spillover.limiter_for(request.service)
    preferred = recorder.preferred
    return ShiftExplanation(
        prefers_cross_region=(
            None if preferred is None else state.is_cross_region(preferred)
        ),
        crosses_region=recorder.crosses_region,
        planned_share=limiter.planned_share,
        current_share=limiter.current_share,
        owed_requests=limiter.deficit.requests,
        position=hash_position(request.object_key, request.service),
        is_after_fault=at < limiter.fault_until,
    )
