"""Decode the configuration from the resources of its row.

Null stands for a field that is left out. A configuration with a field of
another type is refused whole: a part of it would route requests in a way that
no operator wrote.
"""

from collections.abc import Iterator, Mapping
from types import MappingProxyType
from typing import Any

import orjson

from currantspur.encoding import parse_amount, parse_count
from currantspur.errors import MALFORMED_INPUT_ERRORS, MalformedRowError
from currantspur.messages import (
    CallerLimits,
    Configuration,
    Route,
    Service,
    Team,
    WeightedService,
)
from currantspur.platform import names

JsonObject = Mapping[str, Any]
# Name and `spec` of a resource of the configuration.
NamedSpec = tuple[str, 'Spec']
SpecsByKind = Mapping[str, list[NamedSpec]]


class Spec:
    """The fields of a resource; a missing or null one takes the default.

    All methods raise one of MALFORMED_INPUT_ERRORS.
    """

    __slots__ = ('fields',)

    def __init__(self, fields: JsonObject) -> None:
        self.fields = fields

    def text(self, key: str, default: str | None = None) -> str:
        """Return a text; without a default it must be there."""
        found: str = _check_type(self._find(key, default), str)
        return found

    def amount(self, key: str, default: float | None = None) -> float:
        """Return a number that is not negative."""
        found = self._find(key, default)
        return parse_amount(_check_type(found, (int, float)))

    def count(self, key: str, default: int | None = None) -> int:
        """Return a whole number that is not negative."""
        return parse_count(_check_type(self._find(key, default), int))

    def flag(self, key: str) -> bool:
        """Return a boolean; False if it is missing."""
        found = self._find(key, default=False)
        if not isinstance(found, bool):
            raise TypeError(f'{key} is not a boolean')
        return found

    def texts(self, key: str) -> tuple[str, ...]:
        """Return a list of texts; an empty one if it is missing."""
        found = _check_type(self._find(key, []), list)
        return tuple(_check_type(each, str) for each in found)

    def specs(
        self, key: str, default: list[JsonObject] | None = None
    ) -> tuple['Spec', ...]:
        """Return a list of objects; without a default it must be there."""
        found = _check_type(self._find(key, default), list)
        return tuple(Spec(_check_type(each, dict)) for each in found)

    def _find(self, key: str, default: Any = None) -> Any:
        found = self.fields.get(key)
        if found is None:
            found = default
        if found is None:
            raise KeyError(key)
        return found


# Limits of a configuration without a limits resource.
NO_LIMITS = Spec(MappingProxyType({}))


def parse_object(encoded: bytes) -> JsonObject:
    """Return the JSON object of a row; raise MalformedRowError."""
    try:
        document = orjson.loads(encoded)
    except orjson.JSONDecodeError as error:
        raise MalformedRowError('row is not JSON') from error
    if not isinstance(document, dict):
        raise MalformedRowError('row is not a JSON object')
    return document


def decode_configuration(encoded: bytes) -> Configuration:
    """Return a configuration; raise MalformedRowError if it is malformed."""
    document = Spec(parse_object(encoded))
    specs_by_kind: dict[str, list[NamedSpec]] = {}
    try:
        for resource in document.specs('resource_list'):
            # There is at most one limits resource, and it has no name.
            metadata = Spec(
                _check_type(resource.fields.get('metadata') or {}, dict)
            )
            named_spec = (
                metadata.text('name', ''),
                Spec(_check_type(resource.fields['spec'], dict)),
            )
            kind = resource.text('resource_kind')
            specs_by_kind.setdefault(kind, []).append(named_spec)
        limits_spec = specs_by_kind.get('limits', [('', NO_LIMITS)])[0][1]
        return Configuration(
            version=document.count('config_version'),
            routes=tuple(_read_routes(specs_by_kind)),
            services=tuple(_read_services(specs_by_kind)),
            teams=tuple(_read_teams(specs_by_kind)),
            limits=_read_limits(limits_spec),
        )
    except MALFORMED_INPUT_ERRORS as error:
        raise MalformedRowError(f'configuration: {error!r}') from error


def _read_routes(specs_by_kind: SpecsByKind) -> Iterator[Route]:
    for name, spec in specs_by_kind.get('routes', ()):
        timeout_s = spec.amount('timeout_s')
        yield Route(
            name=name,
            host=spec.text('hostname').lower(),
            path_prefix=spec.text('prefix'),
            weighted_services=tuple(_read_weighted_services(spec)),
            is_idempotent=spec.text('route_kind', '') == names.IDEMPOTENT,
            timeout_s=timeout_s,
            latency_goal_s=spec.amount('target_latency_s', 0.0) or timeout_s,
            max_attempts=spec.count('max_attempts', 1),
            priority=spec.count('priority', 0),
            allows_anonymous=spec.flag('allow_anonymous'),
            has_affinity=spec.flag('session_affinity'),
            home_regions=frozenset(spec.texts('home_regions')),
        )


def _read_weighted_services(spec: Spec) -> Iterator[WeightedService]:
    weighted_split = spec.specs('weighted_split', [])
    for weighted in weighted_split:
        yield WeightedService(
            service=weighted.text('service'), weight=weighted.amount('weight')
        )
    if not weighted_split:
        yield WeightedService(service=spec.text('service'), weight=1)


def _read_services(specs_by_kind: SpecsByKind) -> Iterator[Service]:
    for name, spec in specs_by_kind.get('services', ()):
        yield Service(
            name=name,
            health_path=spec.text('health_path', '/health'),
            max_connections=spec.count('max_conns', 0),
            cold_start_s=spec.amount('cold_start_s', 0.0),
            cold_requests_per_s=spec.amount('cold_per_s', 0.0),
        )


def _read_teams(specs_by_kind: SpecsByKind) -> Iterator[Team]:
    for name, spec in specs_by_kind.get('tenants', ()):
        has_priority = spec.fields.get('priority') is not None
        yield Team(
            name=name,
            keys=spec.texts('api_keys'),
            rate_per_s=spec.amount('rate_per_s', 0.0),
            burst=spec.amount('burst', 0.0),
            priority=spec.count('priority') if has_priority else None,
            home_regions=frozenset(spec.texts('home_regions')),
        )


def _read_limits(spec: Spec) -> CallerLimits:
    defaults = CallerLimits()
    return CallerLimits(
        max_header_bytes=spec.count(
            'max_header_bytes', defaults.max_header_bytes
        ),
        max_body_bytes=spec.count('max_body_bytes', defaults.max_body_bytes),
        header_timeout_s=spec.amount(
            'header_timeout_s', defaults.header_timeout_s
        ),
        idle_timeout_s=spec.amount('idle_timeout_s', defaults.idle_timeout_s),
    )


def _check_type(found: Any, expected_types: Any) -> Any:
    # A bool is an int for isinstance, but not in a row.
    if isinstance(found, bool) or not isinstance(found, expected_types):
        raise TypeError(f'a field has the wrong type {type(found).__name__}')
    return found
