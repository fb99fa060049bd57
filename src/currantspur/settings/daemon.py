"""Read the settings of one entry daemon."""

from currantspur.messages import Operator
from currantspur.messages.base import Message
from currantspur.settings.configuration import read_operator
from currantspur.settings.document import Cursor, Document
from currantspur.settings.tls import (
    TlsFiles,
    read_caller_tls,
    read_peer_tls,
)

FRESHNESS_S = 1.5
POLL_S = 0.4
LEAVE_S = 30.0
SHORTEST_S = 0.01
LONGEST_S = 3600.0
DAEMON_NAMES = frozenset(('instance', 'listen', 'peer', 'admin', 'platform'))


class DaemonSettings(Message):
    """Tell a daemon who it is, where it listens and where the platform is."""

    __slots__ = (
        'admin',
        'availability_zone',
        'collector',
        'freshness_s',
        'instance',
        'leave_s',
        'listen',
        'operators',
        'peer',
        'peer_tls',
        'platform',
        'poll_s',
        'seeds',
        'tls',
    )

    def __init__(
        self,
        *,
        instance: str,
        availability_zone: str,
        listen: str,
        peer: str,
        admin: str,
        platform: str,
        collector: str | None = None,
        freshness_s: float = FRESHNESS_S,
        poll_s: float = POLL_S,
        leave_s: float = LEAVE_S,
        operators: tuple[Operator, ...] = (),
        seeds: tuple[str, ...] = (),
        tls: TlsFiles | None = None,
        peer_tls: TlsFiles | None = None,
    ) -> None:
        """Take addresses as IP numbers with ports and times in seconds."""
        self.instance = instance
        self.availability_zone = availability_zone
        self.listen = listen
        self.peer = peer
        self.admin = admin
        self.platform = platform
        self.collector = collector
        self.freshness_s = freshness_s
        self.poll_s = poll_s
        self.leave_s = leave_s
        self.operators = operators
        self.seeds = seeds
        self.tls = tls
        self.peer_tls = peer_tls


def read_daemon_settings(text: str, *, file: str) -> DaemonSettings:
    """Parse daemon settings; raise SettingsError with all findings."""
    document = Document(text, file=file)
    root = document.root
    settings = DaemonSettings(
        instance=root.text('instance'),
        availability_zone=root.text('availability_zone'),
        listen=root.address('listen'),
        peer=root.address('peer'),
        admin=root.address('admin'),
        platform=root.address('platform'),
        collector=_read_collector(root),
        freshness_s=root.number(
            'freshness_s', FRESHNESS_S, low=0.1, high=LONGEST_S
        ),
        poll_s=root.number('poll_s', POLL_S, low=SHORTEST_S, high=LONGEST_S),
        leave_s=root.number('leave_s', LEAVE_S, high=LONGEST_S),
        operators=tuple(map(read_operator, root.each('operators'))),
        seeds=tuple(seed.address('peer') for seed in root.each('seeds')),
        tls=read_caller_tls(root),
        peer_tls=read_peer_tls(root),
    )
    root.finish()
    document.close()
    return settings


def is_daemon_settings(text: str) -> bool:
    """Tell by its names whether a document holds daemon settings."""
    names = set(Document(text, file='').root.names())
    return bool(names & DAEMON_NAMES)


def _read_collector(root: Cursor) -> str | None:
    if root.child('collector').absent:
        return None
    return root.address('collector')
