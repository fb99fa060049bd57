"""Retain targets whose rows expired during an outage of the store."""

from collections.abc import Iterator, Mapping

from currantspur.decisions.departed_targets import DepartedTargets
from currantspur.messages import Target, TargetsUpdate
from currantspur.messages.revisions import NO_REVISION, get_era
from currantspur.messages.table_updates import NEVER

# Targets whose rows expired during an outage register again within about two
# seconds of its end; half a second is added for the rows to arrive here.
REREGISTER_WINDOW_S = 2.5
# Targets write their rows at the same interval: an outage in which some rows
# expire lets most of them expire. A few that are gone have left.
MIN_EXPIRED_SHARE = 1 / 3
# A retained target and the end of its window, in monotonic seconds.
RetainedTarget = tuple[Target, float]


class TargetRetention:
    """Merge the listed targets with those that may register again."""

    __slots__ = (
        'departed',
        'is_restored',
        'listed',
        'listed_before_outage',
        'outage_ended_at',
        'retained',
        'revision',
    )

    def __init__(self) -> None:
        self.listed: Mapping[str, Target] = {}
        self.retained: dict[str, RetainedTarget] = {}
        self.outage_ended_at = NEVER
        self.revision = NO_REVISION
        self.departed = DepartedTargets()
        # Whether the store came back from a copy after that outage, which may
        # lack the row of any target.
        self.is_restored = False
        # As the last outage ended, with the newest rows since then.
        self.listed_before_outage: dict[str, Target] = {}

    def update(self, latest: TargetsUpdate) -> list[str]:
        """Replace the listed targets; return the names newly retained.

        Targets that are no longer listed are retained if the list was read just
        after an outage and lacks MIN_EXPIRED_SHARE of them, or from a copy of
        the store; draining ones never are. A later outage does not prolong
        that.
        """
        is_new_era = 0 <= get_era(self.revision) < get_era(latest.revision)
        if is_new_era or latest.outage_ended_at > self.outage_ended_at:
            self.outage_ended_at = (
                latest.read_at if is_new_era else latest.outage_ended_at
            )
            self.listed_before_outage = dict(self.listed)
            self.is_restored = is_new_era
        if is_new_era:
            self.departed.hold(latest.read_at)
        else:
            self.departed.record(
                self.listed, latest.targets_by_name, latest.read_at
            )
        self.revision = latest.revision
        retain_until = self.outage_ended_at + REREGISTER_WINDOW_S
        newly_retained: list[str] = []
        if latest.read_at <= retain_until:
            newly_retained = self._list_expired_rows(latest.targets_by_name)
        for name in newly_retained:
            target = self.listed_before_outage[name]
            self.retained[name] = (target, retain_until)
        if self.is_restored:
            # What a later list lacks has left since.
            self.listed_before_outage = {}
        self.listed = latest.targets_by_name
        for name in latest.targets_by_name:
            self.retained.pop(name, None)
        return newly_retained

    def current(self, at: float) -> dict[str, Target]:
        """Return the listed and the retained targets by name.

        A retained target whose address is listed under another name is left
        out. Retained targets are dropped for good once their window is over.
        """
        for name in tuple(self.list_expired(at)):
            self.retained.pop(name)
        listed = dict(self.departed.filter_listed(self.listed, at))
        listed_addresses = {target.address for target in listed.values()}
        still_retained = {
            name: target
            for name, (target, _until) in self.retained.items()
            if target.address not in listed_addresses
        }
        return {**still_retained, **listed}

    def has_expired(self, at: float) -> bool:
        """Tell whether a window is over, and with it what is current."""
        if self.departed.has_expired(at):
            return True
        # Windows are in the order of their ends.
        first = next(iter(self.retained.values()), None)
        return first is not None and at > first[1]

    def list_expired(self, at: float) -> Iterator[str]:
        """Yield the names of retained targets whose window is over."""
        for name, (_target, until) in self.retained.items():
            if at > until:
                yield name

    def _list_expired_rows(self, latest: Mapping[str, Target]) -> list[str]:
        """Return the targets to retain that are not retained yet."""
        for name in self.listed_before_outage.keys() & latest.keys():
            self.listed_before_outage[name] = latest[name]
        candidates = [
            name
            for name, target in self.listed_before_outage.items()
            if not target.is_draining
        ]
        missing = [name for name in candidates if name not in latest]
        min_share = 0.0 if self.is_restored else MIN_EXPIRED_SHARE
        if len(missing) < min_share * len(candidates):
            return []
        return [name for name in missing if name not in self.retained]
