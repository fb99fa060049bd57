"""Answer questions where a request would go, as JSON."""

import re
from collections.abc import Iterator, Mapping
from http import HTTPStatus
from math import isfinite
from typing import Any, Final

import orjson
from aiohttp import web

from currantspur.errors import (
    MailboxFullError,
    RouteQueryError,
    TaskFailedError,
)
from currantspur.messages import (
    IncomingRequest,
    Message,
    Refusal,
    Route,
    fields,
)
from currantspur.messages.route_explanations import (
    PlacementExplanation,
    RouteExplanation,
)
from currantspur.tasks.clock import Clock
from currantspur.tasks.route_explainer import RouteExplainer
from currantspur.wire.request_ends import Handler
from currantspur.wire.responses import find_refusal_status

ROUTE_PATH: Final = '/route'
REQUIRED_FIELDS: Final = ('host', 'method', 'path')
QUERY_FIELDS: Final = frozenset(
    (*REQUIRED_FIELDS, 'team', 'object', 'timeout_s')
)
# The answer repeats the fields and is bounded itself.
MAX_FIELD_LENGTH = 4096
MAX_QUOTED_LENGTH = 80
METHOD_PATTERN: Final = re.compile(r"[!#$%&'*+.^_`|~0-9A-Za-z-]+")
# The spread of Retry-After depends on the id of a request.
QUERY_REQUEST_ID: Final = 'route-query'
MAX_LISTED_SERVICES = 20
DECIMALS = 6


class RouteHandler:
    """Serve questions at ROUTE_PATH and pass other paths on."""

    __slots__ = ('clock', 'explainer', 'fallback')

    def __init__(
        self, *, explainer: RouteExplainer, clock: Clock, fallback: Handler
    ) -> None:
        self.explainer = explainer
        self.clock = clock
        self.fallback = fallback

    async def handle(self, request: web.BaseRequest) -> web.StreamResponse:
        """Return the answer, or an error as JSON with its detail."""
        if request.path != ROUTE_PATH:
            return await self.fallback(request)
        try:
            return await self._explain(request.query)
        except RouteQueryError as error:
            return encode_error(HTTPStatus.BAD_REQUEST, str(error))
        except (MailboxFullError, TaskFailedError):
            return encode_error(
                HTTPStatus.SERVICE_UNAVAILABLE, 'the instance cannot answer now'
            )

    async def _explain(self, query: Mapping[str, str]) -> web.Response:
        request = parse_route_query(query, self.clock.now())
        team = query.get('team')
        explanation = await self.explainer.explain(request, team)
        if not explanation.admission.is_team_known:
            return encode_error(
                HTTPStatus.NOT_FOUND, f'no team has the name {team!r}'
            )
        return web.Response(
            body=encode_explanation(explanation),
            content_type='application/json',
        )


def parse_route_query(query: Mapping[str, str], at: float) -> IncomingRequest:
    """Return the request that is asked about; raise RouteQueryError."""
    problem = next(find_problems(query), None)
    if problem is not None:
        raise RouteQueryError(problem)
    return IncomingRequest(
        request_id=QUERY_REQUEST_ID,
        received_at=at,
        method=query['method'],
        host=query['host'],
        path=query['path'],
        object_key=query.get('object'),
        timeout_s=_parse_timeout_s(query.get('timeout_s')),
    )


def find_problems(query: Mapping[str, str]) -> Iterator[str]:
    """Yield what is wrong with the fields of a question."""
    for name, text in query.items():
        if name not in QUERY_FIELDS:
            yield f'unknown field {name[:MAX_QUOTED_LENGTH]!r}'
        if len(text) > MAX_FIELD_LENGTH:
            yield f'{name} is longer than {MAX_FIELD_LENGTH} characters'
    for required in REQUIRED_FIELDS:
        if not query.get(required):
            yield f'{required} is missing'
    if not METHOD_PATTERN.fullmatch(query['method']):
        yield 'method is not a method of HTTP'
    if not query['path'].startswith('/'):
        yield 'path does not begin with /'


def encode_error(status: HTTPStatus, detail: str) -> web.Response:
    """Return an error as JSON."""
    return web.Response(
        status=status,
        body=orjson.dumps({'error': detail}),
        content_type='application/json',
    )


def encode_explanation(explanation: RouteExplanation) -> bytes:
    """Return an answer as JSON, in the form of docs/INTERFACE.md."""
    admission = explanation.admission
    context = admission.context
    request = context.request
    placement = explanation.placement
    is_held = admission.is_held or (placement is not None and placement.is_held)
    document = {
        'version': context.configuration_version,
        'host': request.host,
        'method': request.method,
        'path': request.path,
        'object': request.object_key,
        'is_host_known': admission.is_host_known,
        'is_held': is_held,
        'route': _describe_route(context.route),
        'timeout_s': _find_timeout_s(explanation),
        'rank': admission.rank,
        'team': context.team,
        'rate': admission.rate,
        'home_regions': sorted(context.home_regions),
        'service': context.service or None,
        'placement': _describe_placement(placement),
        'refusal': _describe_refusal(explanation.refusal),
    }
    return orjson.dumps(to_plain(document))


def to_plain(described: Any) -> Any:
    """Return messages as mappings, with rounded numbers."""
    if isinstance(described, Message):
        described = dict(fields(described))
    if isinstance(described, Mapping):
        return {name: to_plain(each) for name, each in described.items()}
    if isinstance(described, list | tuple):
        return [to_plain(each) for each in described]
    if isinstance(described, float):
        return round(described, DECIMALS)
    return described


def _describe_route(route: Route | None) -> dict[str, Any] | None:
    if route is None:
        return None
    return {
        'name': route.name,
        'path_prefix': route.path_prefix,
        'is_idempotent': route.is_idempotent,
        'latency_goal_s': route.latency_goal_s,
        'weights': {
            each.service: each.weight
            for each in route.weighted_services[:MAX_LISTED_SERVICES]
        },
    }


def _describe_placement(
    placement: PlacementExplanation | None,
) -> dict[str, Any] | None:
    if placement is None:
        return None
    # Those are of the whole answer.
    return {
        name: described
        for name, described in fields(placement)
        if name not in {'is_held', 'refusal'}
    }


def _find_timeout_s(explanation: RouteExplanation) -> float | None:
    context = explanation.admission.context
    if context.route is None:
        return None
    return context.deadline - context.request.received_at


def _describe_refusal(refusal: Refusal | None) -> dict[str, Any] | None:
    if refusal is None:
        return None
    return {'status': find_refusal_status(refusal), **dict(fields(refusal))}


def _parse_timeout_s(text: str | None) -> float | None:
    if text is None:
        return None
    try:
        timeout_s = float(text)
    except ValueError:
        timeout_s = float('nan')
    if not isfinite(timeout_s) or timeout_s < 0:
        raise RouteQueryError('timeout_s is not a number of seconds')
    return timeout_s
