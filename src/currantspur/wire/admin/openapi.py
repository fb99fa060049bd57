"""Describe the routes for operators as OpenAPI."""

import re
from collections.abc import Iterable
from types import MappingProxyType
from typing import Any, Final

from currantspur.wire.admin.encoding import STATUSES
from currantspur.wire.admin.form import Field
from currantspur.wire.admin.route import AdminRoute

VERSION = '3.1.0'
JSON_TYPES: Final = MappingProxyType(
    {
        'text': 'string',
        'whole': 'integer',
        'number': 'number',
        'flag': 'boolean',
    }
)
PLACEHOLDER = re.compile(r'\{(\w+)\}')
SUMMARIES: Final = MappingProxyType(
    {
        '200': 'Done.',
        '400': 'Malformed; findings name the members.',
        '401': 'No valid operator key.',
        '403': 'The role does not allow it.',
        '404': 'No such thing.',
        '409': 'Another change came first; both authors are named.',
        '422': 'The configuration has findings.',
        '502': 'The outcome is unknown; send the same change id again.',
        '503': 'The store is away or too much is under way; not done.',
    }
)
READ_STATUSES = ('400', '401', '403', '404', '422', '503')
CHANGE_STATUSES = ('409', '502')
ERROR_REFERENCE = '#/components/schemas/Error'


def describe_api(routes: Iterable[AdminRoute]) -> dict[str, Any]:
    """Return the OpenAPI document of routes."""
    paths: dict[str, dict[str, Any]] = {}
    for route in routes:
        operation = describe_route(route)
        paths.setdefault(route.path, {})[route.method.lower()] = operation
    return {
        'openapi': VERSION,
        'info': {'title': 'currantspur administration', 'version': 'v1'},
        'paths': paths,
        'components': {
            'securitySchemes': {
                'operatorKey': {'type': 'http', 'scheme': 'bearer'},
                'operatorPassword': {'type': 'http', 'scheme': 'basic'},
            },
            'schemas': {'Error': describe_error_schema()},
        },
    }


def describe_route(route: AdminRoute) -> dict[str, Any]:
    """Return the operation of a route."""
    operation: dict[str, Any] = {
        'summary': route.summary,
        'parameters': [
            *map(_describe_placeholder, PLACEHOLDER.findall(route.path)),
            *map(_describe_query, route.query),
        ],
        'responses': _describe_responses(route),
    }
    if route.role is not None:
        operation['x-role'] = route.role
        operation['security'] = [{'operatorKey': []}, {'operatorPassword': []}]
    if route.form:
        schema = describe_form(route.form)
        operation['requestBody'] = {
            'required': True,
            'content': {'application/json': {'schema': schema}},
        }
    return operation


def describe_form(form: Iterable[Field]) -> dict[str, Any]:
    """Return the schema of a body."""
    fields = list(form)
    return {
        **_object(**{one.name: _describe_field(one) for one in fields}),
        'additionalProperties': False,
        'required': [one.name for one in fields if one.default is None],
    }


def describe_error_schema() -> dict[str, Any]:
    """Return the schema of a rejection."""
    finding = _object(
        **dict.fromkeys(('file', 'path', 'text'), _schema('text')),
        **dict.fromkeys(('line', 'column'), _schema('whole')),
    )
    error = _object(
        code={**_schema('text'), 'enum': sorted(STATUSES)},
        **dict.fromkeys(('detail', 'author', 'other_author'), _schema('text')),
        version=_schema('whole'),
        findings={'type': 'array', 'items': finding},
    )
    return _object(error={**error, 'required': ['code', 'detail']})


def _describe_responses(route: AdminRoute) -> dict[str, Any]:
    statuses = ['200']
    if route.role is not None:
        statuses.extend(READ_STATUSES)
    if route.role in {'change', 'drain'}:
        statuses.extend(CHANGE_STATUSES)
    responses = {
        status: _describe_response(status) for status in sorted(statuses)
    }
    if route.path == '/ready':
        responses['503'] = {'description': 'No version is in force.'}
    return responses


def _describe_response(status: str) -> dict[str, Any]:
    response: dict[str, Any] = {'description': SUMMARIES[status]}
    if status != '200':
        schema = {'$ref': ERROR_REFERENCE}
        response['content'] = {'application/json': {'schema': schema}}
    return response


def _describe_placeholder(name: str) -> dict[str, Any]:
    return {
        'name': name,
        'in': 'path',
        'required': True,
        'schema': _schema('text'),
    }


def _describe_query(field: Field) -> dict[str, Any]:
    return {
        'name': field.name,
        'in': 'query',
        'required': field.default is None,
        'schema': _describe_field(field),
    }


def _describe_field(field: Field) -> dict[str, Any]:
    schema = _schema(field.kind)
    if field.kind == 'text':
        schema['maxLength'] = field.limit
    if field.default is not None:
        schema['default'] = field.default
    return schema


def _schema(kind: str) -> dict[str, Any]:
    return {'type': JSON_TYPES[kind]}


def _object(**properties: dict[str, Any]) -> dict[str, Any]:
    return {'type': 'object', 'properties': properties}
