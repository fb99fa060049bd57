"""Own the claims on non-idempotent requests; batches share transactions."""

import asyncio
from collections.abc import Iterable

from currantspur.decisions.claims import (
    ROW_ANSWER_LIMIT_BYTES,
    ClaimRow,
    is_acceptable,
    judge_claim,
    name_claim,
)
from currantspur.errors import ConflictError, PlatformError
from currantspur.messages import Claim, ClaimFlush, ClaimRequest, ClaimResult
from currantspur.platform import ABSENT, Platform, Row
from currantspur.platform.claims import decode_claim
from currantspur.tasks.claim_writes import (
    PendingWrites,
    Write,
    describe_result,
    join_writes,
    refuse_away,
    refuse_expired,
    refuse_reuse,
    refuse_unknown,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.large_answers import LargeAnswers
from currantspur.tasks.mailbox import Letter
from currantspur.tasks.task import Task

RETRY_S = 0.5


class ClaimTask(Task):
    """Insert claims once, note what came of them, answer duplicates."""

    __slots__ = ('answers', 'clock', 'flushes', 'pending', 'platform')

    def __init__(self, *, platform: Platform, clock: Clock) -> None:
        super().__init__()
        self.platform = platform
        self.clock = clock
        self.pending = PendingWrites()
        self.flushes: list[Letter] = []
        self.answers = LargeAnswers(
            objects=platform.object_store, mailbox=self.mailbox
        )

    async def run(self) -> None:
        """Write what waits, one transaction at a time, until cancelled."""
        while True:
            self.receive(await self._take())
            await self.flush()
            self._answer_flushes()

    def receive(self, letters: Iterable[Letter]) -> None:
        """Turn letters into rows to be written."""
        for letter in letters:
            message = letter.message
            if isinstance(message, ClaimRequest):
                self._request(letter, message)
            elif isinstance(message, ClaimResult):
                self._note(message)
            elif isinstance(message, ClaimFlush):
                self.flushes.append(letter)

    async def flush(self) -> None:
        """Write every waiting row that no other waiting row precedes."""
        while batch := list(self.pending.choose()):
            went_well = await self._write(batch)
            if not went_well:
                return

    def _answer_flushes(self) -> None:
        if self.pending.writes or self.answers.jobs:
            return
        for letter in self.flushes:
            letter.answer(None)
        self.flushes.clear()

    async def _take(self) -> list[Letter]:
        if not self.pending.writes:
            return await self.mailbox.take()
        try:
            return await asyncio.wait_for(self.mailbox.take(), RETRY_S)
        except TimeoutError:
            return []

    def _request(self, letter: Letter, asked: ClaimRequest) -> None:
        if not is_acceptable(asked.idempotency_key, self.clock.unix()):
            letter.answer(refuse_expired())
            return
        if self.pending.is_full:
            letter.answer(refuse_away())
            return
        state = ClaimRow(
            attempt_id=asked.attempt_id, fingerprint=asked.fingerprint
        )
        self.pending.append(
            Write(
                row=name_claim(asked.team, asked.idempotency_key),
                state=state,
                expected=ABSENT,
                letter=letter,
            )
        )

    def _note(self, noted: ClaimResult) -> None:
        answer = noted.answer
        if answer is not None and len(answer.body) > ROW_ANSWER_LIMIT_BYTES:
            self.answers.keep(noted.claim, answer)
            return
        self.pending.append(describe_result(noted))

    async def _write(self, batch: list[Write]) -> bool:
        try:
            batch = await self._learn_versions(batch)
            versions = await self.platform.table.commit(join_writes(batch))
        except ConflictError:
            return await self._resolve(batch)
        except PlatformError:
            await self._settle(batch)
            return False
        self.pending.finish(batch)
        for write in batch:
            self._grant(write, versions[write.row])
        return True

    async def _learn_versions(self, batch: list[Write]) -> list[Write]:
        doubtful = [one for one in batch if one.expected is None]
        if not doubtful:
            return batch
        found = await self.platform.table.read([one.row for one in doubtful])
        for write in doubtful:
            row = found.get(write.row)
            if row is None:
                write.expected = ABSENT
            elif write.owns(row):
                write.expected = row.version
        self.pending.finish([one for one in doubtful if one.expected is None])
        return [one for one in batch if one.expected is not None]

    async def _resolve(self, batch: list[Write]) -> bool:
        try:
            found = await self.platform.table.read([one.row for one in batch])
        except PlatformError:
            await self._settle(batch)
            return False
        for write in batch:
            row = found.get(write.row)
            version = row.version if row else ABSENT
            if version != write.expected:
                self._lose(write, row)
        return True

    def _lose(self, write: Write, row: Row | None) -> None:
        if not write.is_claim:
            self.pending.finish([write])
            return
        if row is None:
            write.expected = ABSENT
            return
        state = decode_claim(row.text)
        verdict = judge_claim(
            state,
            attempt_id=write.state.attempt_id,
            fingerprint=write.state.fingerprint,
        )
        if verdict == 'free':
            write.expected = row.version
            return
        self.pending.finish([write])
        if verdict == 'ours':
            self._grant(write, row.version)
        elif verdict == 'other_request':
            write.answer(refuse_reuse())
        elif verdict == 'answered':
            self._replay(write, state)
        else:
            write.answer(refuse_unknown())

    async def _settle(self, batch: list[Write]) -> None:
        claims = [write for write in batch if write.is_claim]
        self.pending.finish(claims)
        try:
            found = await self.platform.table.read([one.row for one in claims])
        except PlatformError:
            found = {}
        for write in claims:
            row = found.get(write.row)
            if row is not None and write.owns(row):
                self._grant(write, row.version)
            else:
                self._doubt(write)
        self.pending.age(batch)

    def _doubt(self, write: Write) -> None:
        write.answer(refuse_away())
        # The insert may still take effect: give it up when it can be seen.
        self.pending.append(
            Write(
                row=write.row,
                state=ClaimRow(
                    attempt_id=write.state.attempt_id,
                    fingerprint=write.state.fingerprint,
                    state='not_run',
                ),
                expected=None,
            )
        )

    def _grant(self, write: Write, version: int) -> None:
        if not write.is_claim or write.letter is None:
            return
        claim = Claim(
            row=write.row,
            version=version,
            attempt_id=write.state.attempt_id,
            fingerprint=write.state.fingerprint,
        )
        reply = write.letter.reply
        if reply is None or reply.done():
            self._note(ClaimResult(claim=claim, answer=None))
        else:
            write.letter.answer(claim)

    def _replay(self, write: Write, state: ClaimRow) -> None:
        if state.answer is not None:
            write.answer(state.answer)
        elif state.object_name is not None:
            self.answers.fetch(write, state.object_name)
