"""Ask an instance where a request would go."""

from collections.abc import Mapping
from http import HTTPStatus
from typing import Any
from urllib.parse import urlsplit

import orjson
from aiohttp import ClientSession

from currantspur.errors import NoAnswerError, RouteQueryError
from currantspur.wire.bodies import (
    TRANSFER_ERRORS,
    make_progress_timeout,
    read_bounded,
)
from currantspur.wire.route_handler import ROUTE_PATH

# An answer of 24 targets and 20 names by filter takes about 20 kB.
MAX_ANSWER_BYTES = 262_144
# An instance answers in milliseconds; one that is busy for longer is in need of
# another tool.
MAX_SILENCE_S = 5.0


async def fetch_explanation(
    address: str, query: Mapping[str, str]
) -> Mapping[str, Any]:
    """Return the answer of the instance with this metrics address.

    Raise RouteQueryError if it rejects the question, and NoAnswerError if
    there is no usable answer.
    """
    check_address(address)
    try:
        status, body = await _fetch(address, query)
    except TRANSFER_ERRORS as error:
        cause = str(error) or type(error).__name__
        raise NoAnswerError(f'{address}: no answer: {cause}') from error
    document = _decode(body)
    if document is None:
        raise NoAnswerError(
            f'{address}: status {status} without an explanation; is this the '
            'metrics address of an instance that has the path /route?'
        )
    if status != HTTPStatus.OK:
        raise RouteQueryError(f'{address}: {document.get("error")}')
    return document


def check_address(address: str) -> None:
    """Raise RouteQueryError unless it is a host or IP address and a port."""
    url = urlsplit(f'http://{address}')
    try:
        is_complete = bool(url.hostname and url.port)
    except ValueError:
        is_complete = False
    if not is_complete or url.netloc != address or url.username is not None:
        raise RouteQueryError(f'{address!r} is not HOST:PORT')


async def _fetch(address: str, query: Mapping[str, str]) -> tuple[int, bytes]:
    async with (
        ClientSession(timeout=make_progress_timeout(MAX_SILENCE_S)) as session,
        session.get(f'http://{address}{ROUTE_PATH}', params=query) as response,
    ):
        body = await read_bounded(response.content, MAX_ANSWER_BYTES)
        return response.status, body


def _decode(body: bytes) -> Mapping[str, Any] | None:
    """Return the object of a body; None if it is not one of this protocol."""
    try:
        document = orjson.loads(body)
    except orjson.JSONDecodeError:
        return None
    if isinstance(document, dict) and document.keys() & {'error', 'refusal'}:
        return document
    return None
