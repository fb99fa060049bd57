"""Decide which connections of clients are closed, and for which reason."""

from collections.abc import Iterable
from typing import Literal

from currantspur.messages.configuration import CallerLimits

CloseReason = Literal['head_late', 'idle', 'stalled']
# Times are measured by the instance, later than by the client that keeps them.
MARGIN_FACTOR = 1.25
MARGIN_S = 1.0
# Fields as received take more bytes than a client may count: line ends and
# separators, and what a relay in between adds.
HEAD_FACTOR = 2
MIN_HEAD_BYTES = 32_768
# Clients of addresses other than that of callers keep connections for up to a
# minute.
MIN_IDLE_S = 60.0


class ConnectionActivity:
    """What a connection does, as far as limits depend on it.

    ``since`` is when its client last made progress, or became idle.
    """

    __slots__ = ('has_begun_head', 'has_request', 'is_awaited', 'since')

    def __init__(
        self,
        *,
        since: float,
        has_begun_head: bool,
        has_request: bool,
        is_awaited: bool,
    ) -> None:
        self.since = since
        self.has_begun_head = has_begun_head
        self.has_request = has_request
        self.is_awaited = is_awaited

    @property
    def close_order(self) -> tuple[int, float]:
        """Place in the order in which connections are closed for others.

        Those without a complete head come first, then idle ones.
        """
        return (not self.has_begun_head, self.since)


def limit_head_bytes(limits: CallerLimits) -> int:
    """Return the most bytes of a head that is not complete."""
    return max(MIN_HEAD_BYTES, HEAD_FACTOR * limits.max_header_bytes)


def find_close_reason(
    activity: ConnectionActivity,
    limits: CallerLimits,
    *,
    at: float,
    min_idle_s: float = 0.0,
) -> CloseReason | None:
    """Return why a connection is to be closed, or None."""
    waited_s = at - activity.since
    idle_s = max(min_idle_s, limits.idle_timeout_s)
    if activity.has_request:
        is_over = activity.is_awaited and waited_s > _add_margin(idle_s)
        return 'stalled' if is_over else None
    if activity.has_begun_head:
        is_over = waited_s > _add_margin(limits.header_timeout_s)
        return 'head_late' if is_over else None
    return 'idle' if waited_s > _add_margin(idle_s) else None


def choose_closed(
    activities: Iterable[tuple[int, ConnectionActivity]],
) -> int | None:
    """Return the number of the connection to close for a new one.

    None if all have a request at work: then the new one is closed.
    """
    candidates = [
        (activity.close_order, number)
        for number, activity in activities
        if not activity.has_request
    ]
    return min(candidates)[1] if candidates else None


def _add_margin(seconds: float) -> float:
    return seconds * MARGIN_FACTOR + MARGIN_S
