"""Assemble the tasks that split limits and lend between instances."""

from collections.abc import Iterator

from currantspur.messages import LoanRequest, Message
from currantspur.tasks.admission import AdmissionTask
from currantspur.tasks.allotment import AllotmentTask
from currantspur.tasks.clock import Clock
from currantspur.tasks.loans import LoanCaller
from currantspur.tasks.mailbox import Mailbox
from currantspur.tasks.peers import PeerPort
from currantspur.tasks.planner import Planner
from currantspur.tasks.targets import TargetPool
from currantspur.tasks.task import Task


class Limits:
    """Join plan, parts and loans of one instance."""

    __slots__ = ('admission', 'allotment', 'loans', 'planner')

    def __init__(
        self,
        *,
        instance: str,
        clock: Clock,
        freshness_s: float,
        admission: AdmissionTask,
        pool: TargetPool,
        peers: PeerPort,
        journal: Mailbox,
    ) -> None:
        self.admission = admission
        self.allotment = AllotmentTask(
            instance=instance,
            clock=clock,
            freshness_s=freshness_s,
            readers=(admission.mailbox, pool.mailbox),
        )
        self.loans = LoanCaller(
            peers=peers, admission=admission.mailbox, calls=admission.calls
        )
        self.planner = Planner(instance=instance, clock=clock, journal=journal)

    def tasks(self) -> Iterator[Task]:
        """Yield the tasks that have to run."""
        yield self.allotment
        yield self.loans
        yield self.planner

    def readers(self) -> Iterator[Mailbox]:
        """Yield the mailboxes that want versions and members."""
        for task in self.tasks():
            yield task.mailbox

    def questions(self) -> dict[type[Message], Mailbox]:
        """Return the mailbox that answers each class of peers' questions."""
        return {LoanRequest: self.admission.mailbox}
