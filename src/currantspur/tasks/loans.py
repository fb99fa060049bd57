"""Carry requests for loans to peers."""

import asyncio
from collections.abc import Iterable

from currantspur.errors import PeerAwayError
from currantspur.messages import Instance, Loan, Membership
from currantspur.messages.loans import LoanCall, LoanOutcome
from currantspur.tasks.mailbox import Letter, Mailbox
from currantspur.tasks.peers import PeerPort
from currantspur.tasks.task import Task

CALL_S = 0.25


class LoanCaller(Task):
    """Ask peers; every call ends in one outcome, within a time."""

    __slots__ = ('admission', 'calls', 'members', 'peers')

    def __init__(
        self, *, peers: PeerPort, admission: Mailbox, calls: Mailbox
    ) -> None:
        """Take whom to tell the outcomes and where the calls come in."""
        super().__init__()
        self.mailbox = calls
        self.peers = peers
        self.admission = admission
        self.members: dict[str, Instance] = {}
        self.calls: set[asyncio.Task[None]] = set()

    def receive(self, letters: Iterable[Letter]) -> None:
        """Note members and start calls."""
        for letter in letters:
            message = letter.message
            if isinstance(message, Membership):
                self.members = {one.name: one for one in message.instances}
            elif isinstance(message, LoanCall):
                call = asyncio.create_task(self._call(message))
                self.calls.add(call)
                call.add_done_callback(self.calls.discard)

    async def _call(self, call: LoanCall) -> None:
        loan = None
        peer = self.members.get(call.lender)
        if peer is not None:
            loan = await self._ask(peer, call)
        self.admission.post(
            LoanOutcome(loan_id=call.request.loan_id, loan=loan),
        )

    async def _ask(self, peer: Instance, call: LoanCall) -> Loan | None:
        try:
            answer = await self.peers.ask(peer, call.request, timeout_s=CALL_S)
        except PeerAwayError:
            return None
        return answer if isinstance(answer, Loan) else None
