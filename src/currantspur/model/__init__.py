"""Simulate policies on model targets, without sockets or processes."""

from currantspur.model.policies import POLICIES
from currantspur.model.run import RegionResult, Scenario, simulate

__all__ = ('POLICIES', 'RegionResult', 'Scenario', 'simulate')
