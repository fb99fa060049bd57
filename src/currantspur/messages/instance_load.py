"""What the tasks of an instance tell of its load and of its life."""

from collections.abc import Mapping

from currantspur.messages.base import Message
from currantspur.messages.targets import TargetNotice, TargetReport


class TeamDemand(Message):
    """Smoothed rate of requests that this instance received, by team."""

    __slots__ = ('requests_per_s_by_team',)

    def __init__(self, *, requests_per_s_by_team: Mapping[str, float]) -> None:
        self.requests_per_s_by_team = requests_per_s_by_team


class ServiceLoad(Message):
    """The load that this instance caused and saw.

    - ``busy_slots_by_service``: estimated slots that its requests occupy.
    - ``busy_slots_by_rank``: as in a Heartbeat.
    - ``target_reports``: what it saw of targets since the last message.
    - ``target_notices``: what targets said of themselves, for the peers.
    - ``requests_per_s_by_target``: as in a Heartbeat.
    """

    __slots__ = (
        'busy_slots_by_rank',
        'busy_slots_by_service',
        'requests_per_s_by_target',
        'target_notices',
        'target_reports',
    )

    def __init__(
        self,
        *,
        busy_slots_by_service: Mapping[str, float],
        target_reports: tuple[TargetReport, ...] = (),
        target_notices: tuple[TargetNotice, ...] = (),
        requests_per_s_by_target: Mapping[str, float] | None = None,
        busy_slots_by_rank: Mapping[str, float] | None = None,
    ) -> None:
        self.busy_slots_by_rank = busy_slots_by_rank or {}
        self.requests_per_s_by_target = requests_per_s_by_target or {}
        self.target_reports = target_reports
        self.target_notices = target_notices
        self.busy_slots_by_service = busy_slots_by_service


class SpillPlan(Message):
    """Spillover plan of a service: the share of work for other regions.

    Shares are from 0 to 1: ``share`` is the plan, ``before`` the plan last
    logged, ``sent_now`` the share sent to other regions at present. ``work``
    has the busy slots by region of the callers. The names of the fields
    are written to the log.
    """

    __slots__ = ('before', 'sent_now', 'service', 'share', 'work')

    def __init__(
        self,
        *,
        service: str,
        share: float,
        before: float,
        sent_now: float,
        work: Mapping[str, float],
    ) -> None:
        self.service = service
        self.share = share
        self.before = before
        self.sent_now = sent_now
        self.work = work


class Tick(Message):
    """Request, sent at each heartbeat, for the current state of a task.

    The admission task replies with a ``TeamDemand``, the dispatcher with a
    ``ServiceLoad``; the membership task publishes a new ``FleetView``.
    """

    __slots__ = ()


class ShutdownStarted(Message):
    """Notice to tasks that this instance is shutting down."""

    __slots__ = ()
