"""A request of a caller on its way to a target."""

import asyncio
from collections.abc import AsyncGenerator

from currantspur.errors import MailboxFullError, TaskFailedError
from currantspur.messages import Refusal
from currantspur.tasks.forwarder import FULL_RETRY_AFTER_S, ResponsePart
from currantspur.wire.pipelining import EarlyRequest


class ForwardedRequest(EarlyRequest):
    """A request on its way to a target, begun in its turn or before."""

    __slots__ = (
        'early_refusal',
        'first_part',
        'parts',
        'request_id',
        'started_at',
        'turn',
    )

    def __init__(
        self,
        *,
        request_id: str,
        started_at: float,
        parts: AsyncGenerator[ResponsePart],
        turn: asyncio.Event,
    ) -> None:
        """Start to read the response.

        A request that may run only once waits until the turn is set.
        """
        self.request_id = request_id
        self.started_at = started_at
        # Set if the instance stops before the response.
        self.early_refusal: Refusal | None = None
        self.parts = parts
        self.turn = turn
        self.first_part = asyncio.ensure_future(_read_first_part(parts))

    def cancel(self) -> None:
        """Stop the request at its target."""
        self.first_part.cancel()

    def refuse(self, refusal: Refusal) -> None:
        """Stop the request, if there is no response yet, and refuse it.

        The first refusal stands.
        """
        if self.early_refusal is None and not self.first_part.done():
            self.early_refusal = refusal
            self.first_part.cancel()

    async def read_first_part(self) -> ResponsePart:
        """Return the first part of the response, or the early refusal."""
        try:
            return await self.first_part
        except asyncio.CancelledError:
            if self.early_refusal is None:
                raise
        return self.early_refusal

    async def close(self) -> None:
        """Stop the request at its target, if it is still at work there."""
        self.first_part.cancel()
        await asyncio.gather(self.first_part, return_exceptions=True)
        await self.parts.aclose()


async def _read_first_part(parts: AsyncGenerator[ResponsePart]) -> ResponsePart:
    """Return the first part; release the target if it is the last one."""
    try:
        first = await anext(parts)
    except MailboxFullError:
        return Refusal(
            code='no_room',
            detail='the instance is full',
            retry_after_s=FULL_RETRY_AFTER_S,
        )
    except TaskFailedError:
        return Refusal(
            code='outcome_unknown', detail='the instance failed', not_run=False
        )
    if isinstance(first, Refusal) or first.body is not None:
        await parts.aclose()
    return first
