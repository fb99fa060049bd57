"""Stand in for the platform and for targets in tests and demonstrations."""

from currantspur.standins.platform import PlatformStandin
from currantspur.standins.store import open_memory_platform
from currantspur.standins.target import TargetStandin

__all__ = ('PlatformStandin', 'TargetStandin', 'open_memory_platform')
