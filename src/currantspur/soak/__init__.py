"""Run instances as processes, hurt them from outside and check promises."""

from currantspur.soak.invariants import Violation
from currantspur.soak.run import run_seed

__all__ = ('Violation', 'run_seed')
