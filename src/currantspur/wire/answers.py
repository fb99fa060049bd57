"""Encode answers for callers."""

import orjson
from aiohttp import web
from aiohttp.hdrs import METH_HEAD
from multidict import CIMultiDict

from currantspur.messages import AnswerHead, LookupAnswer
from currantspur.wire import headers as names

SHORT_BYTES = 16_384
CONTENT_LENGTH = 'content-length'
BODYLESS_STATUSES = frozenset((204, 304))


def open_response(head: AnswerHead, request_id: str) -> web.StreamResponse:
    """Return a response with the head of an answer."""
    response = web.StreamResponse(status=head.status)
    for name, line in head.headers:
        response.headers.add(name, line)
    response.headers[names.REQUEST_ID_HEADER] = request_id
    return response


def is_short(request: web.Request, head: AnswerHead) -> bool:
    """Tell whether an answer is better sent in one piece."""
    if request.method == METH_HEAD or head.status in BODYLESS_STATUSES:
        return False
    announced = [
        line for name, line in head.headers if name.lower() == CONTENT_LENGTH
    ]
    return bool(announced) and int(announced[0]) <= SHORT_BYTES


def close_response(
    head: AnswerHead, request_id: str, body: bytes
) -> web.Response:
    """Return a response with a whole answer."""
    headers = CIMultiDict(
        (name, line)
        for name, line in head.headers
        if name.lower() != CONTENT_LENGTH
    )
    headers[names.REQUEST_ID_HEADER] = request_id
    return web.Response(status=head.status, headers=headers, body=body)


def encode_lookup(answer: LookupAnswer) -> web.Response:
    """Return the documented JSON form of a look-up's answer."""
    entries = [
        {
            'instance': entry.instance,
            'address': entry.address,
            'availability_zone': entry.availability_zone,
            'weight': entry.weight,
        }
        for entry in answer.entries
    ]
    return web.Response(
        body=orjson.dumps(
            {
                'entries': entries,
                'cache_s': answer.cache_s,
                'site': answer.site,
            }
        ),
        content_type='application/json',
        headers={'Cache-Control': f'max-age={int(answer.cache_s)}'},
    )
