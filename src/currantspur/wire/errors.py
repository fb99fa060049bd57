"""Encode refusals for callers."""

from types import MappingProxyType
from typing import Final

import orjson
from aiohttp import web

from currantspur.messages import Refusal

STATUSES: Final = MappingProxyType(
    {
        'bad_request': 400,
        'deadline_passed': 504,
        'duplicate': 409,
        'key_missing': 401,
        'key_unknown': 401,
        'not_fresh': 503,
        'outcome_unknown': 502,
        'overloaded': 503,
        'rate_exceeded': 429,
        'region_full': 503,
        'route_unknown': 404,
        'stopping': 503,
        'store_away': 503,
        'target_failed': 502,
    }
)


def encode_refusal(refusal: Refusal, request_id: str) -> web.Response:
    """Return the documented JSON form of a refusal."""
    headers = {
        'X-Request-Id': request_id,
        'X-Not-Run': 'true' if refusal.not_run else 'false',
    }
    if refusal.retry_after_s is not None:
        headers['Retry-After'] = str(max(1, round(refusal.retry_after_s)))
    body = {
        'error': {
            'code': refusal.code,
            'detail': refusal.detail,
            'not_run': refusal.not_run,
            'request_id': request_id,
        }
    }
    return web.Response(
        status=STATUSES[refusal.code],
        body=orjson.dumps(body),
        content_type='application/json',
        headers=headers,
    )
