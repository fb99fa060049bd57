"""Refuse a request for which no target was chosen."""

from currantspur.decisions.return_time import plan_return_s
from currantspur.messages import PlacementRequest, Refusal
from currantspur.pipelines.placement import expect_room_s
from currantspur.pipelines.placement_state import PlacementState

# A service without targets takes longer to get targets again, usually seconds.
NO_TARGET_RETRY_AFTER_S = 0.5
# The admitted shares of an overloaded service change with each heartbeat.
OVERLOAD_RETRY_AFTER_S = 1.0
# Callers of an instance that stops go to another one.
STOPPING_RETRY_AFTER_S = 0.05


def refuse_placement(
    request: PlacementRequest, state: PlacementState, now: float
) -> Refusal:
    """Return the refusal, with the time after which a target may have room."""
    if request.must_meet_deadline:
        return Refusal(
            code='not_ready',
            detail='the instance stops before a response is expected',
            retry_after_s=plan_return_s(
                STOPPING_RETRY_AFTER_S, request.request_id
            ),
        )
    room_s = expect_room_s(request, state, now)
    if room_s is None:
        return Refusal(
            code='no_target',
            detail='no target may run it',
            retry_after_s=plan_return_s(
                NO_TARGET_RETRY_AFTER_S, request.request_id
            ),
        )
    # Also if cold targets have reached their rate, or if there is room only
    # in regions to which the limiter allows no request.
    return Refusal(
        code='no_room',
        detail='no target is expected to respond in time',
        retry_after_s=plan_return_s(room_s, request.request_id),
    )


def refuse_overload(request: PlacementRequest) -> Refusal:
    """Return the refusal beyond the admitted share of a rank."""
    return Refusal(
        code='no_room',
        detail='the service is asked for more than it can run',
        retry_after_s=plan_return_s(OVERLOAD_RETRY_AFTER_S, request.request_id),
    )
