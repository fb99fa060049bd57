"""Admit an attempt and assign it to a target; count what follows from it."""

from currantspur.decisions.cost_model import Candidate
from currantspur.decisions.retries import RetryBudgets
from currantspur.messages import Assignment, PlacementRequest, Refusal
from currantspur.pipelines.placement import choose_target, find_wanted
from currantspur.pipelines.placement_refusals import refuse_overload
from currantspur.pipelines.placement_state import PlacementState


def admit_attempt(
    request: PlacementRequest,
    state: PlacementState,
    retry_budgets: RetryBudgets,
    at: float,
) -> Refusal | None:
    """Refuse a retry over the budget, or a request of an overloaded service."""
    budget = retry_budgets.get_or_create(request.service)
    if request.attempt_number:
        if budget.try_consume(at):
            return None
        return Refusal(code='no_room', detail='no repeat is left')
    # Also true after attempts that reached no target.
    budget.record_request()
    if state.overload.find(request.service).admits(request.rank):
        return None
    # What is refused stays part of the demand, or the shares would swing.
    state.record_request(request, at)
    return refuse_overload(request)


def find_candidate(
    request: PlacementRequest, state: PlacementState, at: float
) -> Candidate | None:
    """Return the target for an attempt, and count the demand."""
    wanted = find_wanted(request, state, at)
    if wanted is not None:
        state.target_limits.count_demand(wanted, at)
    candidate = choose_target(request, state, at)
    if not request.attempt_number:
        state.record_request(request, at)
    return candidate


def assign(
    request: PlacementRequest,
    candidate: Candidate,
    state: PlacementState,
    at: float,
) -> Assignment:
    """Assign an attempt to a target, and count it as in flight there."""
    target_state = candidate.state
    target_state.own_in_flight += 1
    state.spillover.limiter_for(request.service).record_sent(
        is_cross_region=state.is_cross_region(candidate)
    )
    if not candidate.is_warm:
        target_state.warmup_sent_at = at
    if target_state.rate_share is not None:
        target_state.rate_share.consume_or_wait_s(at)
    return Assignment(
        request=request,
        target=target_state.target,
        assigned_at=at,
        expected_s=candidate.expected_s,
        is_warm=candidate.is_warm,
        had_free_slot=candidate.is_free,
        rank=candidate.rank,
    )
