"""Reach the platform over HTTP."""

from collections.abc import Iterable
from http import HTTPStatus
from typing import Any

import aiohttp
import orjson

from currantspur.errors import (
    ConflictError,
    ObjectMissingError,
    PlatformAwayError,
)
from currantspur.messages import Instance
from currantspur.platform import (
    InstanceList,
    ObjectStore,
    Platform,
    Row,
    Table,
    Transaction,
)

TIMEOUT_S = 2.0
CALLER_HEADER = 'X-Caller'


class PlatformClient:
    """Send calls to the platform's address."""

    __slots__ = ('address', 'session')

    def __init__(self, address: str, *, caller: str = '') -> None:
        self.address = address
        self.session = aiohttp.ClientSession(
            headers={CALLER_HEADER: caller},
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S),
        )

    async def call(self, method: str, path: str, body: bytes = b'') -> bytes:
        """Return the body of an answer or raise an error of the platform."""
        url = f'http://{self.address}{path}'
        try:
            async with self.session.request(method, url, data=body) as response:
                answer = await response.read()
                _check_status(response.status, answer)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise PlatformAwayError(type(error).__name__) from error
        return answer

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


class HttpTable(Table):
    """Call the table service."""

    __slots__ = ('client',)

    def __init__(self, client: PlatformClient) -> None:
        self.client = client

    async def read(self, keys: Iterable[str]) -> dict[str, Row]:
        """Return the rows that exist, all as of one moment."""
        body = orjson.dumps({'keys': list(keys)})
        answer = await self.client.call('POST', '/table/read', body)
        return {row.key: row for row in _decode_rows(answer)}

    async def scan(self, prefix: str, *, limit: int) -> list[Row]:
        """Return the first rows whose keys start with a prefix, in order."""
        body = orjson.dumps({'prefix': prefix, 'limit': limit})
        return _decode_rows(
            await self.client.call('POST', '/table/scan', body),
        )

    async def commit(self, transaction: Transaction) -> dict[str, int]:
        """Write all or nothing; return versions or raise ConflictError."""
        body = orjson.dumps(
            {
                'conditions': transaction.conditions,
                'writes': transaction.writes,
            }
        )
        answer = await self.client.call('POST', '/table/commit', body)
        versions: dict[str, int] = orjson.loads(answer)
        return versions


class HttpObjectStore(ObjectStore):
    """Call the object store."""

    __slots__ = ('client',)

    def __init__(self, client: PlatformClient) -> None:
        self.client = client

    async def put(self, name: str, body: bytes) -> None:
        """Store an object under a name."""
        await self.client.call('PUT', f'/objects/{name}', body)

    async def get(self, name: str) -> bytes:
        """Return an object or raise ObjectMissingError."""
        return await self.client.call('GET', f'/objects/{name}')


class HttpInstanceList(InstanceList):
    """Call the list of instances."""

    __slots__ = ('client',)

    def __init__(self, client: PlatformClient) -> None:
        self.client = client

    async def announce(self, instance: Instance) -> None:
        """Say that an instance is live or leaving."""
        body = orjson.dumps(encode_instance(instance))
        await self.client.call('PUT', f'/instances/{instance.name}', body)

    async def list(self) -> tuple[Instance, ...]:
        """Return the instances as the platform last saw them."""
        answer = await self.client.call('GET', '/instances')
        return tuple(decode_instance(one) for one in orjson.loads(answer))


def open_platform(client: PlatformClient) -> Platform:
    """Return the ports of the platform behind a client."""
    return Platform(
        table=HttpTable(client),
        object_store=HttpObjectStore(client),
        instances=HttpInstanceList(client),
    )


def encode_instance(instance: Instance) -> dict[str, str]:
    """Return the JSON form of an instance."""
    return {name: getattr(instance, name) for name in instance.__slots__}


def decode_instance(plain: dict[str, Any]) -> Instance:
    """Return the instance that a JSON form describes."""
    return Instance(**{name: plain[name] for name in Instance.__slots__})


def _check_status(status: int, answer: bytes) -> None:
    if status == HTTPStatus.CONFLICT:
        raise ConflictError(answer.decode())
    if status == HTTPStatus.NOT_FOUND:
        raise ObjectMissingError(answer.decode())
    if status >= HTTPStatus.BAD_REQUEST:
        raise PlatformAwayError(f'status {status}')


def _decode_rows(answer: bytes) -> list[Row]:
    return [Row(**plain) for plain in orjson.loads(answer)]
