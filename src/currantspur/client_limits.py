"""Limits on the clients of one instance, from its settings."""

from types import MappingProxyType
from typing import Final, Literal

from currantspur.decisions.byte_budget import CLIENT_FD_SHARE, size_budget
from currantspur.settings import DaemonSettings
from currantspur.tasks import AdmissionTask, Clock, Journal
from currantspur.wire.client_guard import ClientGuard
from currantspur.wire.limit_log import LimitLog
from currantspur.wire.metrics import Metrics
from currantspur.wire.server import GuardedAddress

AddressKey = Literal['directory', 'listen', 'metrics', 'peer', 'ready']
# Shares of the descriptors. A quarter and more is left for targets, the store
# and connections to peers.
FD_SHARES: Final = MappingProxyType(
    {
        'listen': CLIENT_FD_SHARE,
        'peer': 0.1,
        'directory': 0.08,
        'metrics': 0.02,
        'ready': 0.04,
    }
)
MIN_CONNECTIONS = 4


class ClientLimits:
    """The guard of all clients, and the addresses at which it applies."""

    __slots__ = ('guard', 'settings')

    def __init__(
        self,
        settings: DaemonSettings,
        *,
        admission: AdmissionTask,
        metrics: Metrics,
        journal: Journal,
        clock: Clock,
    ) -> None:
        self.settings = settings
        self.guard = ClientGuard(
            limit_bytes=size_budget(settings.memory_mb, settings.max_fds),
            get_limits=lambda: admission.configuration.limits,
            limit_log=LimitLog(journal=journal, metrics=metrics),
            clock=clock,
        )
        metrics.add_gauge(
            'client_bytes_held',
            'Bytes held for clients: bodies, heads and responses.',
            lambda: self.guard.budget.held,
        )
        metrics.add_gauge(
            'client_bytes_limit',
            'Bytes that may be held for clients.',
            lambda: self.guard.budget.limit_bytes,
        )
        metrics.add_gauge(
            'client_connections',
            'Connections of clients at all addresses.',
            lambda: len(self.guard.by_holder),
        )

    def find_address(self, key: AddressKey) -> GuardedAddress:
        """Return an address of the settings, with its limit."""
        share = FD_SHARES[key] * self.settings.max_fds
        return GuardedAddress(
            getattr(self.settings, key),
            guard=self.guard,
            max_connections=max(MIN_CONNECTIONS, int(share)),
        )
