"""Play policies against modelled targets, without sockets or processes."""

from currantspur.model.policies import POLICIES
from currantspur.model.run import Outcome, Scenario, play

__all__ = ('POLICIES', 'Outcome', 'Scenario', 'play')
