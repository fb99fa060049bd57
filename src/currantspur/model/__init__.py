"""Drive the pure decisions by a virtual clock, without sockets."""

from currantspur.model.experiment import Experiment, read_experiment
from currantspur.model.faults import FAULTS
from currantspur.model.run import run_experiment, simulate

__all__ = (
    'FAULTS',
    'Experiment',
    'read_experiment',
    'run_experiment',
    'simulate',
)
