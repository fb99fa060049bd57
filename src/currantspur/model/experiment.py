"""Read the file that describes an experiment."""

from pathlib import Path
from typing import cast, get_args

from currantspur.messages import Message
from currantspur.model.faults import FAULTS
from currantspur.model.load import Shape
from currantspur.settings.document import Cursor, Document
from currantspur.standins.workloads import WORKLOADS

POLICIES = ('fairness', 'latency', 'nearest', 'least-loaded')
LENGTH_S = 600.0
LONGEST_S = 86_400.0
SCALE = 0.6
PEAK = 1.5
GREEDY = 1.0
INTAKE_RATE = 160.0
SHIFT_CAP = 0.2
SERVICE_S = 0.1
LEAST = 0.001
ALL_FAULTS = tuple(FAULTS)


class Experiment(Message):
    """Say what is run: workload, load, policies, faults, seed."""

    __slots__ = (
        'faults',
        'greedy',
        'intake_rate',
        'length_s',
        'peak',
        'policies',
        'scale',
        'seed',
        'service_s',
        'shape',
        'shift_cap',
        'workload',
    )

    def __init__(
        self,
        *,
        workload: str,
        policies: tuple[str, ...] = POLICIES,
        faults: tuple[str, ...] = ALL_FAULTS,
        shape: Shape = 'diurnal',
        seed: int = 1,
        scale: float = SCALE,
        peak: float = PEAK,
        greedy: float = GREEDY,
        length_s: float = LENGTH_S,
        intake_rate: float = INTAKE_RATE,
        shift_cap: float = SHIFT_CAP,
        service_s: float = SERVICE_S,
    ) -> None:
        """Take loads as shares of the rates, and times in seconds."""
        self.workload = workload
        self.policies = policies
        self.faults = faults
        self.shape = shape
        self.seed = seed
        self.scale = scale
        self.peak = peak
        self.greedy = greedy
        self.length_s = length_s
        self.intake_rate = intake_rate
        self.shift_cap = shift_cap
        self.service_s = service_s


def read_experiment(path: Path) -> Experiment:
    """Parse an experiment; raise SettingsError with all findings."""
    document = Document(path.read_text(encoding='utf-8'), file=str(path))
    root = document.root
    experiment = Experiment(
        workload=root.choice('workload', WORKLOADS, 'etiqueta-clara'),
        policies=_read_choices(root, 'policies', POLICIES),
        faults=_read_choices(root, 'faults', ALL_FAULTS),
        shape=cast('Shape', root.choice('shape', get_args(Shape), 'diurnal')),
        seed=int(root.number('seed', 1.0)),
        scale=root.number('scale', SCALE),
        peak=root.number('peak', PEAK),
        greedy=root.number('greedy', GREEDY),
        length_s=root.number('length_s', LENGTH_S, low=1.0, high=LONGEST_S),
        intake_rate=root.number('intake_rate', INTAKE_RATE, low=1.0),
        shift_cap=root.number('shift_cap', SHIFT_CAP, low=LEAST, high=1.0),
        service_s=root.number('service_s', SERVICE_S, low=LEAST),
    )
    root.finish()
    document.close()
    return experiment


def _read_choices(
    root: Cursor, name: str, choices: tuple[str, ...]
) -> tuple[str, ...]:
    chosen = []
    for member in root.each(name):
        text = str(member.node.value) if member.node else ''
        if text not in choices:
            wanted = ', '.join(choices)
            member.blame(f'expected one of {wanted}')
        chosen.append(text)
    return tuple(chosen) or choices
