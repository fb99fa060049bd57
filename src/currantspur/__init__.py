"""Steer traffic across regions, availability zones and targets."""

from currantspur.daemon import Daemon
from currantspur.errors import CurrantspurError
from currantspur.messages import Configuration
from currantspur.settings import (
    DaemonSettings,
    read_configuration,
    read_daemon_settings,
)

__all__ = (
    'Configuration',
    'CurrantspurError',
    'Daemon',
    'DaemonSettings',
    'read_configuration',
    'read_daemon_settings',
)
