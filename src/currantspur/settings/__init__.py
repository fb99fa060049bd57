"""Settings of an instance, read from YAML."""

from currantspur.settings.daemon import (
    DaemonSettings,
    is_daemon_settings,
    read_daemon_settings,
)
from currantspur.settings.document import Document, is_address, split_address
from currantspur.settings.findings import Finding

__all__ = (
    'DaemonSettings',
    'Document',
    'Finding',
    'is_address',
    'is_daemon_settings',
    'read_daemon_settings',
    'split_address',
)
