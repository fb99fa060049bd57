"""Copy the state that filters change, to apply them without an effect.

Only what a filter writes is copied; the rest is shared with the original.
"""

from collections import deque
from copy import copy

from currantspur.decisions.rate_meter import RateMeter
from currantspur.decisions.rate_share import RateShare
from currantspur.decisions.shortlist import ServiceTargets, TargetShortlists
from currantspur.decisions.spillover import SpilloverPlanner
from currantspur.decisions.splitting import Splitter
from currantspur.decisions.target_limits import TargetLimits
from currantspur.decisions.target_state import TargetState
from currantspur.messages import PlacementRequest
from currantspur.pipelines.admission import AdmissionState
from currantspur.pipelines.placement_state import PlacementState


def copy_admission(state: AdmissionState, team: str) -> AdmissionState:
    """Return a copy for requests of one team; others have no limit there."""
    copied = copy(state)
    copied.team_request_meter = RateMeter(0.0)
    copied.splitter = Splitter()
    copied.splitter.credits = {
        route: dict(credit) for route, credit in state.splitter.credits.items()
    }
    share = state.rate_shares.get(team)
    copied.rate_shares = {} if share is None else {team: copy_share(share)}
    return copied


def copy_placement(
    state: PlacementState, request: PlacementRequest
) -> PlacementState:
    """Return a copy to place requests for the service and the object of one."""
    service = request.service
    states = [
        _copy_target(each) for each in state.states_by_service.get(service, ())
    ]
    copied = copy(state)
    copied.states_by_service = {service: states} if states else {}
    copied.shortlists = _copy_shortlists(state.shortlists, request, states)
    copied.target_limits = _copy_limits(state.target_limits)
    copied.spillover = _copy_spillover(state.spillover, service)
    copied.work_times = dict(state.work_times)
    return copied


def copy_share(share: RateShare) -> RateShare:
    """Return a copy with a bucket of its own."""
    copied = copy(share)
    copied.bucket = copy(share.bucket)
    copied.recent_shares = deque(share.recent_shares)
    return copied


def _copy_target(state: TargetState) -> TargetState:
    copied = copy(state)
    if state.rate_share is not None:
        copied.rate_share = copy_share(state.rate_share)
    return copied


def _copy_shortlists(
    shortlists: TargetShortlists,
    request: PlacementRequest,
    states: list[TargetState],
) -> TargetShortlists:
    copied = copy(shortlists)
    copied.by_service = {}
    known = shortlists.by_service.get(request.service)
    if known is None:
        return copied
    targets = ServiceTargets(states, shortlists.topology)
    copied.by_service[request.service] = targets
    object_key = request.object_key
    if object_key is not None and object_key in known.by_object:
        state_by_name = {state.target.name: state for state in states}
        targets.by_object[object_key] = tuple(
            state_by_name[state.target.name]
            for state in known.by_object[object_key]
        )
    return copied


def _copy_limits(limits: TargetLimits) -> TargetLimits:
    copied = copy(limits)
    copied.rank_by_target = dict(limits.rank_by_target)
    return copied


def _copy_spillover(
    planner: SpilloverPlanner, service: str
) -> SpilloverPlanner:
    copied = copy(planner)
    copied.limiters = {}
    limiter = planner.limiters.get(service)
    if limiter is not None:
        copied.limiters[service] = copy(limiter)
    return copied
