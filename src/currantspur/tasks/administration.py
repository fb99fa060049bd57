"""Own what operators are told: version in force, proof, members, parts."""

from collections.abc import Iterable

from currantspur.decisions.operators import OperatorRing
from currantspur.messages import (
    Configuration,
    Head,
    InForce,
    Instance,
    Membership,
    Message,
    Operator,
    Part,
    Parts,
    Proof,
)
from currantspur.messages.operators import (
    Credential,
    Snapshot,
    SnapshotQuery,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Letter
from currantspur.tasks.task import Task


class AdministrationTask(Task):
    """Let operators in and tell them what is in force here."""

    __slots__ = (
        'clock',
        'configuration',
        'head',
        'members',
        'parts',
        'proof',
        'ring',
        'trusted',
    )

    def __init__(
        self, *, clock: Clock, trusted: Iterable[Operator] = ()
    ) -> None:
        """Take the operators that the daemon's own settings let in."""
        super().__init__()
        self.clock = clock
        self.trusted = tuple(trusted)
        self.ring = OperatorRing(self.trusted)
        self.head: Head | None = None
        self.configuration = Configuration()
        self.members: tuple[Instance, ...] = ()
        self.parts: dict[str, Part] = {}
        self.proof: Proof | None = None

    def receive(self, letters: Iterable[Letter]) -> None:
        """Learn, let operators in and answer in the order of the letters."""
        for letter in letters:
            message = letter.message
            if isinstance(message, Credential):
                letter.answer(self.ring.find(message.secret))
            elif isinstance(message, SnapshotQuery):
                letter.answer(self.describe())
            else:
                self.learn(message)

    def learn(self, message: Message) -> None:
        """Apply a version, a proof, members or parts."""
        if isinstance(message, InForce):
            self._apply(message)
        elif isinstance(message, Proof):
            self._accept(message)
        elif isinstance(message, Membership):
            self.members = message.instances
        elif isinstance(message, Parts):
            self.parts = message.by_limit

    def describe(self) -> Snapshot:
        """Return what is in force now."""
        return Snapshot(
            head=self.head,
            configuration=self.configuration,
            fresh_age_s=self._read_age(),
            members=self.members,
            parts=self.parts,
            unix_s=self.clock.unix(),
        )

    def _apply(self, version: InForce) -> None:
        self.head = version.head
        self.configuration = version.configuration
        self.ring = OperatorRing(
            (*version.configuration.operators, *self.trusted)
        )

    def _accept(self, proof: Proof) -> None:
        known = self.proof
        if known is None or (proof.version, proof.proven_at) > (
            known.version,
            known.proven_at,
        ):
            self.proof = proof

    def _read_age(self) -> float | None:
        if self.proof is None or self.head is None:
            return None
        if self.proof.version != self.head.version:
            return None
        return self.clock.now() - self.proof.proven_at
