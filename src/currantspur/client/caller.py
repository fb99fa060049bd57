"""Send requests to the entries that look-ups name."""

from collections.abc import Sequence
from random import Random
from ssl import SSLContext
from types import TracebackType
from typing import Any, Self

import aiohttp
import orjson

from currantspur.client.answers import Answer, may_try_elsewhere
from currantspur.client.lookups import EntryCache
from currantspur.decisions.retries import RetryBudget
from currantspur.errors import CallError
from currantspur.messages import Entry, Message
from currantspur.tasks.clock import Clock, SystemClock
from currantspur.wire.resend import forbid_resend

DEADLINE_S = 10.0
LOOKUP_S = 2.0
TRIES_LIMIT = 3
MS_PER_S = 1000
REPEATABLE = frozenset(('GET', 'HEAD', 'OPTIONS', 'PUT', 'DELETE'))


class Request(Message):
    """Hold what is sent with every try of one request."""

    __slots__ = (
        'body',
        'deadline',
        'headers',
        'is_repeatable',
        'method',
        'was_sent',
    )

    def __init__(
        self,
        *,
        method: str,
        headers: dict[str, str],
        body: bytes,
        deadline: float,
        is_repeatable: bool,
    ) -> None:
        self.method = method
        self.headers = headers
        self.body = body
        self.deadline = deadline
        self.is_repeatable = is_repeatable
        self.was_sent = False


class Caller:
    """Call services of the fleet with a team's key."""

    __slots__ = (
        'bootstrap',
        'budget',
        'cache',
        'clock',
        'key',
        'random',
        'scheme',
        'session',
    )

    def __init__(
        self,
        bootstrap: Sequence[str],
        *,
        key: str | None = None,
        clock: Clock | None = None,
        random: Random | None = None,
        tls: SSLContext | None = None,
    ) -> None:
        """Take addresses of any entries to ask first, and the team's key."""
        self.bootstrap = tuple(bootstrap)
        self.key = key
        self.clock = clock or SystemClock()
        self.random = random or Random()
        self.cache = EntryCache(self.random)
        self.budget = RetryBudget()
        self.scheme = 'https' if tls else 'http'
        self.session = aiohttp.ClientSession(
            connector=aiohttp.TCPConnector(ssl=tls or True),
        )

    async def __aenter__(self) -> Self:
        """Return this caller."""
        return self

    async def __aexit__(
        self,
        kind: type[BaseException] | None,
        error: BaseException | None,
        trace: TracebackType | None,
    ) -> None:
        """Close all connections."""
        await self.close()

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()

    async def call(
        self,
        path: str,
        *,
        method: str = 'GET',
        body: bytes = b'',
        idempotency_key: str | None = None,
        is_repeatable: bool | None = None,
        deadline_s: float = DEADLINE_S,
    ) -> Answer:
        """Return a whole answer or raise CallError.

        Another entry is tried where the request did not run, or may run
        twice: by its method, by is_repeatable, or by its idempotency key.
        """
        if is_repeatable is None:
            is_repeatable = method in REPEATABLE
        request = Request(
            method=method,
            headers=self._describe(idempotency_key),
            body=body,
            deadline=self.clock.now() + deadline_s,
            is_repeatable=is_repeatable or idempotency_key is not None,
        )
        return await self._try_entries(path, request)

    def _describe(self, idempotency_key: str | None) -> dict[str, str]:
        headers = {}
        if self.key is not None:
            headers['Authorization'] = f'Bearer {self.key}'
        if idempotency_key is not None:
            headers['Idempotency-Key'] = idempotency_key
        return headers

    async def _try_entries(self, path: str, request: Request) -> Answer:
        await self._look_up()
        self.budget.earn()
        latest: Answer | CallError = CallError('no entry is known', sent=False)
        for number, entry in enumerate(self.cache.order()):
            if number and not self._may_retry(latest, number, request):
                break
            latest = await self._try(entry, path, request)
        if isinstance(latest, CallError):
            raise latest
        return latest

    def _may_retry(
        self, latest: Answer | CallError, number: int, request: Request
    ) -> bool:
        is_late = request.deadline <= self.clock.now()
        if is_late or number >= TRIES_LIMIT:
            return False
        if isinstance(latest, CallError):
            is_safe = request.is_repeatable or not latest.sent
        else:
            is_safe = may_try_elsewhere(
                latest, is_repeatable=request.is_repeatable
            )
        return is_safe and self.budget.spend()

    async def _try(
        self, entry: str, path: str, request: Request
    ) -> Answer | CallError:
        try:
            return await self._send(entry, path, request)
        except CallError as error:
            self.cache.drop()
            # An earlier try may have arrived.
            request.was_sent = request.was_sent or error.sent
            error.sent = request.was_sent
            return error

    async def _send(self, entry: str, path: str, request: Request) -> Answer:
        left_s = request.deadline - self.clock.now()
        if left_s <= 0:
            raise CallError('no time is left', sent=False)
        headers = {'X-Request-Timeout-Ms': str(int(left_s * MS_PER_S) or 1)}
        try:
            async with self.session.request(
                request.method,
                f'{self.scheme}://{entry}{path}',
                headers=request.headers | headers,
                data=request.body,
                timeout=aiohttp.ClientTimeout(total=left_s),
                allow_redirects=False,
                middlewares=(forbid_resend,),
            ) as response:
                return Answer(
                    status=response.status,
                    headers=response.headers,
                    body=await response.read(),
                    entry=entry,
                )
        except aiohttp.ClientConnectorError as error:
            raise CallError(f'{entry}: not reached', sent=False) from error
        except (aiohttp.ClientError, TimeoutError) as error:
            detail = f'{entry}: {type(error).__name__}'
            raise CallError(detail, sent=True) from error

    async def _look_up(self) -> None:
        if not self.cache.is_due(self.clock.now()):
            return
        known = [entry.address for entry in self.cache.entries]
        others = self.random.sample(self.bootstrap, len(self.bootstrap))
        for address in (*known, *others):
            asked_at = self.clock.now()
            plain = await self._ask(address)
            if plain is not None and plain['entries']:
                entries = [Entry(**one) for one in plain['entries']]
                self.cache.replace(
                    entries, cache_s=plain['cache_s'], at=asked_at
                )
                return

    async def _ask(self, address: str) -> dict[str, Any] | None:
        timeout = aiohttp.ClientTimeout(total=LOOKUP_S)
        url = f'{self.scheme}://{address}/-/entries'
        try:
            async with self.session.get(url, timeout=timeout) as response:
                plain: dict[str, Any] = orjson.loads(await response.read())
        except (aiohttp.ClientError, TimeoutError, orjson.JSONDecodeError):
            return None
        return plain if 'entries' in plain else None
