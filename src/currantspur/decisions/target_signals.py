"""Keep what targets say of themselves, to this instance or to its peers.

A target that restarts, also under its name, knows nothing of what it said
before: what is kept holds for one start of a target, and for rows of earlier
starts, which an outdated source or a restored copy of the store may list.
"""

from collections.abc import Iterator, Mapping
from enum import StrEnum
from operator import itemgetter

from currantspur.messages import Target, TargetNotice, TargetSignals

# A target that left the table may be listed again by an outdated source.
UNLISTED_RETENTION_S = 60.0
# Notices that fit into a heartbeat beside the demand of teams.
MAX_NOTICES = 16
# Peers that missed the end of a limit in one heartbeat get it in the next ones.
ENDED_LIMIT_NOTICE_S = 3.0
# A limit is logged again once it has changed by more than this ratio.
LOGGED_LIMIT_CHANGE_RATIO = 0.2
# A target that names days by mistake is tried again after this time.
MAX_PAUSE_S = 600.0
NEVER = float('-inf')


class SignalKind(StrEnum):
    """What a target said, by the kind of its log line."""

    LEAVING = 'target_leaving'
    LIMIT = 'target_limit'
    PAUSE = 'target_pause'


class SignalRecord:
    """What one start of a target said.

    Moments are monotonic seconds.

    - ``known_since``: when this start was first heard of.
    - ``listed_at``: when a row of this or a later start was last listed.
    - ``leaving_since``: when it first said that it leaves, or None.
    - ``limit_per_s``: the limit that it names now, or None.
    - ``limited_since``: when it first named a limit without a pause.
    - ``limit_said_at``: when it last named one, or no longer did.
    - ``paused_until``: it wants no request of this instance before.
    """

    __slots__ = (
        'address',
        'known_since',
        'leaving_since',
        'limit_per_s',
        'limit_said_at',
        'limited_since',
        'listed_at',
        'logged_limit_per_s',
        'paused_until',
        'started_at_unix_ms',
    )

    def __init__(
        self, *, started_at_unix_ms: int, address: str, at: float
    ) -> None:
        self.started_at_unix_ms = started_at_unix_ms
        self.address = address
        self.known_since = at
        self.listed_at = at
        self.leaving_since: float | None = None
        self.limit_per_s: float | None = None
        self.limit_said_at = NEVER
        self.limited_since = NEVER
        self.logged_limit_per_s: float | None = None
        self.paused_until = NEVER

    def describes(self, started_at_unix_ms: int, address: str) -> bool:
        """Tell whether this is the start of the target with these values."""
        return (
            started_at_unix_ms == self.started_at_unix_ms
            and address == self.address
        )

    def covers(self, started_at_unix_ms: int, address: str) -> bool:
        """Tell whether a row with these values is of this start or earlier."""
        return started_at_unix_ms < self.started_at_unix_ms or self.describes(
            started_at_unix_ms, address
        )

    def update(
        self, signals: TargetSignals, *, asked_at: float, said_at: float
    ) -> Iterator[SignalKind]:
        """Apply what the target said; yield what is new and worth a line.

        Responses may overtake each other: one without a limit ends it only if
        it was asked for after the target last named one.
        """
        if signals.is_leaving and self.leaving_since is None:
            self.leaving_since = said_at
            yield SignalKind.LEAVING
        if signals.retry_after_s:
            if self.paused_until <= said_at:
                yield SignalKind.PAUSE
            pause_s = min(MAX_PAUSE_S, signals.retry_after_s)
            self.paused_until = max(self.paused_until, said_at + pause_s)
        was_limited = self.limit_per_s is not None
        if signals.limit_per_s is None:
            is_news = was_limited and asked_at >= self.limit_said_at
        else:
            is_news = said_at >= self.limit_said_at
        if is_news:
            self._set_limit(signals.limit_per_s, said_at)
        if _differs(self.logged_limit_per_s, self.limit_per_s):
            self.logged_limit_per_s = self.limit_per_s
            yield SignalKind.LIMIT

    def _set_limit(self, limit_per_s: float | None, said_at: float) -> None:
        if self.limit_per_s is None:
            self.limited_since = said_at
        self.limit_per_s = limit_per_s
        self.limit_said_at = said_at


