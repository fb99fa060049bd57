"""Decode rows of the platform's tables into messages."""

import re
from collections.abc import Iterable, Iterator, Mapping
from typing import Any

from loguru import logger

from currantspur.encoding import MAX_COUNT
from currantspur.errors import MalformedRowError
from currantspur.messages import (
    ConfigurationUpdate,
    EvacuationsUpdate,
    Message,
    TableSnapshot,
    Target,
    TargetsUpdate,
)
from currantspur.pipelines.filter import Filter
from currantspur.platform import names
from currantspur.platform.resources import (
    JsonObject,
    decode_configuration,
    parse_object,
)
from currantspur.settings import is_address

# A row beyond these is a mistake of its writer: a single one would change the
# plans of a whole service.
MAX_SLOTS = 10_000
MAX_COLD_S = 86_400
_HEADER_TOKEN = re.compile(r'[!-~]+')


class OperatorRowDecoder(Filter[TableSnapshot, Message]):
    """Decode the rows of operators: the configuration and evacuations."""

    __slots__ = ()

    def run(self, stream: Iterable[TableSnapshot]) -> Iterator[Message]:
        """Yield the configuration, if it is valid, and all evacuations.

        A malformed configuration is logged; the version in force stays.
        """
        for snapshot in stream:
            encoded = snapshot.rows_by_key.get(names.CONFIGURATION_KEY)
            if encoded is not None:
                yield from _read_configuration(encoded, snapshot)
            yield EvacuationsUpdate(
                availability_zones=frozenset(
                    _list_evacuations(snapshot.rows_by_key)
                ),
                revision=snapshot.revision,
                read_at=snapshot.read_at,
            )


# A row as it was read, and what it says.
DecodedRow = tuple[bytes, Target]


class TargetRowDecoder(Filter[TableSnapshot, Message]):
    """Decode the rows that targets write about themselves.

    A row that did not change is not decoded again.
    """

    __slots__ = ('decoded', 'reported_keys')

    def __init__(self) -> None:
        # Rows of the latest snapshot, with what they say.
        self.decoded: dict[str, DecodedRow] = {}
        # Keys of malformed rows already logged, to log each of them only once.
        self.reported_keys: set[str] = set()

    def run(self, stream: Iterable[TableSnapshot]) -> Iterator[Message]:
        """Yield all targets of each snapshot; malformed rows are left out."""
        for snapshot in stream:
            yield TargetsUpdate(
                targets_by_name=self._read_targets(snapshot.rows_by_key),
                revision=snapshot.revision,
                read_at=snapshot.read_at,
                outage_ended_at=snapshot.outage_ended_at,
            )

    def _read_targets(
        self, rows_by_key: Mapping[str, bytes]
    ) -> dict[str, Target]:
        before = self.decoded
        self.decoded = {}
        for key, encoded in rows_by_key.items():
            known = before.get(key)
            if known is None or known[0] != encoded:
                known = self._decode(key, encoded)
            if known is not None:
                self.decoded[key] = known
        return {key: target for key, (_row, target) in self.decoded.items()}

    def _decode(self, key: str, encoded: bytes) -> DecodedRow | None:
        try:
            return encoded, decode_target(key, encoded)
        except MalformedRowError as error:
            if key not in self.reported_keys:
                self.reported_keys.add(key)
                logger.warning('ignored a malformed target row: {}', error)
        return None


def decode_target(key: str, encoded: bytes) -> Target:
    """Return the target of a row; raise MalformedRowError if malformed."""
    row = parse_object(encoded)
    target = Target(
        name=key,
        service=_get_field(row, 'service', str),
        address=_get_field(row, 'address', str),
        availability_zone=_get_field(row, 'zone', str),
        slots=_get_field(row, 'capacity_slots', int),
        is_draining=_get_field(row, 'state', str) == names.DRAINING,
        # Seconds for which the target stays cold, counted from its writing
        # of the row.
        cold_remaining_s=float(
            _get_field(row, 'cold_remaining_s', (int, float))
        ),
        # Unix time of its start, in milliseconds; 0 if not stated.
        started_at_unix_ms=_get_field(row, 'born', int, 0),
    )
    faults = list(_list_range_faults(target, row['state']))
    if faults:
        raise MalformedRowError(', '.join(faults))
    return target


def _list_range_faults(target: Target, state: str) -> Iterator[str]:
    if state not in {names.READY, names.DRAINING}:
        yield f'unknown state {state!r}'
    if not _HEADER_TOKEN.fullmatch(target.name):
        # Requests to the target name it in a header.
        yield f'name {target.name!r} does not fit into a header'
    if not 1 <= target.slots <= MAX_SLOTS:
        yield f'capacity_slots is not 1 to {MAX_SLOTS}'
    if not is_address(target.address):
        yield 'address is not an IP address and a port'
    if not 0 <= target.started_at_unix_ms <= MAX_COUNT:
        # Peers would take a heartbeat that names it as malformed.
        yield 'born is no Unix time in milliseconds'
    if abs(target.cold_remaining_s) > MAX_COLD_S:
        yield f'cold_remaining_s is over {MAX_COLD_S}'


def _read_configuration(
    encoded: bytes, snapshot: TableSnapshot
) -> Iterator[ConfigurationUpdate]:
    try:
        configuration = decode_configuration(encoded)
    except MalformedRowError as error:
        logger.error('ignored a malformed configuration: {}', error)
        return
    yield ConfigurationUpdate(
        configuration=configuration,
        revision=snapshot.revision,
        read_at=snapshot.read_at,
    )


def _list_evacuations(rows_by_key: Mapping[str, bytes]) -> Iterator[str]:
    for key in rows_by_key:
        if key.startswith(names.EVACUATION_PREFIX):
            yield key.removeprefix(names.EVACUATION_PREFIX)


def _get_field(
    row: JsonObject, field: str, expected_types: Any, default: Any = None
) -> Any:
    found = row.get(field, default)
    # A bool is an int for isinstance, but not in a row.
    if not isinstance(found, expected_types) or isinstance(found, bool):
        raise MalformedRowError(
            f'{field} has the wrong type {type(found).__name__}'
        )
    return found
