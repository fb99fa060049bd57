"""Name the faults of the model and what each does to a moment."""

from types import MappingProxyType
from typing import Final, Literal

from currantspur.messages import Message

FAULT_START_S = 120.0
FAULT_END_S = 300.0
SLOWNESS = 2.0
DEAD_SHARE = 0.5

Reports = Literal['good', 'lagging', 'missing', 'frozen', 'lying']


class Fault(Message):
    """Describe one fault; zones and targets fail between start and end."""

    __slots__ = (
        'caches_lost',
        'drained',
        'lost_zones',
        'name',
        'reports',
        'slowness',
        'target_share',
    )

    def __init__(
        self,
        *,
        name: str,
        lost_zones: tuple[str, ...] = (),
        drained: tuple[str, ...] = (),
        reports: Reports = 'good',
        target_share: float = 1.0,
        slowness: float = 1.0,
        caches_lost: bool = False,
    ) -> None:
        """Take the share of targets left in the first zone, and their pace."""
        self.name = name
        self.lost_zones = lost_zones
        self.drained = drained
        self.reports = reports
        self.target_share = target_share
        self.slowness = slowness
        self.caches_lost = caches_lost


_NORTH = ('north-1', 'north-2')
_ALL = (
    Fault(name='none'),
    Fault(name='zone cut', lost_zones=('north-1',)),
    Fault(name='region fails', lost_zones=_NORTH),
    Fault(name='reports lag', reports='lagging'),
    Fault(name='reports missing', reports='missing'),
    Fault(name='reports frozen', reports='frozen'),
    Fault(name='reports lie', reports='lying'),
    Fault(name='targets dead', target_share=DEAD_SHARE),
    Fault(name='targets slow', slowness=SLOWNESS),
    Fault(name='zone drained', drained=('north-1',)),
    Fault(name='region drained', drained=_NORTH),
    Fault(name='caches lost', lost_zones=('north-1',), caches_lost=True),
    Fault(
        name='region fails, reports lag', lost_zones=_NORTH, reports='lagging'
    ),
    Fault(
        name='zone cut, reports missing',
        lost_zones=_NORTH[:1],
        reports='missing',
    ),
    Fault(name='zone cut, drain', lost_zones=('south-1',), drained=_NORTH[:1]),
)
FAULTS: Final = MappingProxyType({fault.name: fault for fault in _ALL})
