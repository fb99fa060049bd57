"""Read and check what operators write."""

from currantspur.settings.configuration import (
    print_configuration,
    read_configuration,
    to_plain,
)
from currantspur.settings.daemon import (
    DaemonSettings,
    is_daemon_settings,
    read_daemon_settings,
)
from currantspur.settings.document import is_address, split_address
from currantspur.settings.findings import Finding
from currantspur.settings.tls import TlsFiles

__all__ = (
    'DaemonSettings',
    'Finding',
    'TlsFiles',
    'is_address',
    'is_daemon_settings',
    'print_configuration',
    'read_configuration',
    'read_daemon_settings',
    'split_address',
    'to_plain',
)
