"""Define how limits of the fleet are split among instances."""

from currantspur.messages.base import Message


class Part(Message):
    """Give one holder a part of a limit: tokens a second and tokens at once."""

    __slots__ = ('burst', 'rate')

    def __init__(self, *, rate: float, burst: float) -> None:
        self.rate = rate
        self.burst = burst


class Allotment(Message):
    """Give an instance its part of a limit."""

    __slots__ = ('instance', 'limit', 'part')

    def __init__(self, *, limit: str, instance: str, part: Part) -> None:
        """Take the limit by name, such as team/NAME or slots/TARGET."""
        self.limit = limit
        self.instance = instance
        self.part = part


class Plan(Message):
    """Split every limit; the parts of a limit sum to no more than it."""

    __slots__ = ('allotments', 'totals')

    def __init__(
        self,
        *,
        allotments: tuple[Allotment, ...] = (),
        totals: dict[str, Part] | None = None,
    ) -> None:
        """Take the parts and the totals by limit that they were cut from."""
        self.allotments = allotments
        self.totals = totals or {}


class Parts(Message):
    """Set the parts that this instance may use from now on, by limit."""

    __slots__ = ('by_limit', 'version')

    def __init__(self, *, by_limit: dict[str, Part], version: int = 0) -> None:
        """Take the parts and the newest version that they allow for."""
        self.by_limit = by_limit
        self.version = version


def name_team_limit(team: str) -> str:
    """Return the name of the limit on a team's requests a second."""
    return f'team/{team}'


def name_region_limit(region: str) -> str:
    """Return the name of the limit on a region's intake a second."""
    return f'region/{region}'


def name_link_limit(origin: str, destination: str) -> str:
    """Return the name of the limit on a link's bits a second."""
    return f'link/{origin}/{destination}'


def name_slots_limit(target: str) -> str:
    """Return the name of the limit on a target's requests at once."""
    return f'slots/{target}'
