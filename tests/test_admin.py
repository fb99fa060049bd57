import asyncio
from contextlib import AsyncExitStack

import pytest

from currantspur.decisions.identity import mint_key
from currantspur.decisions.operators import mint_operator_key
from currantspur.messages import Team
from currantspur.platform import read_head, read_section
from currantspur.platform.history import read_recent
from currantspur.settings import print_configuration
from currantspur.standins.faults import Fault
from currantspur.standins.workloads import ETIQUETA_CLARA, describe_workload
from tests.operators import ADDRESSES, MINTED, SECRETS, open_instance

_, KEY = mint_key('team-1')
_, NEW = mint_operator_key('vera', 'drain')
CONFIGURATION = describe_workload(ETIQUETA_CLARA, ADDRESSES)
CONFIGURATION.operators = tuple(kept for _, kept in MINTED.values())
CONFIGURATION.teams = (
    *CONFIGURATION.teams,
    Team(name='team-9', rate=1.0, burst=2.0),
)
TEXT = print_configuration(CONFIGURATION)
BROKEN = 'teams:\n- {name: a, rate: x, burst: 2}\n'
APPLY = {'change_id': 'c1', 'base_version': 1, 'text': TEXT}
KEY_ID = MINTED['omar'][1].key_id
ISSUE = {'change_id': 'c1', 'key_id': KEY.key_id, 'digest': KEY.digest}
START = {
    'change_id': 'c1',
    'drain_id': 'd1',
    'scope': 'availability_zone',
    'name': 'north-1',
}
WRITES = {
    '/v1/changes': APPLY,
    '/v1/restore': {'change_id': 'c1', 'base_version': 1, 'version': 1},
    '/v1/keys': {**ISSUE, 'team': 'team-1'},
    '/v1/operators': {
        'change_id': 'c1',
        'key_id': NEW.key_id,
        'digest': NEW.digest,
        'name': 'vera',
        'role': 'drain',
    },
    f'/v1/keys/{KEY_ID}/withdraw': {'change_id': 'c1'},
    '/v1/drains': START,
    '/v1/drains/d0/pause': {'change_id': 'c1'},
    '/v1/drains/d0/resume': {'change_id': 'c1'},
    '/v1/drains/d0/cancel': {'change_id': 'c1'},
}
READS = {
    '/v1/status': None,
    '/v1/configuration': None,
    '/v1/configuration?version=1': None,
    '/v1/history': None,
    '/v1/blame?path=teams': None,
    '/v1/explain': None,
    '/v1/diff': {'text': TEXT},
    '/v1/dry-run': {'text': TEXT},
}
OUTAGE = [Fault(kind='outage')]
LOST = [Fault(kind='lost_answer', calls=['commit'], count=1)]


@pytest.fixture
async def served():
    async with AsyncExitStack() as stack:
        opened = await open_instance(stack)
        started = {**START, 'change_id': 'c0', 'drain_id': 'd0'}
        started['name'] = 'south-1'
        await opened.call('POST', '/v1/drains', started)
        yield opened


def rebase(body, base):
    return {**body, 'base_version': base} if 'base_version' in body else body


@pytest.mark.parametrize('path', list(WRITES))
@pytest.mark.parametrize(
    ('case', 'operator', 'faults', 'status', 'code'),
    [
        ('good', 'anna', [], 200, None),
        ('good', 'root', [], 200, None),
        ('good', None, [], 401, 'unauthorised'),
        ('good', 'stranger', [], 401, 'unauthorised'),
        ('good', 'reader', [], 403, 'forbidden'),
        ('empty', 'anna', [], 400, 'malformed'),
        ('not JSON', 'anna', [], 400, 'malformed'),
        ('list', 'anna', [], 400, 'malformed'),
        ('unknown name', 'anna', [], 400, 'malformed'),
        ('wrong kind', 'anna', [], 400, 'malformed'),
        ('good', 'anna', OUTAGE, 503, 'store_away'),
        ('good', 'anna', LOST, 502, 'outcome_unknown'),
    ],
)
async def test_writes(served, path, case, operator, faults, status, code):
    good = rebase(WRITES[path], 2)
    bodies = {
        'good': good,
        'empty': {},
        'not JSON': b'{"change_id":',
        'list': b'[1]',
        'unknown name': {**good, 'other': 1},
        'wrong kind': {**good, 'change_id': 7},
    }
    served.faults.replace(
        Fault(kind=one.kind, calls=one.calls, count=one.count) for one in faults
    )
    came, answer = await served.call('POST', path, bodies[case], operator)
    assert (came, answer.get('error', {}).get('code')) == (status, code), answer
    head = await read_head(served.platform)
    is_written = status in {200, 502}
    assert head.version == 2 + is_written
    if is_written:
        assert (head.author, head.change_id) == (operator, 'c1')
        served.faults.replace([])
        again, body = await served.call('POST', path, good, operator)
        assert (again, body['version']) == (200, 3)


