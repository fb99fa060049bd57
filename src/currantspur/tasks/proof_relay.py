"""Own the proof that is passed to peers and the witness of their writes."""

from collections.abc import Iterable

from currantspur.decisions.committers import Witness
from currantspur.decisions.freshness import pass_on
from currantspur.messages import (
    Message,
    Proof,
    ProofRequest,
    Registration,
    WitnessQuery,
    WitnessState,
    WriteIntent,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Letter
from currantspur.tasks.task import Task


class ProofRelay(Task):
    """Answer peers from the youngest proof; acknowledge intended writes."""

    __slots__ = ('clock', 'name', 'opened_at', 'proof', 'witness')

    def __init__(self, *, name: str, clock: Clock) -> None:
        super().__init__()
        self.name = name
        self.clock = clock
        self.witness = Witness(name=name)
        self.proof = Proof(version=0, proven_at=float('-inf'))
        self.opened_at: dict[str, float] = {}

    def receive(self, letters: Iterable[Letter]) -> None:
        """Handle letters in order, so that no answer precedes its cause."""
        for letter in letters:
            self.learn(letter.message)
            letter.answer(self.reply(letter.message))

    def learn(self, message: Message) -> None:
        """Note a proof or a step of the registration."""
        if isinstance(message, Proof):
            self._accept(message)
        elif isinstance(message, Registration):
            self._register(message)

    def reply(self, message: Message) -> Message | None:
        """Return the answer to a question."""
        if isinstance(message, ProofRequest):
            return pass_on(
                self.proof,
                self.clock.now(),
                answerer=self.name,
                vouches=self.witness.vouches(self.proof.version),
            )
        if isinstance(message, WriteIntent):
            self.opened_at.setdefault(message.change_id, self.clock.now())
            return self.witness.acknowledge(message)
        if isinstance(message, WitnessQuery):
            return self._describe()
        return None

    def _accept(self, proof: Proof) -> None:
        held = (self.proof.version, self.proof.proven_at)
        if (proof.version, proof.proven_at) > held:
            self.proof = proof
        self.witness.observe(proof.version)

    def _register(self, registration: Registration) -> None:
        if registration.row_version is None:
            self.witness.begin_registration()
        else:
            self.witness.finish_registration(
                registration.row_version, registration.newest
            )

    def _describe(self) -> WitnessState:
        self.opened_at = {
            change_id: at
            for change_id, at in self.opened_at.items()
            if change_id in self.witness.intents
        }
        now = self.clock.now()
        oldest = min(self.opened_at.values(), default=now)
        return WitnessState(
            is_registered=self.witness.row_version is not None,
            oldest_s=now - oldest,
        )
