"""Hold what the routes for operators reach."""

from currantspur.messages import Instance, Message
from currantspur.platform import Platform
from currantspur.tasks import Mailbox
from currantspur.tasks.peers import PeerPort


class AdminServices(Message):
    """Name the tasks and ports that answer operators."""

    __slots__ = (
        'administration',
        'changes',
        'instance',
        'journal',
        'peers',
        'platform',
        'steering',
    )

    def __init__(
        self,
        *,
        instance: Instance,
        administration: Mailbox,
        changes: Mailbox,
        journal: Mailbox,
        steering: Mailbox,
        platform: Platform,
        peers: PeerPort,
    ) -> None:
        self.instance = instance
        self.administration = administration
        self.changes = changes
        self.journal = journal
        self.steering = steering
        self.platform = platform
        self.peers = peers
