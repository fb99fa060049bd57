"""Targets and the load that they report."""

from currantspur.messages.base import Message


class Target(Message):
    """A process that runs requests of a service.

    - ``slots``: requests that it runs at the same time; more are queued.
    - ``is_draining``: it is about to stop and gets no new requests.
    - ``cold_remaining_s``: seconds for which it stays cold, counted from when
      it wrote its row.
    - ``started_at_unix_ms``: start of the process in Unix milliseconds, 0 if
      unknown; a new value means that the target restarted.
    """

    __slots__ = (
        'address',
        'availability_zone',
        'cold_remaining_s',
        'is_draining',
        'name',
        'service',
        'slots',
        'started_at_unix_ms',
    )

    def __init__(
        self,
        *,
        name: str,
        service: str,
        address: str,
        availability_zone: str,
        slots: int,
        is_draining: bool = False,
        cold_remaining_s: float = 0.0,
        started_at_unix_ms: int = 0,
    ) -> None:
        self.name = name
        self.service = service
        self.address = address
        self.availability_zone = availability_zone
        self.slots = slots
        self.is_draining = is_draining
        self.cold_remaining_s = cold_remaining_s
        self.started_at_unix_ms = started_at_unix_ms


class TargetLoad(Message):
    """Requests running and queued at a target, as it reported them.

    ``pace`` is how long work takes on its machine at the moment, as a multiple
    of the usual time.
    """

    __slots__ = ('pace', 'queued', 'running', 'slots')

    def __init__(
        self, *, running: int, queued: int, slots: int, pace: float = 1.0
    ) -> None:
        self.pace = pace
        self.running = running
        self.queued = queued
        self.slots = slots


class TargetSignals(Message):
    """What a target says of itself in a response.

    - ``is_leaving``: it is about to stop and wants no new requests.
    - ``limit_per_s``: requests per second that it takes from the whole fleet,
      or None.
    - ``retry_after_s``: seconds for which it wants no request of this instance,
      or None.
    """

    __slots__ = ('is_leaving', 'limit_per_s', 'retry_after_s')

    def __init__(
        self,
        *,
        is_leaving: bool = False,
        limit_per_s: float | None = None,
        retry_after_s: float | None = None,
    ) -> None:
        self.is_leaving = is_leaving
        self.limit_per_s = limit_per_s
        self.retry_after_s = retry_after_s


class TargetReport(Message):
    """A response of a target, as one instance saw it.

    - ``object_key``: the object that the target is warm for now, or None.
    - ``in_flight``: other requests that the target ran or queued.
    """

    __slots__ = ('in_flight', 'object_key', 'target')

    def __init__(
        self, *, target: str, object_key: str | None, in_flight: int
    ) -> None:
        self.target = target
        self.object_key = object_key
        self.in_flight = in_flight


class TargetNotice(Message):
    """What a start of a target said of itself to one of the instances.

    - ``started_at_unix_ms``, ``address``: tell the start of the target from
      earlier and later ones.
    - ``age_s``: seconds since it said so.
    """

    __slots__ = (
        'address',
        'age_s',
        'signals',
        'started_at_unix_ms',
        'target',
    )

    def __init__(
        self,
        *,
        target: str,
        started_at_unix_ms: int,
        address: str,
        signals: TargetSignals,
        age_s: float,
    ) -> None:
        self.target = target
        self.started_at_unix_ms = started_at_unix_ms
        self.address = address
        self.signals = signals
        self.age_s = age_s


class PeerReports(Message):
    """What another instance saw of targets, and what these said to it."""

    __slots__ = ('notices', 'reports', 'source')

    def __init__(
        self,
        reports: tuple[TargetReport, ...] = (),
        *,
        notices: tuple[TargetNotice, ...] = (),
        source: str = '',
    ) -> None:
        self.reports = reports
        self.notices = notices
        self.source = source
