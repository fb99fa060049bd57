"""Assemble the tasks by which an instance follows the fleet."""

from collections.abc import Coroutine, Iterable, Iterator
from typing import Any

from currantspur.messages import (
    HeadRequest,
    Instance,
    MembersAnswer,
    MembersRequest,
    Message,
    ObjectRequest,
    ProofRequest,
    VersionNotice,
    WriteIntent,
)
from currantspur.platform import Platform
from currantspur.platform.counting import (
    CallCounter,
    CallTally,
    count_calls,
)
from currantspur.tasks.archive import Archive
from currantspur.tasks.clock import Clock
from currantspur.tasks.committee import CommitteeTask
from currantspur.tasks.committer import QuorumCommitter
from currantspur.tasks.fetching import Fetcher
from currantspur.tasks.follower import Follower
from currantspur.tasks.mailbox import Mailbox
from currantspur.tasks.membership import (
    MembershipReader,
    MembershipTask,
    ObservedPeers,
)
from currantspur.tasks.notifier import Notifier
from currantspur.tasks.peer_reader import PeerReader
from currantspur.tasks.peers import PeerPort
from currantspur.tasks.proof_relay import ProofRelay
from currantspur.tasks.quorum import Quorum
from currantspur.tasks.registrar import Registrar
from currantspur.tasks.store_reader import StoreReader


class Control:
    """Join store, peers, versions, proofs and members of one instance."""

    __slots__ = (
        'archive',
        'clock',
        'committee',
        'committer',
        'counter',
        'fetcher',
        'follower',
        'instance',
        'membership',
        'membership_reader',
        'notifier',
        'peer_reader',
        'peers',
        'platform',
        'quorum',
        'readers',
        'registrar',
        'relay',
        'seeds',
        'store_reader',
    )

    def __init__(
        self,
        *,
        platform: Platform,
        peers: PeerPort,
        instance: Instance,
        clock: Clock,
        poll_s: float,
        journal: Mailbox,
        readers: Iterable[Mailbox],
        seeds: Iterable[Instance] = (),
        counter: CallCounter | None = None,
    ) -> None:
        """Take the mailboxes that want versions, proofs and members."""
        self.platform = platform
        self.counter = counter or CallTally()
        self.instance = instance
        self.clock = clock
        self.seeds = tuple(seeds)
        self.readers = list(readers)
        self.archive = Archive()
        self.membership = MembershipTask(clock=clock, readers=self.readers)
        self.peers = ObservedPeers(peers, self.membership.mailbox)
        self.fetcher = Fetcher(
            peers=self.peers, platform=self.count('sections')
        )
        self.relay = ProofRelay(name=instance.name, clock=clock)
        self.quorum = Quorum(
            name=instance.name, peers=self.peers, local=self.relay.mailbox
        )
        self.follower = Follower(
            name=instance.name,
            fetcher=self.fetcher,
            clock=clock,
            archive=self.archive.mailbox,
            journal=journal,
            readers=self.readers,
        )
        self.membership_reader = self._open_membership_reader()
        self.store_reader = self._open_store_reader(poll_s)
        self.peer_reader = self._open_peer_reader(poll_s)
        self.notifier = Notifier(
            name=instance.name,
            peers=self.peers,
            readers=(self.store_reader.mailbox,),
        )
        self.committer = self._open_committer()
        self.registrar = self._open_registrar()
        self.committee = CommitteeTask(
            name=instance.name, committer=self.committer, clock=clock
        )
        self.readers.extend(self._mailboxes())

    def runs(self) -> Iterator[Coroutine[Any, Any, None]]:
        """Yield what has to run, a coroutine a task."""
        yield self.archive.run()
        yield self.membership.run()
        yield self.relay.run()
        yield self.follower.run()
        yield self.membership_reader.run()
        yield self.store_reader.run()
        yield self.peer_reader.run()
        yield self.notifier.run()
        yield self.registrar.run()
        yield self.committee.run()

    def questions(self) -> dict[type[Message], Mailbox]:
        """Return the mailbox that answers each class of peers' questions."""
        return {
            HeadRequest: self.archive.mailbox,
            MembersRequest: self.membership.mailbox,
            ObjectRequest: self.archive.mailbox,
            ProofRequest: self.relay.mailbox,
            VersionNotice: self.notifier.mailbox,
            WriteIntent: self.relay.mailbox,
        }

    def count(self, mechanism: str) -> Platform:
        """Return the platform, counting calls for a mechanism."""
        return count_calls(self.platform, self.counter, mechanism)

    async def list_members(self) -> tuple[Instance, ...]:
        """Return the members as this instance knows them."""
        question = MembersRequest(asker=self.instance.name)
        answer: MembersAnswer = await self.membership.mailbox.ask(question)
        return answer.instances

    def list_regions(self) -> dict[str, str]:
        """Return the region of each availability zone in force."""
        return self.follower.configuration.region_by_zone()

    def _mailboxes(self) -> Iterator[Mailbox]:
        yield self.relay.mailbox
        yield self.follower.mailbox
        yield self.membership_reader.mailbox
        yield self.store_reader.mailbox
        yield self.peer_reader.mailbox
        yield self.notifier.mailbox
        yield self.registrar.mailbox
        yield self.committee.mailbox

    def _open_membership_reader(self) -> MembershipReader:
        return MembershipReader(
            instance=self.instance,
            instances=self.count('members').instances,
            peers=self.peers,
            roster=self.membership.mailbox,
            clock=self.clock,
            seeds=self.seeds,
        )

    def _open_store_reader(self, poll_s: float) -> StoreReader:
        return StoreReader(
            platform=self.count('head'),
            instance=self.instance,
            clock=self.clock,
            poll_s=poll_s,
            follower=self.follower.mailbox,
        )

    def _open_peer_reader(self, poll_s: float) -> PeerReader:
        return PeerReader(
            instance=self.instance,
            peers=self.peers,
            quorum=self.quorum,
            fetcher=self.fetcher,
            clock=self.clock,
            poll_s=poll_s,
            follower=self.follower.mailbox,
            seeds=self.seeds,
        )

    def _open_committer(self) -> QuorumCommitter:
        return QuorumCommitter(
            platform=self.count('changes'),
            quorum=self.quorum,
            clock=self.clock,
            list_members=self.list_members,
            list_regions=self.list_regions,
            notices=self.notifier.mailbox,
        )

    def _open_registrar(self) -> Registrar:
        return Registrar(
            name=self.instance.name,
            platform=self.count('registration'),
            relay=self.relay.mailbox,
            clock=self.clock,
        )
