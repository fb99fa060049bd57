"""Encode answers and refusals for callers."""

from types import MappingProxyType
from typing import Final

import orjson
from aiohttp import web
from multidict import CIMultiDict

from currantspur.messages import LookupResponse, Refusal, ResponseHead
from currantspur.wire.names import (
    CONTENT_LENGTH,
    RETRY_AFTER_HEADER,
    ProtocolNames,
)

STATUS_BY_REFUSAL_CODE: Final = MappingProxyType(
    {
        'bad_request': 400,
        'body_too_large': 413,
        'deadline_passed': 504,
        'key_unknown': 401,
        'no_room': 503,
        'no_target': 503,
        'not_ready': 503,
        'outcome_unknown': 502,
        'rate_exceeded': 429,
        'route_unknown': 404,
        'target_failed': 503,
    }
)
NOT_RUN_STATUS = 503


def make_streaming_response(head: ResponseHead) -> web.StreamResponse:
    """Return a response with the head of a long answer."""
    response = web.StreamResponse(status=head.status)
    for name, line in head.headers:
        response.headers.add(name, line)
    return response


def make_buffered_response(head: ResponseHead) -> web.Response:
    """Return a response with a whole answer."""
    headers = CIMultiDict(
        (name, line)
        for name, line in head.headers
        if name.lower() != CONTENT_LENGTH
    )
    return web.Response(status=head.status, headers=headers, body=head.body)


def encode_refusal(
    refusal: Refusal, request_id: str, names: ProtocolNames
) -> web.Response:
    """Return the documented JSON form of a refusal."""
    status = STATUS_BY_REFUSAL_CODE[refusal.code]
    if refusal.code == 'deadline_passed' and refusal.not_run:
        status = NOT_RUN_STATUS
    headers = {names.request_id_header: request_id}
    if refusal.retry_after_s is not None:
        headers[RETRY_AFTER_HEADER] = f'{refusal.retry_after_s:.3f}'
    body = {
        'error': {
            'code': refusal.code,
            'detail': refusal.detail,
            'not_run': refusal.not_run,
            'request_id': request_id,
        }
    }
    return web.Response(
        status=status,
        body=orjson.dumps(body),
        content_type='application/json',
        headers=headers,
    )


def encode_lookup(answer: LookupResponse) -> web.Response:
    """Return the documented JSON form of a look-up's answer."""
    body = {
        'addresses': [entry.address for entry in answer.instances],
        'ttl_s': answer.ttl_s,
    }
    return web.Response(
        body=orjson.dumps(body), content_type='application/json'
    )
