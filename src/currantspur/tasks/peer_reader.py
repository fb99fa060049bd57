"""Ask peers for proof: relays first, committers when proof grows old."""

from collections.abc import Iterable
from contextlib import aclosing

from currantspur.decisions.committers import proves
from currantspur.decisions.freshness import adopt
from currantspur.decisions.relays import order_relays
from currantspur.errors import CurrantspurError, PeerAwayError
from currantspur.messages import (
    Head,
    InForce,
    Instance,
    Membership,
    Message,
    Proof,
    ProofAnswer,
    ProofRequest,
    Sighting,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.fetching import Fetcher
from currantspur.tasks.mailbox import Mailbox
from currantspur.tasks.peers import PeerPort
from currantspur.tasks.quorum import Quorum
from currantspur.tasks.waiting import wait_and_learn

RELAY_S = 0.3
# Relays are asked more rarely than the store: each answer wakes a relay.
ASKS_PER_POLL = 1.5
# Committers are asked once the proof is that old.
DOUBTED_S = 0.7


class PeerReader:
    """Poll peers and report which version they prove."""

    __slots__ = (
        'clock',
        'fetcher',
        'follower',
        'head',
        'instance',
        'mailbox',
        'peers',
        'poll_s',
        'proven_at',
        'quorum',
        'relays',
        'seeds',
    )

    def __init__(
        self,
        *,
        instance: Instance,
        peers: PeerPort,
        quorum: Quorum,
        fetcher: Fetcher,
        clock: Clock,
        poll_s: float,
        follower: Mailbox,
        seeds: Iterable[Instance] = (),
    ) -> None:
        """Take the instances to ask before any version is known."""
        self.instance = instance
        self.peers = peers
        self.quorum = quorum
        self.fetcher = fetcher
        self.clock = clock
        self.poll_s = poll_s
        self.follower = follower
        self.seeds = tuple(seeds)
        self.mailbox = Mailbox()
        self.head: Head | None = None
        self.proven_at = float('-inf')
        self.relays: tuple[Instance, ...] = ()

    async def run(self) -> None:
        """Poll until cancelled."""
        while True:
            await self._ask_relays()
            if self.head is None:
                await self._ask_seeds()
            elif self.clock.now() - self.proven_at > DOUBTED_S:
                await self._ask_committers(self.head)
            wait_s = ASKS_PER_POLL * self.poll_s
            await wait_and_learn(self.mailbox, self.clock, wait_s, self.learn)

    def learn(self, message: Message) -> bool:
        """Note proofs, members and the version; none of them is urgent."""
        if isinstance(message, Proof):
            self.proven_at = max(self.proven_at, message.proven_at)
        elif isinstance(message, InForce):
            self.head = message.head
        elif isinstance(message, Membership):
            self._choose(message.instances)
        return False

    def _choose(self, instances: tuple[Instance, ...]) -> None:
        zone = self.instance.availability_zone
        relays = order_relays(instances, zone, self.instance.name)
        if any(relay.name == self.instance.name for relay in relays):
            relays = []
        self.relays = tuple(relays)

    async def _ask_relays(self) -> None:
        for relay in self.relays:
            asked_at = self.clock.now()
            try:
                answer = await self.peers.ask(
                    relay,
                    ProofRequest(asker=self.instance.name),
                    timeout_s=RELAY_S,
                )
            except PeerAwayError:
                continue
            if self._report(answer, asked_at, relay):
                return

    def _report(
        self, answer: Message, asked_at: float, source: Instance
    ) -> bool:
        if not isinstance(answer, ProofAnswer) or not answer.version:
            return False
        proof = adopt(answer, asked_at)
        self.follower.post(Sighting(proof=proof, source=source))
        self.proven_at = max(self.proven_at, proof.proven_at)
        return answer.age_s <= DOUBTED_S

    async def _ask_committers(self, head: Head) -> None:
        asked_at = self.clock.now()
        answers: list[ProofAnswer] = []
        question = ProofRequest(asker=self.instance.name)
        asking = self.quorum.ask(head.committers, question)
        async with aclosing(asking) as stream:
            async for answer in stream:
                if not isinstance(answer, ProofAnswer):
                    continue
                answers.append(answer)
                self._report(answer, asked_at, _locate(head, answer.answerer))
                if proves(head.version, head.committers, answers):
                    self._report_proven(head, asked_at)
                    return

    def _report_proven(self, head: Head, asked_at: float) -> None:
        proof = Proof(
            version=head.version, proven_at=asked_at, source='committers'
        )
        self.follower.post(Sighting(proof=proof))
        self.proven_at = max(self.proven_at, asked_at)

    async def _ask_seeds(self) -> None:
        for seed in (*self.relays, *self.seeds):
            try:
                head = await self.fetcher.fetch_head(0, [seed])
            except CurrantspurError:
                continue
            unproven = Proof(
                version=head.version,
                proven_at=float('-inf'),
                source=seed.name,
            )
            self.follower.post(Sighting(proof=unproven, head=head, source=seed))


def _locate(head: Head, name: str) -> Instance:
    return Instance(
        name=name,
        address='',
        peer=head.committers.get(name, ''),
        availability_zone='',
    )
