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
from currantspur.platform.rows import decode_configuration, decode_target
from currantspur.standins.fleet import describe_configuration

ENTRY = {
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


def test_a_target():
    target = decode_target('i-1', orjson.dumps(ENTRY))
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
def test_a_malformed_entry_names_no_target(change):
    with pytest.raises(MalformedRowError):
        decode_target('i-1', orjson.dumps({**ENTRY, **change}))


@pytest.mark.parametrize('encoded', [b'', b'\xff\x00', b'[]', b'7', b'null'])
def test_bytes_that_are_no_entry(encoded):
    with pytest.raises(MalformedRowError):
        decode_target('i-1', encoded)


def test_the_other_entries_hold():
    rows = TableSnapshot(
        table='servers',
        rows_by_key={'a': orjson.dumps(ENTRY), 'b': b'{'},
        revision=3,
        read_at=1.0,
    )
    seen = next(TargetRowDecoder().run([rows]))
    assert isinstance(seen, TargetsUpdate)
    assert list(seen.targets_by_name) == ['a']


def test_a_configuration():
    plain = describe_configuration(4)
    configuration = decode_configuration(orjson.dumps(plain))
    assert configuration.version == 4
    assert [route.is_idempotent for route in configuration.routes] == [
        True,
        False,
    ]
    assert configuration.limits.max_body_bytes == 4096
    assert configuration.services[0].cold_requests_per_s == 5
    assert configuration.teams[0].keys


def test_a_split_route():
    plain = describe_configuration(4)
    spec = plain['resource_list'][0]['spec']
    spec.pop('service')
    spec['weighted_split'] = [
        {'service': 'a', 'weight': 90},
        {'service': 'b', 'weight': 10},
    ]
    route = decode_configuration(orjson.dumps(plain)).routes[0]
    assert route.weighted_services == (
        WeightedService(service='a', weight=90),
        WeightedService(service='b', weight=10),
    )


def read_operator(by_key):
    rows = TableSnapshot(
        table='op', rows_by_key=by_key, revision=3, read_at=1.0
    )
    return list(OperatorRowDecoder().run([rows]))


def test_limits_have_no_name():
    plain = describe_configuration(4)
    for resource in plain['resource_list']:
        if resource['resource_kind'] == 'limits':
            resource.pop('metadata')
    seen, _ = read_operator({'config': orjson.dumps(plain)})
    assert seen.configuration.limits.max_body_bytes == 4096


@pytest.mark.parametrize(
    ('by_key', 'kinds', 'evacuated'),
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
def test_what_operators_wrote(by_key, kinds, evacuated):
    messages = read_operator(by_key)
    assert [type(one) for one in messages] == kinds
    assert sorted(messages[-1].availability_zones) == evacuated
