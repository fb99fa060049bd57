"""Adapt the users' platform: its names, row formats and store calls only."""

from currantspur.platform.names import PLATFORM_NAMES
from currantspur.platform.rows import OperatorRowDecoder, TargetRowDecoder
from currantspur.platform.store import PlatformStore

__all__ = (
    'PLATFORM_NAMES',
    'OperatorRowDecoder',
    'PlatformStore',
    'TargetRowDecoder',
)
