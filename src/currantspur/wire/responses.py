"""Encode responses, refusals and look-up results for callers."""

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
# Status for a passed deadline if no target ran the request.
DEADLINE_NOT_RUN_STATUS = 503


def make_streaming_response(head: ResponseHead) -> web.StreamResponse:
    """Return a response with status and headers, to be streamed."""
    response = web.StreamResponse(status=head.status)
    for name, value in head.headers:
        response.headers.add(name, value)
    return response


def make_buffered_response(head: ResponseHead) -> web.Response:
    """Return a response with its whole body.

    Content-Length is not copied: aiohttp sets it from the body.
    """
    headers = CIMultiDict(
        (name, value)
        for name, value in head.headers
        if name.lower() != CONTENT_LENGTH
    )
    return web.Response(status=head.status, headers=headers, body=head.body)


def find_refusal_status(refusal: Refusal) -> int:
    """Return the status of a refusal.

    A passed deadline has status 503 instead of 504 if the request did not run.
    """
    if refusal.code == 'deadline_passed' and refusal.not_run:
        return DEADLINE_NOT_RUN_STATUS
    return STATUS_BY_REFUSAL_CODE[refusal.code]


def encode_refusal(
    refusal: Refusal, request_id: str, names: ProtocolNames
) -> web.Response:
    """Return a refusal as JSON, in the form of docs/INTERFACE.md."""
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
        status=find_refusal_status(refusal),
        body=orjson.dumps(body),
        content_type='application/json',
        headers=headers,
    )


def encode_lookup(lookup_response: LookupResponse) -> web.Response:
    """Return the result of a look-up, in the form of docs/INTERFACE.md."""
    body = {
        'addresses': [
            instance.address for instance in lookup_response.instances
        ],
        'ttl_s': lookup_response.ttl_s,
    }
    return web.Response(
        body=orjson.dumps(body), content_type='application/json'
    )
