"""Describe the rows that claims write, and what askers are told."""

from collections.abc import Iterator

from currantspur.decisions.claims import ClaimRow
from currantspur.messages import Claim, ClaimResult, Refusal, StoredAnswer
from currantspur.platform import ABSENT, Row, Transaction
from currantspur.platform.claims import decode_claim, encode_claim
from currantspur.tasks.mailbox import Letter

BATCH_LIMIT = 100
TRIES_LIMIT = 600
PENDING_LIMIT = 5_000


class Write:
    """Hold one row to be written, and the letter that asked for it."""

    __slots__ = ('expected', 'letter', 'row', 'state', 'tries')

    def __init__(
        self,
        *,
        row: str,
        state: ClaimRow,
        expected: int | None,
        letter: Letter | None = None,
    ) -> None:
        """Take the version that the row must have; None: whatever it is."""
        self.row = row
        self.state = state
        self.expected = expected
        self.letter = letter
        self.tries = 0

    @property
    def is_abandoned(self) -> bool:
        """Tell whether nobody wants the claim and no insert was tried."""
        reply = self.letter.reply if self.letter else None
        return reply is not None and reply.done() and not self.tries

    def owns(self, row: Row) -> bool:
        """Tell whether a row holds this attempt's claim, not yet settled."""
        found = decode_claim(row.text)
        is_same = found.attempt_id == self.state.attempt_id
        return is_same and found.state == 'taken'

    def answer(self, outcome: Claim | Refusal | StoredAnswer) -> None:
        """Give the asker the outcome."""
        if self.letter is not None:
            self.letter.answer(outcome)

    @property
    def is_claim(self) -> bool:
        """Tell whether this asks for a claim, not for a note on one."""
        return self.state.state == 'taken'


class PendingWrites:
    """Keep the rows that wait to be written."""

    __slots__ = ('writes',)

    def __init__(self) -> None:
        self.writes: list[Write] = []

    @property
    def is_full(self) -> bool:
        """Tell whether no more may wait."""
        return len(self.writes) >= PENDING_LIMIT

    def append(self, write: Write) -> None:
        """Let a row wait; when full, a note is lost and stays unknown."""
        if not self.is_full:
            self.writes.append(write)

    def finish(self, writes: list[Write]) -> None:
        """Remove rows."""
        done = {id(write) for write in writes}
        self.writes = [one for one in self.writes if id(one) not in done]

    def age(self, batch: list[Write]) -> None:
        """Count a try without an answer; forget rows tried too often."""
        for write in batch:
            write.tries += 1
        self.writes = [one for one in self.writes if one.tries < TRIES_LIMIT]

    def choose(self) -> Iterator[Write]:
        """Yield rows for one transaction: claims first, no row twice."""
        self.writes = [one for one in self.writes if not one.is_abandoned]
        self.writes.sort(key=lambda one: not one.is_claim)
        rows: set[str] = set()
        for write in self.writes:
            if len(rows) >= BATCH_LIMIT:
                return
            if write.row not in rows:
                rows.add(write.row)
                yield write


def describe_result(result: ClaimResult) -> Write:
    """Return the row that notes what came of a claim."""
    claim = result.claim
    has_run = result.answer is not None or result.object_name is not None
    return Write(
        row=claim.row,
        state=ClaimRow(
            attempt_id=claim.attempt_id,
            fingerprint=claim.fingerprint,
            state='answered' if has_run else 'not_run',
            answer=result.answer,
            object_name=result.object_name,
        ),
        expected=claim.version,
    )


def join_writes(batch: list[Write]) -> Transaction:
    """Return one transaction for rows that differ."""
    return Transaction(
        conditions={one.row: one.expected or ABSENT for one in batch},
        writes={one.row: encode_claim(one.state) for one in batch},
    )


def refuse_away() -> Refusal:
    """Say that no claim could be made."""
    return Refusal(
        code='store_away',
        detail='no claim could be made: the request was not run',
        retry_after_s=1.0,
    )


def refuse_unknown() -> Refusal:
    """Say that the outcome is unknown."""
    return Refusal(
        code='outcome_unknown',
        detail='a request with this idempotency key was taken before',
        not_run=False,
        retry_after_s=1.0,
    )


def refuse_reuse() -> Refusal:
    """Say that the key is used for two requests."""
    return Refusal(
        code='duplicate',
        detail='the idempotency key belongs to another request',
    )


def refuse_expired() -> Refusal:
    """Say that the claim may have been deleted."""
    return Refusal(
        code='bad_request',
        detail='the day of the idempotency key is too far away',
        not_run=False,
    )