@pytest.mark.parametrize('path', list(READS))
@pytest.mark.parametrize(
    ('operator', 'status'),
    [('reader', 200), ('anna', 200), (None, 401), ('stranger', 401)],
)
async def test_reads(served, path, operator, status):
    method = 'POST' if READS[path] else 'GET'
    came, _ = await served.call(method, path, READS[path], operator)
    assert came == status


@pytest.mark.parametrize(
    ('method', 'path', 'body', 'status', 'code', 'named'),
    [
        ('POST', '/v1/changes', APPLY, 409, 'conflict', 'anna'),
        (
            'POST',
            '/v1/changes',
            {**APPLY, 'base_version': 99},
            409,
            'conflict',
            'anna',
        ),
        (
            'POST',
            '/v1/changes',
            {**APPLY, 'change_id': 'c0'},
            409,
            'conflict',
            'anna',
        ),
        (
            'POST',
            '/v1/changes',
            {**APPLY, 'text': BROKEN, 'file': 'steering.yaml'},
            422,
            'findings',
            'steering.yaml',
        ),
        ('POST', '/v1/diff', {'text': BROKEN}, 422, 'findings', 'teams[0]'),
        ('POST', '/v1/dry-run', {'text': '[}'}, 422, 'findings', 'not YAML'),
        (
            'POST',
            '/v1/restore',
            {**WRITES['/v1/restore'], 'version': 77},
            404,
            'not_found',
            'version 77',
        ),
        (
            'POST',
            '/v1/keys',
            {**ISSUE, 'team': 'nobody'},
            404,
            'not_found',
            'nobody',
        ),
        (
            'POST',
            '/v1/keys',
            {**ISSUE, 'team': 'team-1', 'digest': 'é'},
            400,
            'malformed',
            'digest',
        ),
        (
            'POST',
            '/v1/drains',
            {**START, 'pace': -1},
            400,
            'malformed',
            'pace',
        ),
        (
            'POST',
            '/v1/drains',
            {**START, 'scope': 'world'},
            400,
            'malformed',
            'scope',
        ),
        (
            'POST',
            '/v1/drains',
            {**START, 'drain_id': 'd0'},
            409,
            'conflict',
            'd0',
        ),
        (
            'POST',
            '/v1/drains/none/pause',
            {'change_id': 'x'},
            404,
            'not_found',
            'none',
        ),
        ('GET', '/v1/blame', None, 400, 'malformed', 'path'),
        ('GET', '/v1/history?limit=-1', None, 400, 'malformed', 'limit'),
        ('GET', '/v1/history?limit=²', None, 400, 'malformed', 'limit'),
        (
            'GET',
            f'/v1/configuration?version={"9" * 400}',
            None,
            400,
            'malformed',
            'version',
        ),
        (
            'GET',
            '/v1/configuration?version=9',
            None,
            404,
            'not_found',
            'version 9',
        ),
    ],
)
async def test_rejections(served, method, path, body, status, code, named):
    came, answer = await served.call(method, path, body, 'omar')
    assert (came, answer['error']['code']) == (status, code), answer
    assert named in str(answer['error'])
    if code == 'conflict':
        assert answer['error']['author'] == 'omar' or named == 'd0'
    head = await read_head(served.platform)
    assert head.version == 2


@pytest.mark.parametrize(
    ('operator', 'path', 'status'),
    [
        ('drainer', '/v1/drains', 200),
        ('drainer', '/v1/drains/d0/cancel', 200),
        ('drainer', '/v1/keys', 403),
        ('drainer', '/v1/changes', 403),
        ('omar', '/v1/changes', 200),
    ],
)
async def test_roles(served, operator, path, status):
    body = rebase(WRITES[path], 2)
    came, _ = await served.call('POST', path, body, operator)
    assert came == status


async def test_withdrawn_operator_commits_nothing(served):
    path = f'/v1/keys/{KEY_ID}/withdraw'
    await served.call('POST', path, {'change_id': 'c2'}, 'anna')
    came, answer = await served.call('POST', '/v1/drains', START, 'omar')
    assert (came, answer['error']['code']) == (403, 'forbidden')
    await served.follow()
    came, answer = await served.call('POST', '/v1/drains', START, 'omar')
    assert (came, answer['error']['code']) == (401, 'unauthorised')


