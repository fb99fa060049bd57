import asyncio
import json
import string
from contextlib import AsyncExitStack

import pytest
from aiohttp.test_utils import make_mocked_request
from hypothesis import given, settings
from hypothesis import strategies as st

from currantspur.cli.checking import check_file
from currantspur.decisions.identity import KeyRing, mint_key
from currantspur.decisions.operators import OperatorRing
from currantspur.errors import (
    PeerAwayError,
    RejectedError,
    SettingsError,
)
from currantspur.messages import Configuration, Route, Target, Team
from currantspur.settings import (
    print_configuration,
    read_configuration,
    read_daemon_settings,
)
from currantspur.standins.fleet import Fleet
from currantspur.standins.workloads import (
    ETIQUETA_CLARA,
    describe_workload,
    name_targets,
)
from currantspur.wire.admin.form import Field, read_form
from currantspur.wire.admin.orders import START
from currantspur.wire.listener import read_arrival
from currantspur.wire.peer_codec import CALLS, decode
from tests.test_document import DAEMON

ADDRESSES = dict.fromkeys(name_targets(ETIQUETA_CLARA)[:3], '127.0.0.1:9')
CONFIGURATION = describe_workload(ETIQUETA_CLARA, ADDRESSES)
WRITTEN = print_configuration(CONFIGURATION)
SECRET, KEY = mint_key('team-1')
MANY = settings(max_examples=300)
FEW = settings(max_examples=60)
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=30),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(st.text(max_size=8), inner, max_size=4)
    ),
    max_leaves=12,
)
NAMES = st.sampled_from(
    [one.name for one in START] + ['teams', 'routes', 'keys', 'instance', '']
)
BODIES = st.one_of(
    st.binary(max_size=200),
    JSON.map(lambda plain: json.dumps(plain).encode()),
    st.dictionaries(NAMES, JSON, max_size=8).map(
        lambda plain: json.dumps(plain).encode()
    ),
).filter(bool)
AT = st.integers(0, 3000)
LENGTH = st.integers(0, 40)
EDITS = st.tuples(AT, LENGTH, st.text(max_size=9))


def break_text(text, edits):
    for at, length, inserted in edits:
        start = at % len(text)
        text = text[:start] + inserted + text[start + length :] or ' '
    return text


def find(reader, text):
    try:
        reader(text, file='file.yaml')
    except SettingsError as error:
        return error.findings
    return ()


def check_findings(reader, text):
    for finding in find(reader, text):
        assert min(finding.line, finding.column) >= 1
        assert finding.text
        assert finding.file == 'file.yaml'


@MANY
@given(edits=st.lists(EDITS, min_size=1, max_size=4))
@pytest.mark.parametrize(
    ('reader', 'text'),
    [(read_daemon_settings, DAEMON), (read_configuration, WRITTEN)],
)
def test_broken_documents(reader, text, edits):
    check_findings(reader, break_text(text, edits))


@MANY
@given(plain=st.dictionaries(NAMES, JSON))
@pytest.mark.parametrize('reader', [read_daemon_settings, read_configuration])
def test_json_documents(reader, plain):
    check_findings(reader, json.dumps(plain))


@pytest.mark.parametrize(
    'text',
    [
        '[' * 100_000,
        '{a: ' * 100_000,
        f'a: {"9" * 100_000}',
        '\n'.join(['x: &a [1]', *(f'y{at}: [*a, *a]' for at in range(999))]),
        '? [a, b]\n: c',
        '!!python/object/apply:os.system [x]',
        '- ' * 5000,
        '\x00',
        '\ud800',
        'teams: {a: 1}',
        'teams: [[1], 7, null, {}]',
        'regions: [{availability_zones: [[1], {a: b}]}]',
        'blocks: [{network: 1.2.3.4/99, site: ""}]',
        'teams: [{name: [a], rate: 1, burst: 1}]',
        'keys: [{key_id: {a: b}, team: [x], digest: 1}]',
    ],
)
@pytest.mark.parametrize('reader', [read_daemon_settings, read_configuration])
def test_hostile_documents(reader, text):
    assert find(reader, text)


@FEW
@given(content=st.binary(max_size=300))
def test_any_file(tmp_path_factory, content):
    file = tmp_path_factory.mktemp('fuzz') / 'file'
    file.write_bytes(content)
    for finding in check_file(file):
        assert str(finding)


