"""Stand-ins for the platform's store and for targets, on loopback."""

from currantspur.standins.fleet import Fleet
from currantspur.standins.store import StoreFailureMode, StoreStandin
from currantspur.standins.target import TargetStandin

__all__ = ('Fleet', 'StoreFailureMode', 'StoreStandin', 'TargetStandin')
