"""Run instances as processes, inject faults and check invariants."""

from currantspur.soak.invariants import Violation
from currantspur.soak.run import run_seed

__all__ = ('Violation', 'run_seed')
