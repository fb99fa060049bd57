"""Encode what operators are told."""

from http import HTTPStatus
from types import MappingProxyType
from typing import Any, Final

import orjson
from aiohttp import web

from currantspur.messages import Head
from currantspur.messages.operators import Rejection
from currantspur.settings import to_plain

STATUSES: Final = MappingProxyType(
    {
        'conflict': HTTPStatus.CONFLICT,
        'findings': HTTPStatus.UNPROCESSABLE_ENTITY,
        'forbidden': HTTPStatus.FORBIDDEN,
        'malformed': HTTPStatus.BAD_REQUEST,
        'not_found': HTTPStatus.NOT_FOUND,
        'outcome_unknown': HTTPStatus.BAD_GATEWAY,
        'overloaded': HTTPStatus.SERVICE_UNAVAILABLE,
        'store_away': HTTPStatus.SERVICE_UNAVAILABLE,
        'unauthorised': HTTPStatus.UNAUTHORIZED,
    }
)
CHALLENGE = 'Bearer, Basic realm="operators"'


def encode_json(plain: Any, status: int = HTTPStatus.OK) -> web.Response:
    """Return a JSON answer."""
    return web.Response(
        body=orjson.dumps(plain), content_type='application/json', status=status
    )


def encode_head(head: Head) -> dict[str, Any]:
    """Return the documented JSON form of a version."""
    return {
        'version': head.version,
        'author': head.author,
        'change_id': head.change_id,
        'note': head.note,
        'at_s': head.at_s,
    }


def encode_rejection(rejection: Rejection) -> web.Response:
    """Return the documented JSON form of a rejection."""
    answer = encode_json(
        {'error': to_plain(rejection)}, STATUSES[rejection.code]
    )
    if rejection.code == 'unauthorised':
        answer.headers['WWW-Authenticate'] = CHALLENGE
    return answer
