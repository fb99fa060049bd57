"""Own the slots of the targets and queue requests in front of them."""

import asyncio
from collections.abc import Iterable

from currantspur.decisions.latency_queue import choose_policy
from currantspur.decisions.queueing import Pace, QueuePolicy, Waiter
from currantspur.decisions.retries import RetryBudget
from currantspur.decisions.slots import SlotTable
from currantspur.messages import (
    Assignment,
    Configuration,
    Decision,
    Evidence,
    ExchangeEnd,
    Expiry,
    HealthVerdicts,
    InForce,
    Message,
    Parts,
    Refusal,
    SlotRelease,
    SlotRequest,
    Target,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.mailbox import Letter, Mailbox
from currantspur.tasks.task import Task

FIRST_PACE_S = 0.05
PACE_GAIN = 0.1
SHORTEST_ALARM_S = 0.001
RETURN_CHECK_S = 0.25
CLEAR_ENDS = frozenset(('succeeded', 'failed'))


class TargetPool(Task):
    """Assign slots; a request waits until one is free or its time is up."""

    __slots__ = (
        'alarm',
        'alarm_at',
        'budget',
        'clock',
        'health',
        'instance',
        'journal',
        'paces',
        'queues',
        'table',
        'weights',
    )

    def __init__(
        self,
        *,
        clock: Clock,
        availability_zone: str,
        instance: str = '',
        journal: Mailbox | None = None,
    ) -> None:
        super().__init__()
        self.clock = clock
        self.instance = instance
        self.health: Mailbox | None = None
        self.journal = journal
        self.table = SlotTable(availability_zone=availability_zone)
        self.budget = RetryBudget()
        self.queues: dict[str, QueuePolicy] = {}
        self.paces: dict[str, float] = {}
        self.weights: dict[str, float] = {}
        self.alarm: asyncio.TimerHandle | None = None
        self.alarm_at = float('inf')

    def receive(self, letters: Iterable[Letter]) -> None:
        """Note releases and versions, then serve the queues."""
        touched: set[str] = set()
        for letter in letters:
            message = letter.message
            if isinstance(message, SlotRequest):
                self._request(letter, message)
            elif isinstance(message, SlotRelease):
                self._release(message)
                touched.add(message.assignment.target.service)
            else:
                self.learn(message)
                touched.update(self.queues)
        for service in touched:
            self._serve(service)
        self._set_alarm()

    def learn(self, message: Message) -> None:
        """Apply a version or parts; let requests expire."""
        if isinstance(message, InForce):
            self._apply(message.configuration)
        elif isinstance(message, Parts):
            self.table.allot(message.by_limit, version=message.version)
        elif isinstance(message, HealthVerdicts):
            self.table.health = message.by_target
        elif isinstance(message, Expiry):
            self.alarm_at = float('inf')
            self._expire()

    def _apply(self, configuration: Configuration) -> None:
        before = self.table.configuration.steering.objective
        self.table.replace(configuration)
        self.weights = {team.name: team.rate for team in configuration.teams}
        objective = configuration.steering.objective
        if objective != before:
            self._change_policy()

    def _change_policy(self) -> None:
        queues = self.queues
        self.queues = {}
        for queue in queues.values():
            while waiter := queue.pop():
                self._offer(waiter)

    def _request(self, letter: Letter, request: SlotRequest) -> None:
        if request.attempt:
            self._retry(letter, request)
            return
        if request.service not in self.table.by_service:
            letter.answer(
                Refusal(code='overloaded', detail='the service has no target'),
            )
            return
        self.budget.earn()
        queue = self.queues.get(request.service)
        if not (queue and queue.size) and self._assign(letter, request):
            return
        now = self.clock.now()
        if request.deadline <= now:
            letter.answer(_refuse_late())
            return
        self._offer(
            Waiter(
                team=request.team or '',
                deadline=request.deadline,
                since=now,
                ticket=letter,
            )
        )

    def _retry(self, letter: Letter, request: SlotRequest) -> None:
        # A retry never waits: it must not add to an overload.
        is_allowed = self.budget.spend()
        if is_allowed and self._assign(letter, request):
            return
        letter.answer(
            Refusal(code='overloaded', detail='no retry now'),
        )

    def _offer(self, waiter: Waiter) -> None:
        request = waiter.ticket.message
        service = request.service
        if service not in self.queues:
            objective = self.table.configuration.steering.objective
            self.queues[service] = choose_policy(objective)
        slots = self.table.capacity(service, waiter.since)
        pace = Pace(slots=slots, seconds=self.paces.get(service, FIRST_PACE_S))
        shed = self.queues[service].offer(
            waiter, weight=self.weights.get(waiter.team, 1.0), pace=pace
        )
        for one in shed:
            one.ticket.answer(
                Refusal(
                    code='overloaded',
                    detail='too many requests wait',
                    retry_after_s=1.0,
                )
            )
        if waiter.ticket.reply is not None:
            waiter.ticket.reply.add_done_callback(
                lambda _: self.queues[service].drop(waiter)
            )

    def _assign(self, letter: Letter, request: SlotRequest) -> bool:
        if letter.reply is None or letter.reply.done():
            return True
        now = self.clock.now()
        if request.deadline <= now:
            return False
        target = self.table.take(
            request.service,
            without=request.without,
            at=now,
            unix_s=self.clock.unix(),
        )
        if target is None:
            return False
        letter.answer(
            Assignment(
                request_id=request.request_id, target=target, taken_at=now
            )
        )
        return True

    def _release(self, release: SlotRelease) -> None:
        now = self.clock.now()
        target = release.assignment.target
        if self.health is not None and release.verdict in CLEAR_ENDS:
            is_good = release.verdict == 'succeeded'
            end = ExchangeEnd(target=target.name, succeeded=is_good)
            self.health.post(end)
        if release.verdict == 'succeeded':
            held_s = now - release.assignment.taken_at
            pace_s = self.paces.get(target.service, held_s)
            self.paces[target.service] = pace_s + PACE_GAIN * (held_s - pace_s)
        if self.table.give_back(target, release.verdict, now):
            self._record_ejection(target, now)

    def _serve(self, service: str) -> None:
        queue = self.queues.get(service)
        while queue and queue.size:
            target = self.table.take(
                service,
                without=frozenset(),
                at=self.clock.now(),
                unix_s=self.clock.unix(),
            )
            if target is None:
                return
            self._give(queue, target)

    def _give(self, queue: QueuePolicy, target: Target) -> None:
        now = self.clock.now()
        while waiter := queue.pop():
            letter = waiter.ticket
            if letter.reply is None or letter.reply.done():
                continue
            if waiter.deadline <= now:
                letter.answer(_refuse_late())
                continue
            letter.answer(
                Assignment(
                    request_id=letter.message.request_id,
                    target=target,
                    taken_at=now,
                )
            )
            return
        self.table.give_back(target, 'unknown', now)

    def _expire(self) -> None:
        now = self.clock.now()
        for queue in self.queues.values():
            for waiter in queue.expire(now):
                waiter.ticket.answer(_refuse_late())

    def _set_alarm(self) -> None:
        deadlines = [queue.next_deadline() for queue in self.queues.values()]
        known = [deadline for deadline in deadlines if deadline is not None]
        if not known:
            return
        now = self.clock.now()
        # A target that returns sends no message: look again before long.
        earliest = min((*known, now + RETURN_CHECK_S))
        if earliest >= self.alarm_at:
            return
        if self.alarm is not None:
            self.alarm.cancel()
        self.alarm_at = earliest
        self.alarm = asyncio.get_running_loop().call_later(
            max(SHORTEST_ALARM_S, earliest - now), self._ring
        )

    def _ring(self) -> None:
        self.mailbox.post(Expiry())

    def _record_ejection(self, target: Target, now: float) -> None:
        if self.journal is None:
            return
        conduct = self.table.ejector.conducts[target.name]
        pause_s = conduct.returns_at - now
        self.journal.post(
            Decision(
                at_s=self.clock.unix(),
                instance=self.instance,
                kind='ejection',
                subject=f'target {target.name}',
                action=f'taken out for {pause_s:.0f} s',
                reason='its last exchanges failed in a row',
                evidence=(
                    Evidence(
                        name='failures seen here',
                        reading=str(conduct.failures + 1),
                        age_s=0.0,
                    ),
                ),
            )
        )


def _refuse_late() -> Refusal:
    return Refusal(code='deadline_passed', detail='no slot was free in time')
