"""Odd values in what an instance reads from other programs.

Each is malformed or a value: no other error is raised by a codec, nor later by
the tasks that take the value, where it would fail other requests.
"""

import zlib

import pytest
from hypothesis import given
from hypothesis import strategies as st

from currantspur.errors import (
    HistoryLostError,
    MalformedRowError,
    StoreAwayError,
)
from currantspur.messages import (
    ConfigurationUpdate,
    Heartbeat,
    IncomingRequest,
    Instance,
    TargetNotice,
    TargetReport,
    TargetSignals,
    TargetsUpdate,
    Tick,
    ZoneDigest,
)
from currantspur.platform import store as platform_store
from currantspur.platform.resources import decode_configuration
from currantspur.platform.rows import decode_target
from currantspur.standins.fleet import (
    API_KEY,
    IDEMPOTENT_PREFIX,
    NON_IDEMPOTENT_PREFIX,
    ROUTE_HOST,
    describe_configuration,
)
from currantspur.tasks.startup_hold import STARTUP_HOLD_S
from currantspur.wire import relays
from currantspur.wire.datagrams import unpack
from currantspur.wire.heartbeats import (
    JsonInstanceCodec,
    decode_datagram,
    encode_datagram,
    encode_heartbeat,
)
from currantspur.wire.request_handler import parse_timeout_s
from currantspur.wire.targets import parse_decimal, parse_load
from currantspur.wire.zone_digests import encode_digest
from tests.odd_values import ODD_VALUES, odd_documents
from tests.test_admission import make_task
from tests.test_dispatcher import ask, make_dispatcher
from tests.test_membership import make_membership
from tests.test_rows import TARGET_ROW

PEER = Instance(
    name='near',
    availability_zone='n1',
    region='n',
    address='10.0.0.1:1',
    peer='10.0.0.1:2',
)
NOTICE = TargetNotice(
    target='t0',
    started_at_unix_ms=0,
    address='10.0.0.1:0',
    age_s=0.5,
    signals=TargetSignals(limit_per_s=3.0),
)
REVISION = 7
AMOUNTS = {
    'requests_per_s_by_team': {'one': 2.0},
    'revisions': {'op': REVISION},
    'busy_slots_by_service': {'s': 1.0},
    'busy_slots_by_rank': {'s 0': 1.0},
    'requests_per_s_by_target': {'t0': 1.0},
    'target_notices': (NOTICE,),
}
HEARTBEAT = Heartbeat(
    instance=PEER,
    incarnation=1,
    sequence_number=2,
    target_reports=(TargetReport(target='t0', object_key='1', in_flight=2),),
    **AMOUNTS,
)
DIGEST = ZoneDigest(
    availability_zone='s1',
    region='s',
    reporter='far',
    reporter_peer='10.0.0.1:2',
    incarnation=1,
    sequence_number=2,
    is_relayed=False,
    counted_instances=1,
    live_instances=(PEER,),
    **AMOUNTS,
)
STORE_RESPONSE = {
    'ver': REVISION,
    'now_s': 1.0,
    'has_more': False,
    'rows': [
        {'table': 'op', 'part': '', 'key': 'a', 'ver': 3, 'value': 'e30='},
        {'table': 'op', 'part': '', 'key': 'b', 'ver': 4, 'deleted': True},
    ],
}
RELAY_RESPONSE = {
    'rows': {'a': 'e30=', 'b': None},
    'texts': {'c': '{}'},
    'era': 1,
    'revision': REVISION,
    'changed': 3,
    'outage_ended_s_ago': 2.5,
}


class OddFleet:
    """The tasks of one instance, which tell each other what they know."""

    def __init__(self):
        self.membership = make_membership([])
        self.dispatcher = make_dispatcher('n1', 'n1')
        self.admission = make_task()
        self.membership.dispatcher = self.dispatcher.mailbox
        self.membership.subscribers = (
            self.dispatcher.mailbox,
            self.admission.mailbox,
        )

    def exchange(self):
        """Pass the load on to the membership and its view to the others."""
        for task in (self.dispatcher, self.admission):
            self.membership.handle_message(task.handle_message(Tick()))
        self.membership.handle_message(Tick())
        for task in (self.dispatcher, self.admission):
            for envelope in task.mailbox.get_all_nowait():
                task.handle_message(envelope.message)

    async def place_requests(self):
        """Let two requests be placed; raise the error of the dispatcher."""
        self.dispatcher.clock.at += STARTUP_HOLD_S
        for object_key in (None, '1'):
            await ask(self.dispatcher, object_key=object_key)


