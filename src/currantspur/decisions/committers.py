"""Decide who may vouch for a version and what a majority proves."""

from collections.abc import Iterable, Mapping, Sequence

from currantspur.decisions.relays import rank_instances
from currantspur.messages import (
    Instance,
    ProofAnswer,
    WriteAcknowledgement,
    WriteIntent,
)

# The largest odd set that a fleet of that many live instances can fill.
SET_SIZES = (5, 3, 1)
# With fewer regions, one of them must hold a majority.
FEWEST_REGIONS = 3


class Witness:
    """Remember the intended writes that one incarnation acknowledged.

    It answers only between a finished registration and the next: then every
    write acknowledged earlier has either landed or can land no more.
    """

    __slots__ = ('intents', 'name', 'newest', 'row_version')

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.newest = 0
        self.row_version: int | None = None
        self.intents: dict[str, WriteIntent] = {}

    def observe(self, version: int) -> None:
        """Note that a version exists; writes on older ones are settled."""
        self.newest = max(self.newest, version)
        self.intents = {
            change_id: intent
            for change_id, intent in self.intents.items()
            if intent.base_version >= self.newest
        }

    def acknowledge(self, intent: WriteIntent) -> WriteAcknowledgement:
        """Accept a write on the newest version and keep it open."""
        accepted = (
            self.row_version is not None and intent.base_version >= self.newest
        )
        if accepted:
            self.intents[intent.change_id] = intent
        return WriteAcknowledgement(
            answerer=self.name,
            accepted=accepted,
            row_version=self.row_version or 0,
        )

    def vouches(self, version: int) -> bool:
        """Tell whether no write on a version can have been committed."""
        return (
            self.row_version is not None
            and not self.intents
            and self.newest <= version
        )

    def begin_registration(self) -> None:
        """Fall silent until the new row was written and the head read."""
        self.row_version = None

    def finish_registration(self, row_version: int, newest: int) -> None:
        """Forget acknowledged writes: they landed or can land no more."""
        self.intents.clear()
        self.observe(newest)
        self.row_version = row_version


def count_majority(size: int) -> int:
    """Return how many of a set are more than half; none of an empty one."""
    return size // 2 + 1 if size else 0


def proves(
    version: int,
    committers: Mapping[str, str],
    answers: Iterable[ProofAnswer],
) -> bool:
    """Tell whether answers prove that a version is the newest."""
    vouching = {
        answer.answerer
        for answer in answers
        if answer.vouches
        and answer.version <= version
        and answer.answerer in committers
    }
    needed = count_majority(len(committers))
    return needed > 0 and len(vouching) >= needed


def choose_committers(
    held: Mapping[str, str],
    instances: Iterable[Instance],
    regions: Mapping[str, str],
) -> dict[str, str]:
    """Return a set that keeps the live ones and no majority in a region."""
    live = [one for one in instances if one.state == 'live']
    seats = Seats(live, regions)
    seats.keep(one for one in live if held.get(one.name) == one.peer)
    seats.fill(live)
    return {one.name: one.peer for one in seats.taken}


class Seats:
    """Seat committers by region, then by availability zone."""

    __slots__ = ('most', 'regions', 'size', 'taken')

    def __init__(
        self, live: Sequence[Instance], regions: Mapping[str, str]
    ) -> None:
        """Take the region of each zone; an unknown zone is its own region."""
        self.regions = regions
        self.taken: list[Instance] = []
        self.size = next((size for size in SET_SIZES if size <= len(live)), 0)
        self.most = self.size
        if len({self._region(one) for one in live}) >= FEWEST_REGIONS:
            self.most = max(1, self.size // 2)

    def keep(self, held: Iterable[Instance]) -> None:
        """Seat those that held a seat before, up to the most of a region."""
        for one in rank_instances(held, 'committer'):
            if len(self.taken) < self.size and self._crowd(one)[0] < self.most:
                self.taken.append(one)

    def fill(self, live: Iterable[Instance]) -> None:
        """Seat others where the fewest sit."""
        left = rank_instances(live, 'committer')
        left = [one for one in left if one not in self.taken]
        while left and len(self.taken) < self.size:
            emptiest = min(left, key=self._crowd)
            left.remove(emptiest)
            self.taken.append(emptiest)

    def _region(self, one: Instance) -> str:
        zone = one.availability_zone
        return self.regions.get(zone, zone)

    def _crowd(self, one: Instance) -> tuple[int, int]:
        zones = [other.availability_zone for other in self.taken]
        regions = [self._region(other) for other in self.taken]
        return (
            regions.count(self._region(one)),
            zones.count(one.availability_zone),
        )