async def test_history_and_blame(served):
    body = rebase(APPLY, 2)
    await served.call('POST', '/v1/changes', {**body, 'note': 'n'}, 'omar')
    _, history = await served.call('GET', '/v1/history')
    assert [one['author'] for one in history] == ['omar', 'anna', 'root']
    path = '/v1/blame?path=teams[team-9].rate'
    _, blamed = await served.call('GET', path)
    assert [(one['author'], one['setting']) for one in blamed] == [('omar', 1)]
    _, shown = await served.call('GET', '/v1/configuration?version=3')
    assert shown['text'] == TEXT
    restored = {'change_id': 'r', 'base_version': 3, 'version': 1}
    _, head = await served.call('POST', '/v1/restore', restored)
    assert (head['version'], head['author']) == (4, 'anna')
    configuration = await read_section(
        served.platform, await read_head(served.platform)
    )
    assert 'team-9' not in {team.name for team in configuration.teams}


async def test_two_operators_race():
    async with AsyncExitStack() as stack:
        first = await open_instance(stack)
        second = await open_instance(stack, first.platform)
        tries = [
            _issue_until_done(served, operator, index)
            for served, operator in ((first, 'anna'), (second, 'omar'))
            for index in range(100)
        ]
        versions = await asyncio.gather(*tries)
        heads = await read_recent(first.platform, limit=300)
        configuration = await read_section(first.platform, heads[0])
    authors = {head.change_id: head.author for head in heads}
    assert sorted(versions) == list(range(2, 202))
    assert [head.version for head in heads] == list(range(201, 0, -1))
    assert len(configuration.keys) == 200
    for change_id, author in authors.items():
        assert change_id == 'first' or change_id.startswith(author)


async def _issue_until_done(served, operator, index):
    _, key = mint_key('team-1')
    body = {
        'change_id': f'{operator}-{index}',
        'team': 'team-1',
        'key_id': key.key_id,
        'digest': key.digest,
    }
    status = 0
    while status != 200:
        status, answer = await served.call('POST', '/v1/keys', body, operator)
        assert status in {200, 409, 503}
    return answer['version']


async def test_secrets_stay_out(served, capfd):
    texts = []
    for path, body in {**WRITES, **READS}.items():
        for operator in SECRETS:
            method = 'POST' if body else 'GET'
            _, answer = await served.call(method, path, body, operator)
            texts.append(str(answer))
    texts.append(str(served.platform.object_store.bodies))
    texts.append(repr(served.platform.table.rows))
    texts.extend(capfd.readouterr())
    for secret in SECRETS.values():
        assert secret[20:] not in ''.join(texts)


PROPOSAL = {'proposal_id': 'p1', 'base_version': 2, 'text': TEXT, 'note': 'n'}


@pytest.mark.parametrize(
    ('operator', 'body', 'status', 'code'),
    [
        ('reader', PROPOSAL, 200, None),
        ('stranger', PROPOSAL, 401, 'unauthorised'),
        ('reader', {**PROPOSAL, 'text': BROKEN}, 422, 'findings'),
        ('reader', {**PROPOSAL, 'base_version': -1}, 400, 'malformed'),
        ('reader', {**PROPOSAL, 'proposal_id': 'taken'}, 409, 'conflict'),
    ],
)
async def test_proposals(served, operator, body, status, code):
    taken = {**PROPOSAL, 'proposal_id': 'taken'}
    await served.call('POST', '/v1/proposals', taken, 'anna')
    came, answer = await served.call('POST', '/v1/proposals', body, operator)
    assert (came, answer.get('error', {}).get('code')) == (status, code)
    _, listed = await served.call('GET', '/v1/proposals')
    assert len(listed) == 1 + (status == 200)
    again, _ = await served.call('POST', '/v1/proposals', body, operator)
    assert again == status


@pytest.mark.parametrize(
    ('operator', 'status', 'left'), [('anna', 200, 0), ('drainer', 403, 1)]
)
async def test_drop_proposal(served, operator, status, left):
    await served.call('POST', '/v1/proposals', PROPOSAL, 'reader')
    _, shown = await served.call('GET', '/v1/proposals/p1')
    assert (shown['text'], shown['author']) == (TEXT, 'reader')
    path = '/v1/proposals/p1/drop'
    came, _ = await served.call('POST', path, {}, operator)
    _, listed = await served.call('GET', '/v1/proposals')
    assert (came, len(listed)) == (status, left)
    came, _ = await served.call('GET', '/v1/proposals/none')
    assert came == 404


@pytest.mark.parametrize(
    ('scope', 'name', 'paused', 'state'),
    [
        ('target', 'status-1', False, 'draining'),
        ('target', 'status-1', True, 'paused'),
        ('availability_zone', 'north-1', True, 'paused'),
        ('region', 'north', False, 'drained'),
    ],
)
async def test_drain_states(served, scope, name, paused, state):
    body = {**START, 'scope': scope, 'name': name}
    await served.call('POST', '/v1/drains', body)
    if paused:
        path = '/v1/drains/d1/pause'
        await served.call('POST', path, {'change_id': 'c2'})
    await served.follow()
    _, drains = await served.call('GET', '/v1/drains', None, 'reader')
    states = {drain['drain_id']: drain['state'] for drain in drains}
    assert states['d1'] == state