@MANY
@given(body=BODIES)
@pytest.mark.parametrize('form', [START, (Field('text', limit=10),)])
def test_admin_bodies(form, body):
    try:
        read = read_form(body, form)
    except RejectedError as error:
        rejection = error.rejection
    else:
        rejection = None
        assert set(read.members) == {field.name for field in form}
    assert rejection is None or rejection.code == 'malformed'


ARRIVED = 5
LATE = 6
HEADER = st.one_of(
    st.text(max_size=60),
    st.text(string.digits, max_size=400),
    st.sampled_from(['Bearer ', f'Bearer {SECRET}x', '²', '1_0', '1e9', '-1']),
)


@MANY
@given(
    headers=st.fixed_dictionaries(
        {},
        optional=dict.fromkeys(
            ('Authorization', 'X-Request-Timeout-Ms', 'Idempotency-Key'),
            HEADER,
        ),
    )
)
def test_caller_headers(headers):
    request = make_mocked_request('GET', '/status', headers=headers)
    try:
        arrival = read_arrival(request, 'r', ARRIVED)
    except ValueError:
        return
    assert (arrival.deadline or LATE) >= ARRIVED
    assert arrival.key is None or KeyRing([KEY]).find(arrival.key) is None
    assert OperatorRing([]).find(arrival.key or '') is None


@MANY
@given(body=st.binary(max_size=120))
@pytest.mark.parametrize('call', CALLS, ids=[call.name for call in CALLS])
def test_peer_messages(call, body):
    for kind in (call.question, call.answer):
        try:
            message = decode(kind, body)
        except PeerAwayError:
            continue
        assert isinstance(message, kind)


RAW_LINES = (
    b'Idempotency-Key: \xff\xfe',
    b'Idempotency-Key: a\x7fb',
    b'X-Request-Id: \xff',
    b'X-Request-Timeout-Ms: \xb2',
    b'X-Request-Timeout-Ms: %s' % (b'9' * 400),
    b'X-Request-Timeout-Ms: %s' % (b'9' * 5000),
    b'traceparent: \xff',
    b'traceparent: 00-0-0-0',
    b'Authorization: Bearer \xff',
    b'X-Team: \xff',
    b'X-\xff: 1',
    b'Content-Length: -1',
    b'Transfer-Encoding: chunked, chunked',
    b'Cookie: %s' % (b'a' * 9000),
)


@pytest.fixture
async def entry():
    async with AsyncExitStack() as stack:
        fleet = Fleet(stack)
        addresses = await fleet.open_targets(['one'])
        await fleet.open_daemons(('north-1',))
        await fleet.apply(
            Configuration(
                routes=(
                    Route(prefix='/open', service='s', access='open'),
                    Route(prefix='/once', service='s', idempotent=False),
                ),
                teams=(Team(name='team-1', rate=999.0, burst=999.0),),
                keys=(KEY,),
                regions=CONFIGURATION.regions,
                targets=(
                    Target(
                        name='one',
                        service='s',
                        address=addresses['one'],
                        availability_zone='north-1',
                    ),
                ),
            )
        )
        yield fleet.daemons[0].settings.listen


async def test_raw_requests(entry):
    host, port = entry.split(':')
    for path in (
        b'/open',
        b'/open/\xff?\xfe',
        b'/once',
        b'/-/entries?client=%00',
    ):
        for line in RAW_LINES:
            raw = b'\r\n'.join(
                (
                    b'POST %s HTTP/1.1' % path,
                    b'Host: a',
                    b'Connection: close',
                    b'Authorization: Bearer %s' % SECRET.encode(),
                    line,
                    b'Idempotency-Key: one',
                    b'',
                    b'',
                )
            )
            status = await send(host, int(port), raw)
            assert status in ALLOWED, (path, line, status)
    healthy = b'GET /open HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n'
    assert await send(host, int(port), healthy) == b'200'


ALLOWED = frozenset((b'200', b'400', b'401', b'404', b'405', b'409', b'431'))


async def send(host, port, raw):
    reader, writer = await asyncio.open_connection(host, port)
    writer.write(raw)
    answer = await asyncio.wait_for(reader.read(), timeout=10)
    writer.close()
    return answer.split(b' ')[1] if answer else b''
