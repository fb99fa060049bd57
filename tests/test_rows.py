import orjson
import pytest

from currantspur.errors import MalformedRowError
from currantspur.messages import (
    ConfigurationUpdate,
    EvacuationsUpdate,
    TableSnapshot,
    TargetsUpdate,
    WeightedService,
)
from currantspur.platform import OperatorRowDecoder, TargetRowDecoder
from currantspur.platform.resources import decode_configuration
from currantspur.platform.rows import decode_target
from currantspur.standins.fleet import describe_configuration

TARGET_ROW = {
    'service': 's',
    'address': '10.0.0.9:8080',
    'zone': 'n1',
    'config_version': 'v1',
    'capacity_slots': 3,
    'state': 'ready',
    'cold_remaining_s': 1.5,
    'sequence': 4,
    'born': 1769450373401,
}


def test_target_row_decodes_to_target():
    target = decode_target('i-1', orjson.dumps(TARGET_ROW))
    assert (target.name, target.service, target.slots) == ('i-1', 's', 3)
    assert (target.cold_remaining_s, target.started_at_unix_ms) == (
        1.5,
        1769450373401,
    )
    assert not target.is_draining


@pytest.mark.parametrize(
    'change',
    [
        {'state': 'gone'},
        {'state': None},
        {'state': 1},
        {'service': 7},
        {'address': 'nowhere'},
        {'address': None},
        {'zone': []},
        {'capacity_slots': '3'},
        {'capacity_slots': 0},
        {'capacity_slots': True},
        {'cold_remaining_s': 'x'},
        {'born': 'x'},
    ],
)
def test_target_row_with_bad_field_raises_error(change):
    with pytest.raises(MalformedRowError):
        decode_target('i-1', orjson.dumps({**TARGET_ROW, **change}))


@pytest.mark.parametrize('encoded', [b'', b'\xff\x00', b'[]', b'7', b'null'])
def test_target_row_not_json_object_raises_error(encoded):
    with pytest.raises(MalformedRowError):
        decode_target('i-1', encoded)


def test_malformed_target_row_is_skipped():
    snapshot = TableSnapshot(
        table='servers',
        rows_by_key={'a': orjson.dumps(TARGET_ROW), 'b': b'{'},
        revision=3,
        read_at=1.0,
    )
    update = next(TargetRowDecoder().run([snapshot]))
    assert isinstance(update, TargetsUpdate)
    assert list(update.targets_by_name) == ['a']


DRAINING_ROW = {**TARGET_ROW, 'state': 'draining'}


@pytest.mark.parametrize(
    ('later', 'names', 'is_same'),
    [
        (orjson.dumps(TARGET_ROW), ['a'], True),
        (orjson.dumps(DRAINING_ROW), ['a'], False),
        (b'{', [], False),
        (None, [], False),
    ],
)
def test_only_changed_target_rows_are_decoded(later, names, is_same):
    decoder = TargetRowDecoder()
    snapshots = [
        TableSnapshot(
            table='servers',
            rows_by_key={'a': row} if row else {},
            revision=revision,
            read_at=1.0,
        )
        for revision, row in enumerate((orjson.dumps(TARGET_ROW), later))
    ]
    before, after = (
        update.targets_by_name for update in decoder.run(snapshots)
    )
    assert list(after) == names
    assert (after.get('a') is before['a']) is is_same


def test_configuration_row_is_decoded():
    document = describe_configuration(4)
    configuration = decode_configuration(orjson.dumps(document))
    assert configuration.version == 4
    assert [route.is_idempotent for route in configuration.routes] == [
        True,
        False,
    ]
    assert configuration.limits.max_body_bytes == 4096
    assert configuration.services[0].cold_requests_per_s == 5
    assert configuration.teams[0].keys


def test_weighted_split_gives_weighted_services():
    document = describe_configuration(4)
    spec = document['resource_list'][0]['spec']
    spec.pop('service')
    spec['weighted_split'] = [
        {'service': 'a', 'weight': 90},
        {'service': 'b', 'weight': 10},
    ]
    route = decode_configuration(orjson.dumps(document)).routes[0]
    assert route.weighted_services == (
        WeightedService(service='a', weight=90),
        WeightedService(service='b', weight=10),
    )


def decode_operator_rows(rows_by_key):
    snapshot = TableSnapshot(
        table='op', rows_by_key=rows_by_key, revision=3, read_at=1.0
    )
    return list(OperatorRowDecoder().run([snapshot]))


def test_limits_without_metadata_are_read():
    document = describe_configuration(4)
    for resource in document['resource_list']:
        if resource['resource_kind'] == 'limits':
            resource.pop('metadata')
    update, _ = decode_operator_rows({'config': orjson.dumps(document)})
    assert update.configuration.limits.max_body_bytes == 4096


@pytest.mark.parametrize(
    ('rows_by_key', 'message_types', 'evacuated'),
    [
        ({}, [EvacuationsUpdate], []),
        ({'config': b'{'}, [EvacuationsUpdate], []),
        ({'config': b'{"config_version": 1}'}, [EvacuationsUpdate], []),
        ({'evacuate/n1': b'{}'}, [EvacuationsUpdate], ['n1']),
        (
            {
                'config': orjson.dumps(describe_configuration(2)),
                'evacuate/n2': b'',
                'evacuate/n1': b'{}',
            },
            [ConfigurationUpdate, EvacuationsUpdate],
            ['n1', 'n2'],
        ),
    ],
)
def test_operator_rows_decode_to_valid_updates(
    rows_by_key, message_types, evacuated
):
    messages = decode_operator_rows(rows_by_key)
    assert [type(message) for message in messages] == message_types
    assert sorted(messages[-1].availability_zones) == evacuated
