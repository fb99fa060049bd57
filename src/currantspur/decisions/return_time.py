"""Choose when a refused caller should return: once room is expected, spread."""

from currantspur.decisions.affinity import WEIGHT_LIMIT, rendezvous_weight

# A round trip of the caller takes longer than a smaller delay would save.
MIN_RETURN_S = 0.1
# Beyond this the estimate of the queues says little.
MAX_RETURN_S = 2.0


def plan_return_s(wait_s: float, request_id: str) -> float:
    """Return the seconds after which a refused caller should return.

    Callers that are refused together return over a time as long as the wait:
    the room that they wait for appears one slot after the other.
    """
    earliest_s = min(MAX_RETURN_S, max(MIN_RETURN_S, wait_s))
    spread = rendezvous_weight(request_id, 'return') / WEIGHT_LIMIT
    return earliest_s * (1 + spread)
