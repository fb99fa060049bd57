"""Steer traffic across regions, availability zones and targets."""

from currantspur.errors import CurrantspurError
from currantspur.messages import Configuration

__all__ = ('Configuration', 'CurrantspurError')
