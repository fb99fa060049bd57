"""Decode rows of the platform's tables into the product's messages."""

from collections.abc import Iterable, Iterator, Mapping
from types import MappingProxyType
from typing import Any

import orjson
from loguru import logger

from currantspur.errors import MALFORMED_INPUT_ERRORS, MalformedRowError
from currantspur.messages import (
    CallerLimits,
    Configuration,
    ConfigurationUpdate,
    EvacuationsUpdate,
    Message,
    Route,
    Service,
    TableSnapshot,
    Target,
    TargetsUpdate,
    Team,
    WeightedService,
)
from currantspur.pipelines.filter import Filter
from currantspur.platform import names

Plain = Mapping[str, Any]
Resource = tuple[str, Plain]
ByKind = Mapping[str, list[Resource]]
# The limits of a configuration that names none.
NO_LIMITS: Plain = MappingProxyType({})


class OperatorRowDecoder(Filter[TableSnapshot, Message]):
    """Turn what operators wrote into a configuration and evacuations."""

    __slots__ = ()

    def run(self, stream: Iterable[TableSnapshot]) -> Iterator[Message]:
        """Yield the configuration, if there is one, and all evacuations."""
        for rows in stream:
            encoded = rows.rows_by_key.get(names.CONFIGURATION_KEY)
            if encoded is not None:
                yield from _read_configuration(encoded, rows)
            yield EvacuationsUpdate(
                availability_zones=frozenset(
                    _list_evacuations(rows.rows_by_key)
                ),
                revision=rows.revision,
                read_at=rows.read_at,
            )


class TargetRowDecoder(Filter[TableSnapshot, Message]):
    """Turn what targets wrote about themselves into targets."""

    __slots__ = ('reported_keys',)

    def __init__(self) -> None:
        # Keys already complained of: one line each.
        self.reported_keys: set[str] = set()

    def run(self, stream: Iterable[TableSnapshot]) -> Iterator[Message]:
        """Yield all targets; rows that cannot be read name none."""
        for rows in stream:
            yield TargetsUpdate(
                targets_by_name=dict(self._read_targets(rows.rows_by_key)),
                revision=rows.revision,
                read_at=rows.read_at,
                outage_ended_at=rows.outage_ended_at,
            )

    def _read_targets(
        self, by_key: Mapping[str, bytes]
    ) -> Iterator[tuple[str, Target]]:
        for key, encoded in by_key.items():
            try:
                yield key, decode_target(key, encoded)
            except MalformedRowError as error:
                if key not in self.reported_keys:
                    self.reported_keys.add(key)
                    logger.warning('target row left out: {}', error)


def decode_target(key: str, encoded: bytes) -> Target:
    """Return a target; raise MalformedRowError for anything else."""
    plain = _load(encoded)
    state = _take(plain, 'state', str)
    if state not in {names.READY, names.DRAINING}:
        raise MalformedRowError(f'unknown state {state!r}')
    slots = _take(plain, 'capacity_slots', int)
    if slots < 1:
        raise MalformedRowError('no slots')
    address = _take(plain, 'address', str)
    if not address.rpartition(':')[2].isdecimal():
        raise MalformedRowError('no port in the address')
    return Target(
        name=key,
        service=_take(plain, 'service', str),
        address=address,
        availability_zone=_take(plain, 'zone', str),
        slots=slots,
        is_draining=state == names.DRAINING,
        # Seconds that it stays cold, counted from when it wrote this.
        cold_remaining_s=float(_take(plain, 'cold_remaining_s', (int, float))),
        # When it started, in Unix milliseconds.
        started_at_unix_ms=_take(plain, 'born', int, 0),
    )


