"""Global traffic steering: entry instances forward requests to targets."""

from currantspur.errors import CurrantspurError
from currantspur.messages import Configuration

__all__ = ('Configuration', 'CurrantspurError')
