"""Own the roster of members; keep it up from the platform and peers."""

from collections.abc import Iterable, Sequence

from currantspur.decisions.membership import Roster, digest_members
from currantspur.decisions.relays import is_relay, order_relays
from currantspur.errors import PeerAwayError, PlatformError
from currantspur.messages import (
    Instance,
    Listed,
    MembersAnswer,
    Membership,
    MembersRequest,
    Message,
    PeerSight,
)
from currantspur.platform import InstanceList
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Letter, Mailbox
from currantspur.tasks.peers import PeerPort
from currantspur.tasks.task import Task
from currantspur.tasks.waiting import wait_and_learn

ANNOUNCE_S = 5.0
LIST_S = 2.0
# The list is read more rarely as it grows, to spare bytes.
LIST_S_PER_MEMBER = 0.04
ASK_S = 0.5


class MembershipTask(Task):
    """Merge what is learnt of members and tell the tasks of changes."""

    __slots__ = ('clock', 'members', 'readers', 'roster')

    def __init__(self, *, clock: Clock, readers: Sequence[Mailbox]) -> None:
        super().__init__()
        self.clock = clock
        self.readers = readers
        self.roster = Roster()
        self.members: tuple[Instance, ...] = ()

    def receive(self, letters: Iterable[Letter]) -> None:
        """Learn, tell the tasks if the members changed, answer questions."""
        asked: list[Letter] = []
        now = self.clock.now()
        for letter in letters:
            if isinstance(letter.message, MembersRequest):
                asked.append(letter)
            else:
                self._learn(letter.message, now)
        self._tell(self.roster.members(now))
        for question in asked:
            question.answer(self._answer(question.message))

    def _answer(self, question: Message) -> MembersAnswer:
        digest = digest_members(self.members)
        if isinstance(question, MembersRequest) and question.digest == digest:
            return MembersAnswer(instances=(), digest=digest)
        return MembersAnswer(instances=self.members, digest=digest)

    def _learn(self, message: Message, now: float) -> None:
        if isinstance(message, PeerSight):
            self.roster.note(message.name, answered=message.answered, at=now)
        elif isinstance(message, Listed) and message.by_peer:
            self.roster.take_told(message.instances)
        elif isinstance(message, Listed):
            self.roster.take_list(message.instances, now)

    def _tell(self, members: tuple[Instance, ...]) -> None:
        if members == self.members:
            return
        self.members = members
        for reader in self.readers:
            reader.post(Membership(instances=members))


class MembershipReader:
    """Announce this instance and read the list, or ask peers for it."""

    __slots__ = (
        'announced_at',
        'clock',
        'instance',
        'instances',
        'mailbox',
        'members',
        'peers',
        'roster',
        'seeds',
        'wait_s',
    )

    def __init__(
        self,
        *,
        instance: Instance,
        instances: InstanceList,
        peers: PeerPort,
        roster: Mailbox,
        clock: Clock,
        seeds: Iterable[Instance] = (),
    ) -> None:
        self.instance = instance
        self.instances = instances
        self.peers = peers
        self.roster = roster
        self.clock = clock
        self.seeds = tuple(seeds)
        self.mailbox = Mailbox()
        self.members: tuple[Instance, ...] = ()
        self.announced_at = float('-inf')
        self.wait_s = LIST_S

    @property
    def lag_s(self) -> float:
        """The seconds after which every instance has read the list."""
        by_relays_s = LIST_S_PER_MEMBER * len(self.members)
        return LIST_S + max(LIST_S, by_relays_s)

    async def run(self) -> None:
        """Announce and read until cancelled."""
        while True:
            await self._announce()
            await self._read()
            await self._wait()

    def learn(self, message: Message) -> bool:
        """Note the members; they are not urgent."""
        if isinstance(message, Membership):
            self.members = message.instances
        return False

    async def leave(self) -> None:
        """Announce that this instance is leaving."""
        self.instance.state = 'leaving'
        await self.instances.announce(self.instance)

    async def _announce(self) -> None:
        if self.clock.now() - self.announced_at < ANNOUNCE_S:
            return
        try:
            await self.instances.announce(self.instance)
        except PlatformError:
            return
        self.announced_at = self.clock.now()

    async def _read(self) -> None:
        zone = self.instance.availability_zone
        if is_relay(self.instance.name, self.members, zone):
            await self._read_list() or await self._ask(
                self.seeds, are_seeds=True
            )
            self.wait_s = LIST_S_PER_MEMBER * len(self.members)
        else:
            relays = order_relays(self.members, zone, self.instance.name)
            await self._ask(relays) or await self._read_list()
            self.wait_s = LIST_S

    async def _read_list(self) -> bool:
        try:
            listed = await self.instances.list()
        except PlatformError:
            return False
        self.roster.post(Listed(instances=listed, by_peer=False))
        return True

    async def _ask(
        self, peers: Iterable[Instance], *, are_seeds: bool = False
    ) -> bool:
        question = MembersRequest(
            asker=self.instance.name, digest=digest_members(self.members)
        )
        for peer in peers:
            try:
                answer = await self.peers.ask(peer, question, timeout_s=ASK_S)
            except PeerAwayError:
                continue
            if not isinstance(answer, MembersAnswer):
                continue
            if answer.instances:
                self.roster.post(
                    Listed(instances=answer.instances, by_peer=are_seeds)
                )
            return True
        return False

    async def _wait(self) -> None:
        await wait_and_learn(
            self.mailbox,
            self.clock,
            max(LIST_S, self.wait_s),
            self.learn,
        )


class ObservedPeers(PeerPort):
    """Report to the roster who answers and who does not."""

    __slots__ = ('peers', 'roster')

    def __init__(self, peers: PeerPort, roster: Mailbox) -> None:
        self.peers = peers
        self.roster = roster

    async def ask(
        self, peer: Instance, message: Message, *, timeout_s: float
    ) -> Message:
        """Return the answer or raise PeerAwayError."""
        try:
            answer = await self.peers.ask(peer, message, timeout_s=timeout_s)
        except PeerAwayError:
            self._note(peer, answered=False)
            raise
        self._note(peer, answered=True)
        return answer

    def _note(self, peer: Instance, *, answered: bool) -> None:
        if peer.name:
            self.roster.post(PeerSight(name=peer.name, answered=answered))
