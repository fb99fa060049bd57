"""Reach the administration of an instance over HTTP."""

import asyncio
from http import HTTPStatus
from typing import Any

import aiohttp
import orjson

from currantspur.errors import CurrantspurError

TIMEOUT_S = 30.0
RETRIES = 4
RETRY_S = 0.3
RETRIED_CODES = frozenset(('outcome_unknown', 'overloaded', 'store_away'))


class AdminError(CurrantspurError):
    """Carry the answer of an instance that did not do what was asked."""

    def __init__(self, code: str, answer: dict[str, Any]) -> None:
        super().__init__(f'{code}: {answer.get("detail", "")}')
        self.code = code
        self.answer = answer


class AdminClient:
    """Send an operator's requests; a change is sent again by its own id."""

    __slots__ = ('address', 'headers', 'session')

    def __init__(self, address: str, *, key: str) -> None:
        self.address = address
        self.headers = {'Authorization': f'Bearer {key}'}
        self.session: aiohttp.ClientSession | None = None

    async def __aenter__(self) -> 'AdminClient':
        """Open connections."""
        timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
        self.session = aiohttp.ClientSession(
            headers=self.headers, timeout=timeout
        )
        return self

    async def __aexit__(self, *_: object) -> None:
        """Close all connections."""
        if self.session is not None:
            await self.session.close()

    async def get(self, path: str, query: dict[str, Any] | None = None) -> Any:
        """Return the answer to a question; raise AdminError."""
        asked = {name: str(one) for name, one in (query or {}).items() if one}
        return await self.call('GET', path, params=asked)

    async def post(self, path: str, body: dict[str, Any]) -> Any:
        """Return the answer to a body, sent again where it may have failed."""
        encoded = orjson.dumps(body)
        for _ in range(RETRIES):
            try:
                return await self.call('POST', path, data=encoded)
            except AdminError as error:
                if error.code not in RETRIED_CODES:
                    raise
            await asyncio.sleep(RETRY_S)
        return await self.call('POST', path, data=encoded)

    async def call(self, method: str, path: str, **sent: Any) -> Any:
        """Return the answer or raise AdminError."""
        if self.session is None:
            raise AssertionError('the client is not open')
        url = f'http://{self.address}{path}'
        try:
            async with self.session.request(method, url, **sent) as response:
                body = await response.read()
                status = response.status
        except (aiohttp.ClientError, TimeoutError) as error:
            reason = {'detail': f'{self.address}: {type(error).__name__}'}
            raise AdminError('outcome_unknown', reason) from error
        return decode_answer(status, body)


def decode_answer(status: int, body: bytes) -> Any:
    """Return what an answer holds; raise AdminError for a rejection."""
    try:
        plain = orjson.loads(body)
    except orjson.JSONDecodeError:
        plain = {'error': {'code': 'failed', 'detail': f'status {status}'}}
    if status == HTTPStatus.OK:
        return plain
    answer = plain['error']
    raise AdminError(str(answer['code']), answer)