# Guards against a peer of another build, or a datagram of anybody, that stops
# the views of an instance: a demand of NaN or infinity cannot be shared out.
@pytest.mark.parametrize(
    'datagram',
    [encode_heartbeat(HEARTBEAT), encode_digest(DIGEST)],
    ids=['heartbeat', 'digest'],
)
@given(st.data())
async def test_odd_datagram_stops_no_task(datagram, data):
    encoded = data.draw(odd_documents(unpack(datagram)))
    message = decode_datagram(zlib.compress(encoded))
    if message is None:
        return
    fleet = OddFleet()
    fleet.membership.handle_message(message)
    fleet.exchange()
    await fleet.place_requests()
    fleet.exchange()
    encode_datagram(message)
    encode_datagram(fleet.membership.membership_table.own_heartbeat)


# Guards against a row of another writer that fails the requests of a service,
# or whose fields peers cannot decode, so that they lose whole heartbeats.
@given(odd_documents(TARGET_ROW), st.booleans())
async def test_odd_target_row_fails_no_request(encoded, is_leaving):
    try:
        target = decode_target('t0', encoded)
    except MalformedRowError:
        return
    fleet = OddFleet()
    update = TargetsUpdate(
        targets_by_name={'t0': target}, revision=2, read_at=0.0
    )
    fleet.dispatcher.handle_message(update)
    fleet.dispatcher.placement_state.signals.record_response(
        target,
        TargetSignals(is_leaving=is_leaving, limit_per_s=1.0),
        requested_at=0.0,
        at=0.0,
    )
    await fleet.place_requests()
    fleet.exchange()
    own_heartbeat = fleet.membership.membership_table.own_heartbeat
    datagram = encode_heartbeat(own_heartbeat)
    assert decode_datagram(datagram).target_notices


@given(odd_documents(describe_configuration(3)))
async def test_odd_configuration_fails_no_request(encoded):
    try:
        configuration = decode_configuration(encoded)
    except MalformedRowError:
        return
    fleet = OddFleet()
    update = ConfigurationUpdate(
        configuration=configuration, revision=1, read_at=0.0
    )
    for task in (fleet.dispatcher, fleet.admission):
        task.handle_message(update)
    fleet.exchange()
    for prefix in (IDEMPOTENT_PREFIX, NON_IDEMPOTENT_PREFIX):
        request = IncomingRequest(
            request_id='r',
            received_at=0.0,
            method='GET',
            host=ROUTE_HOST,
            path=f'{prefix}1',
            api_key=API_KEY,
        )
        assert list(fleet.admission.pipeline.run([request]))
    await fleet.place_requests()


@given(
    odd_documents(STORE_RESPONSE),
    st.sampled_from(
        [None, *filter(lambda odd: isinstance(odd, str), ODD_VALUES)]
    ),
)
def test_odd_store_response_counts_as_away(body, era):
    try:
        document = platform_store._decode_response('rows', 200, body, era=era)
        rows = platform_store.decode_rows(document)
        newest = platform_store._get_newest_revision(document)
    except StoreAwayError:
        return
    assert all(isinstance(key, str) for key, _row in rows)
    assert isinstance(newest, int)
    assert isinstance(document['revision'], int)


@given(odd_documents(RELAY_RESPONSE))
def test_odd_relay_response_counts_as_away(body):
    try:
        response = relays.decode_rows(200, body, after=REVISION)
    except (HistoryLostError, StoreAwayError):
        return
    assert all(
        row is None or isinstance(row, bytes)
        for row in response.rows_by_key.values()
    )
    assert response.outage_ended_s_ago >= 0


@given(
    odd_documents(
        {
            'name': 'i',
            'availability_zone': 'n1',
            'region': 'n',
            'address': '10.0.0.1:1',
            'peer': '10.0.0.1:2',
            'link_mbps': 1000.0,
        }
    )
)
def test_odd_instance_row_is_none_or_can_be_sent(encoded):
    codec = JsonInstanceCodec()
    instance = codec.decode(encoded)
    if instance is not None:
        assert codec.decode(codec.encode(instance)) == instance


# Guards against a number of hundreds of digits, which overflowed in each later
# choice of a target.
@given(st.sampled_from(ODD_VALUES).map(str) | st.text(max_size=400))
def test_odd_header_is_none_or_an_ordinary_number(text):
    for parse in (parse_decimal, parse_timeout_s):
        number = parse(text)
        assert number is None or 0 <= number < float('inf')
    for header in (text, f'{text},0,4', f'1,2,3,{text}'):
        load = parse_load(header)
        assert load is None or load.running + load.queued < 10**9
