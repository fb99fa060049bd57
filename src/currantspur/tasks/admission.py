"""Own the admission state: routes, keys, limits and freshness."""

from collections.abc import Callable, Iterable, Iterator
from typing import Any
from uuid import uuid4

from currantspur.decisions.borrowing import Borrower
from currantspur.decisions.freshness import Freshness
from currantspur.decisions.identity import KeyRing
from currantspur.decisions.lending import Authority
from currantspur.decisions.planning import list_lenders
from currantspur.decisions.routing import RouteTable
from currantspur.messages import (
    Arrival,
    Confirmation,
    InForce,
    Loan,
    LoanRequest,
    Message,
    Parts,
    Passage,
    Proof,
)
from currantspur.messages.loans import LoanOutcome
from currantspur.pipelines import (
    AdmissionState,
    Pipeline,
    assemble_admission,
    assemble_confirmation,
    assemble_spending,
)
from currantspur.pipelines.admission import find_short_limit
from currantspur.tasks.clock import Clock
from currantspur.tasks.loan_desk import WAIT_S, LoanDesk, Waiting
from currantspur.tasks.mailbox import Letter, Mailbox
from currantspur.tasks.task import Task


class AdmissionTask(Task):
    """Run arrivals through the admission pipeline."""

    __slots__ = (
        'availability_zone',
        'calls',
        'clock',
        'confirmation',
        'desk',
        'handlers',
        'instance',
        'pipeline',
        'spending',
        'state',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        freshness_s: float,
        instance: str = '',
        availability_zone: str = '',
    ) -> None:
        super().__init__()
        self.clock = clock
        self.instance = instance
        self.availability_zone = availability_zone
        self.calls = Mailbox()
        self.state = AdmissionState(freshness=Freshness(limit_s=freshness_s))
        self.pipeline = assemble_admission(self.state)
        self.confirmation = assemble_confirmation(self.state)
        self.spending = assemble_spending(self.state)
        self.desk = LoanDesk(
            borrower=Borrower(
                instance=instance, incarnation=uuid4().hex, at=clock.now()
            ),
            calls=self.calls,
        )

        self.handlers: dict[type[Message], Callable[[Any], Any]] = {
            InForce: self._apply,
            LoanOutcome: self._settle,
            LoanRequest: self._lend,
            Parts: self._resize,
            Proof: self._prove,
        }

    def receive(self, letters: Iterable[Letter]) -> None:
        """Apply what was learnt first, then judge the arrivals."""
        arrived: list[Letter] = []
        waited: list[Letter] = []
        for letter in letters:
            if isinstance(letter.message, Arrival):
                arrived.append(letter)
            elif isinstance(letter.message, Confirmation):
                waited.append(letter)
            else:
                letter.answer(self.learn(letter.message))
        for letter, confirmation in _run(self.confirmation, waited, self.clock):
            letter.answer(confirmation.refusal)
        for letter, passage in _run(self.pipeline, arrived, self.clock):
            self._finish(_wait(letter, passage))
        for waiting in self.desk.flush(self.clock.now()):
            waiting.letter.answer(waiting.passage)

    def learn(self, message: Message) -> Message | None:
        """Apply what a message says and return the answer, if it has one."""
        handle = self.handlers.get(type(message))
        return handle(message) if handle else None

    def _prove(self, proof: Proof) -> None:
        self.state.freshness.accept(proof)
        self._earn()

    def _resize(self, parts: Parts) -> None:
        self.state.holdings.resize(parts, self.clock.now())
        self._earn()

    def _earn(self) -> None:
        """Earn until the end of a proof, if it is of the parts held."""
        state = self.state
        if state.freshness.version == state.holdings.version:
            state.holdings.prove(self._fresh_until())

    def _apply(self, version: InForce) -> None:
        if version.head.version <= self.state.version:
            return
        configuration = version.configuration
        self.state.version = version.head.version
        self.state.routes = RouteTable(configuration.routes)
        self.state.keys = KeyRing(configuration.keys)
        self.state.region = next(
            (
                region.name
                for region in configuration.regions
                if self.availability_zone in region.availability_zones
            ),
            None,
        )
        self.desk.version = version.head.version
        self.desk.borrower.learn(list_lenders(version.plan, self.instance))

    def _fresh_until(self) -> float:
        freshness = self.state.freshness
        return freshness.proven_at + freshness.limit_s

    def _lend(self, request: LoanRequest) -> Loan:
        now = self.clock.now()
        is_current = self.state.is_current(now)
        authority = Authority(
            version=self.state.version,
            until=self._fresh_until() if is_current else now,
        )
        return self.state.holdings.lend(request, authority, now)

    def _settle(self, outcome: LoanOutcome) -> None:
        now = self.clock.now()
        released = self.desk.settle(outcome, self.state.holdings, now)
        for waiting in released:
            waiting.passage.refusal = None
            waiting.passage.arrival.at = now
        passages = self.spending.run(one.passage for one in released)
        for waiting, _ in zip(released, passages, strict=True):
            self._finish(waiting)

    def _finish(self, waiting: Waiting) -> None:
        """Answer a request, or keep it while a loan is under way for it."""
        passage = waiting.passage
        limit = find_short_limit(self.state, passage)
        if limit is None or not self.desk.hold(
            limit, waiting, passage.arrival.at
        ):
            waiting.letter.answer(passage)


def _run(
    pipeline: Pipeline, letters: list[Letter], clock: Clock
) -> Iterator[tuple[Letter, Any]]:
    messages: list[Any] = [letter.message for letter in letters]
    for message in messages:
        message.at = clock.now()
    return zip(letters, pipeline.run(messages), strict=True)


def _wait(letter: Letter, passage: Passage) -> Waiting:
    latest = passage.arrival.at + WAIT_S
    return Waiting(
        letter=letter,
        passage=passage,
        until=min(latest, passage.deadline or latest),
    )
