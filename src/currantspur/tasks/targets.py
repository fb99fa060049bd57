"""Own the slots of the targets and queue requests in front of them."""

from collections import deque
from collections.abc import Iterable

from currantspur.decisions.slots import SlotTable
from currantspur.messages import (
    Assignment,
    InForce,
    Refusal,
    SlotRelease,
    SlotRequest,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Letter
from currantspur.tasks.task import Task

QUEUE_LIMIT = 2_000


class TargetPool(Task):
    """Assign slots; a request waits until one is free or its time is up."""

    __slots__ = ('clock', 'table', 'waiting')

    def __init__(self, *, clock: Clock, availability_zone: str) -> None:
        super().__init__()
        self.clock = clock
        self.table = SlotTable(availability_zone=availability_zone)
        self.waiting: deque[Letter] = deque()

    def receive(self, letters: Iterable[Letter]) -> None:
        """Note releases and versions, then serve the queue in order."""
        for letter in letters:
            message = letter.message
            if isinstance(message, SlotRequest):
                self._enqueue(letter)
            elif isinstance(message, SlotRelease):
                self.table.give_back(message.assignment.target)
            elif isinstance(message, InForce):
                self.table.replace(message.configuration)
        self._serve()

    def _enqueue(self, letter: Letter) -> None:
        if len(self.waiting) < QUEUE_LIMIT:
            self.waiting.append(letter)
            return
        letter.answer(
            Refusal(code='overloaded', detail='too many requests wait'),
        )

    def _serve(self) -> None:
        kept: deque[Letter] = deque()
        for letter in self.waiting:
            if not self._settle(letter):
                kept.append(letter)
        self.waiting = kept

    def _settle(self, letter: Letter) -> bool:
        request = letter.message
        if letter.reply is None or letter.reply.done():
            return True
        if not isinstance(request, SlotRequest):
            return True
        if request.deadline <= self.clock.now():
            letter.answer(
                Refusal(code='overloaded', detail='no slot was free in time'),
            )
            return True
        target = self.table.take(
            request.service,
            without=request.without,
            unix_s=self.clock.unix(),
        )
        if target is None:
            return False
        letter.answer(Assignment(request_id=request.request_id, target=target))
        return True
