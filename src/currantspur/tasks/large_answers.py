"""Move answers that are too large for a row to and from the object store."""

import asyncio
from collections.abc import Coroutine
from typing import Any

from currantspur.errors import PlatformError
from currantspur.messages import Claim, ClaimResult, StoredAnswer
from currantspur.platform import ObjectStore
from currantspur.platform.claims import decode_answer, encode_answer
from currantspur.tasks.claim_writes import Write, refuse_unknown
from currantspur.tasks.mailbox import Mailbox


class LargeAnswers:
    """Run a job for each answer, so that claims need not wait for it."""

    __slots__ = ('jobs', 'mailbox', 'objects')

    def __init__(self, *, objects: ObjectStore, mailbox: Mailbox) -> None:
        self.objects = objects
        self.mailbox = mailbox
        self.jobs: set[asyncio.Task[None]] = set()

    def keep(self, claim: Claim, answer: StoredAnswer) -> None:
        """Store an answer, then post where it is."""
        self._spawn(self._keep(claim, answer))

    def fetch(self, write: Write, name: str) -> None:
        """Read an answer and give it to the asker."""
        self._spawn(self._fetch(write, name))

    def _spawn(self, work: Coroutine[Any, Any, None]) -> None:
        job = asyncio.create_task(work)
        self.jobs.add(job)
        job.add_done_callback(self.jobs.discard)

    async def _keep(self, claim: Claim, answer: StoredAnswer) -> None:
        name = f'{claim.row}/{claim.attempt_id}'
        try:
            await self.objects.put(name, encode_answer(answer))
        except PlatformError:
            return
        self.mailbox.post(ClaimResult(claim=claim, object_name=name))

    async def _fetch(self, write: Write, name: str) -> None:
        try:
            body = await self.objects.get(name)
        except PlatformError:
            write.answer(refuse_unknown())
        else:
            write.answer(decode_answer(body))