class SignalTable:
    """The signals of all targets, by their names."""

    __slots__ = ('record_by_name',)

    def __init__(self) -> None:
        self.record_by_name: dict[str, SignalRecord] = {}

    def find(self, target: Target) -> SignalRecord | None:
        """Return what this or a later start of a target said, or None."""
        record = self.record_by_name.get(target.name)
        if record is None or not record.covers(
            target.started_at_unix_ms, target.address
        ):
            return None
        return record

    def is_leaving(self, target: Target) -> bool:
        """Tell whether this start of a target said that it is leaving."""
        record = self.find(target)
        return record is not None and record.leaving_since is not None

    def find_limit_per_s(self, target: Target) -> float | None:
        """Return the limit that this start of a target names, or None."""
        record = self.find(target)
        return None if record is None else record.limit_per_s

    def find_pause_s(self, target: Target, at: float) -> float:
        """Return the seconds for which this start of a target wants nothing."""
        record = self.find(target)
        return 0.0 if record is None else max(0.0, record.paused_until - at)

    def record_response(
        self,
        target: Target,
        signals: TargetSignals,
        *,
        requested_at: float,
        at: float,
    ) -> list[SignalKind]:
        """Record a response; return what is new.

        A request that was sent once a later start was known, to the address of
        that start, was answered by it.
        """
        started_at_unix_ms = target.started_at_unix_ms
        known = self.find(target)
        if (
            known is not None
            and known.address == target.address
            and requested_at >= known.known_since
        ):
            started_at_unix_ms = known.started_at_unix_ms
        notice = TargetNotice(
            target=target.name,
            started_at_unix_ms=started_at_unix_ms,
            address=target.address,
            signals=signals,
            age_s=0.0,
        )
        record = self._find_or_create(notice, at)
        if record is None:
            return []
        return list(record.update(signals, asked_at=requested_at, said_at=at))

    def record_notice(
        self, notice: TargetNotice, at: float
    ) -> list[SignalKind]:
        """Record what a peer was told; return what is new."""
        record = self._find_or_create(notice, at)
        if record is None:
            return []
        said_at = at - max(0.0, notice.age_s)
        return list(
            record.update(notice.signals, asked_at=said_at, said_at=said_at)
        )

    def list_notices(
        self, targets: Mapping[str, Target], at: float
    ) -> Iterator[TargetNotice]:
        """Yield, the newest first, what the rows of the targets do not say."""
        newest_first = sorted(
            (
                (_last_said_at(record), name, record)
                for name, record in self.record_by_name.items()
                if _is_news(record, targets.get(name), at)
            ),
            key=itemgetter(0),
            reverse=True,
        )
        for said_at, name, record in newest_first[:MAX_NOTICES]:
            yield TargetNotice(
                target=name,
                started_at_unix_ms=record.started_at_unix_ms,
                address=record.address,
                signals=TargetSignals(
                    is_leaving=record.leaving_since is not None,
                    limit_per_s=record.limit_per_s,
                ),
                age_s=at - said_at,
            )

    def forget_unlisted(self, listed: Mapping[str, Target], at: float) -> None:
        """Drop targets that have not been listed for UNLISTED_RETENTION_S.

        The row of an earlier start counts again after that time: the clock of
        the target's machine may have been set back.
        """
        for name, record in list(self.record_by_name.items()):
            row = listed.get(name)
            if row is not None and (
                row.started_at_unix_ms >= record.started_at_unix_ms
            ):
                record.listed_at = at
            elif at - record.listed_at > UNLISTED_RETENTION_S:
                self.record_by_name.pop(name)

    def _find_or_create(
        self, notice: TargetNotice, at: float
    ) -> SignalRecord | None:
        """Return the record to update, or None if the notice is no news.

        It says nothing, or is of an earlier start than the known one.
        """
        record = self.record_by_name.get(notice.target)
        if record is not None and record.describes(
            notice.started_at_unix_ms, notice.address
        ):
            return record
        is_outdated = (
            record is not None
            and notice.started_at_unix_ms < record.started_at_unix_ms
        )
        if is_outdated or not _says_anything(notice.signals):
            return None
        record = SignalRecord(
            started_at_unix_ms=notice.started_at_unix_ms,
            address=notice.address,
            at=at,
        )
        self.record_by_name[notice.target] = record
        return record


def _says_anything(signals: TargetSignals) -> bool:
    return (
        signals.is_leaving
        or signals.limit_per_s is not None
        or bool(signals.retry_after_s)
    )


def _last_said_at(record: SignalRecord) -> float:
    leaving_since = record.leaving_since
    return max(
        record.limit_said_at, NEVER if leaving_since is None else leaving_since
    )


def _is_news(record: SignalRecord, target: Target | None, at: float) -> bool:
    """Tell whether peers may not know from the row what the target said."""
    if target is None or target.is_draining:
        return False
    return (
        record.leaving_since is not None
        or record.limit_per_s is not None
        or at - record.limit_said_at < ENDED_LIMIT_NOTICE_S
    )


def _differs(logged: float | None, current: float | None) -> bool:
    if logged is None or current is None:
        return logged is not current
    return abs(current - logged) > LOGGED_LIMIT_CHANGE_RATIO * logged
