"""Claim non-idempotent requests in the platform's table."""

from hashlib import blake2b

import orjson

from currantspur.errors import ConflictError, PlatformAwayError
from currantspur.messages import Refusal
from currantspur.platform import ABSENT, Table, Transaction

DIGEST_BYTES = 16


class Ledger:
    """Insert one claim for each team and idempotency key, once for ever."""

    __slots__ = ('table',)

    def __init__(self, *, table: Table) -> None:
        self.table = table

    async def claim(
        self, *, team: str, idempotency_key: str, attempt_id: str
    ) -> Refusal | None:
        """Return None when the claim is ours, else why it is not."""
        row = name_claim(team, idempotency_key)
        text = orjson.dumps({'attempt_id': attempt_id}).decode()
        transaction = Transaction(conditions={row: ABSENT}, writes={row: text})
        try:
            await self.table.commit(transaction)
        except ConflictError:
            return Refusal(
                code='duplicate',
                detail='a request with this idempotency key was taken before',
                not_run=False,
            )
        except PlatformAwayError:
            return await self._settle(row, text)
        return None

    async def _settle(self, row: str, text: str) -> Refusal | None:
        try:
            rows = await self.table.read([row])
        except PlatformAwayError:
            return _refuse_away()
        found = rows.get(row)
        if found is not None and found.text == text:
            return None
        return _refuse_away()


def name_claim(team: str, idempotency_key: str) -> str:
    """Return the key of the row of a claim."""
    digest = blake2b(idempotency_key.encode(), digest_size=DIGEST_BYTES)
    return f'claim/{team}/{digest.hexdigest()}'


def _refuse_away() -> Refusal:
    return Refusal(
        code='store_away',
        detail='no claim could be made: the request was not run',
        retry_after_s=1.0,
    )