def decode_configuration(encoded: bytes) -> Configuration:
    """Return a configuration; raise MalformedRowError for anything else."""
    plain = _load(encoded)
    by_kind: dict[str, list[Resource]] = {}
    try:
        for resource in plain['resource_list']:
            # Limits come once and have no name.
            metadata = resource.get('metadata') or {}
            named = (metadata.get('name', ''), resource['spec'])
            by_kind.setdefault(resource['resource_kind'], []).append(named)
        limits = by_kind.get('limits', [('', NO_LIMITS)])[0][1]
        return Configuration(
            version=plain['config_version'],
            routes=tuple(_read_routes(by_kind)),
            services=tuple(_read_services(by_kind)),
            teams=tuple(_read_teams(by_kind)),
            limits=_read_limits(limits),
        )
    except MALFORMED_INPUT_ERRORS as error:
        raise MalformedRowError(f'configuration: {error!r}') from error


def _read_configuration(
    encoded: bytes, rows: TableSnapshot
) -> Iterator[ConfigurationUpdate]:
    try:
        configuration = decode_configuration(encoded)
    except MalformedRowError as error:
        # The version in force stays.
        logger.error('configuration left out: {}', error)
        return
    yield ConfigurationUpdate(
        configuration=configuration,
        revision=rows.revision,
        read_at=rows.read_at,
    )


def _list_evacuations(by_key: Mapping[str, bytes]) -> Iterator[str]:
    for key in by_key:
        if key.startswith(names.EVACUATION_PREFIX):
            yield key.removeprefix(names.EVACUATION_PREFIX)


def _read_routes(
    by_kind: ByKind,
) -> Iterator[Route]:
    for name, spec in by_kind.get('routes', ()):
        yield Route(
            name=name,
            host=spec['hostname'].lower(),
            path_prefix=spec['prefix'],
            weighted_services=tuple(_read_parts(spec)),
            is_idempotent=spec.get('route_kind') == names.IDEMPOTENT,
            timeout_s=spec['timeout_s'],
            latency_goal_s=spec.get('target_latency_s') or spec['timeout_s'],
            max_attempts=spec.get('max_attempts', 1),
            priority=spec.get('priority', 0),
            allows_anonymous=spec.get('allow_anonymous', False),
            has_affinity=spec.get('session_affinity', False),
            home_regions=frozenset(spec.get('home_regions') or ()),
        )


def _read_parts(spec: Plain) -> Iterator[WeightedService]:
    for part in spec.get('weighted_split') or ():
        yield WeightedService(service=part['service'], weight=part['weight'])
    if not spec.get('weighted_split'):
        yield WeightedService(service=spec['service'], weight=1)


def _read_services(
    by_kind: ByKind,
) -> Iterator[Service]:
    for name, spec in by_kind.get('services', ()):
        yield Service(
            name=name,
            health_path=spec.get('health_path', '/health'),
            max_connections=spec.get('max_conns', 0),
            cold_start_s=spec.get('cold_start_s', 0.0),
            cold_requests_per_s=spec.get('cold_per_s', 0.0),
        )


def _read_teams(
    by_kind: ByKind,
) -> Iterator[Team]:
    for name, spec in by_kind.get('tenants', ()):
        yield Team(
            name=name,
            keys=tuple(spec.get('api_keys') or ()),
            rate_per_s=spec.get('rate_per_s') or 0.0,
            burst=spec.get('burst') or 0.0,
            priority=spec.get('priority'),
            home_regions=frozenset(spec.get('home_regions') or ()),
        )


def _read_limits(spec: Plain) -> CallerLimits:
    known = CallerLimits()
    return CallerLimits(
        max_header_bytes=spec.get('max_header_bytes', known.max_header_bytes),
        max_body_bytes=spec.get('max_body_bytes', known.max_body_bytes),
        header_timeout_s=spec.get('header_timeout_s', known.header_timeout_s),
        idle_timeout_s=spec.get('idle_timeout_s', known.idle_timeout_s),
    )


def _load(encoded: bytes) -> Plain:
    try:
        plain = orjson.loads(encoded)
    except orjson.JSONDecodeError as error:
        raise MalformedRowError('not JSON') from error
    if not isinstance(plain, dict):
        raise MalformedRowError('not an object')
    return plain


def _take(plain: Plain, field: str, kinds: Any, default: Any = None) -> Any:
    found = plain.get(field, default)
    if not isinstance(found, kinds) or isinstance(found, bool):
        raise MalformedRowError(f'{field}: {type(found).__name__}')
    return found
