"""Commit configurations as an operator's tool would."""

from currantspur.messages import Change, Configuration, Head
from currantspur.platform import Platform
from currantspur.platform.versions import CONFIGURATION_SECTION
from currantspur.settings import print_configuration
from currantspur.tasks.clock import SystemClock
from currantspur.tasks.committer import QuorumCommitter
from currantspur.tasks.mailbox import Mailbox
from currantspur.tasks.quorum import Quorum
from currantspur.wire.peer_grpc import GrpcPeers


class OperatorStandin:
    """Commit through the committers that the newest version names."""

    __slots__ = ('committer', 'name', 'peers', 'regions', 'version')

    def __init__(self, platform: Platform, *, name: str) -> None:
        self.name = name
        self.version = 0
        self.regions: dict[str, str] = {}
        self.peers = GrpcPeers()
        self.committer = QuorumCommitter(
            platform=platform,
            quorum=Quorum(name=name, peers=self.peers, local=Mailbox()),
            clock=SystemClock(),
            list_members=platform.instances.list,
            list_regions=self.list_regions,
            notices=Mailbox(),
        )

    async def apply(self, configuration: Configuration) -> Head:
        """Commit a configuration on top of the one applied before."""
        self.regions = configuration.region_by_zone()
        body = print_configuration(configuration).encode()
        head = await self.committer.commit(
            Change(
                change_id=f'{self.name}-{self.version}',
                base_version=self.version,
                sections={CONFIGURATION_SECTION: body},
                author=self.name,
            )
        )
        self.version = head.version
        return head

    def list_regions(self) -> dict[str, str]:
        """Return the region of each availability zone applied."""
        return self.regions

    async def close(self) -> None:
        """Close the channels to committers."""
        await self.peers.close()
