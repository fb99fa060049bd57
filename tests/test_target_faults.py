import asyncio
from hashlib import sha256

import orjson
import pytest
from aiohttp import ClientError, web

from tests.carrying import SECRET, open_site

CUT = 'cut'
ANSWERED = 200
LARGE = bytes(range(256)) * 8192
SHORT = {'X-Request-Timeout-Ms': '600'}
UNKNOWN = 'outcome_unknown'


async def see(site, path, **options):
    try:
        response, body = await site.call(path, **options)
    except ClientError:
        return CUT
    if response.status == ANSWERED:
        return ANSWERED
    error = orjson.loads(body)['error']
    assert response.headers['X-Not-Run'] == str(error['not_run']).lower()
    return error['code'], error['not_run']


@pytest.mark.parametrize(
    ('fault', 'path', 'seen', 'runs'),
    [
        (None, '/read', ANSWERED, 1),
        ('slow', '/read', ANSWERED, 1),
        ('stream', '/read', ANSWERED, 1),
        ('shed', '/read', ('target_failed', True), 0),
        ('reset_before_head', '/read', (UNKNOWN, False), 2),
        ('reset_after_head', '/read', CUT, 1),
        ('reset_mid_body', '/read', CUT, 1),
        ('half_answer', '/read', CUT, 1),
        ('half_short_answer', '/read', (UNKNOWN, False), 1),
        ('wrong_id', '/read', (UNKNOWN, False), 2),
        (None, '/submit', ANSWERED, 1),
        ('slow', '/submit', ANSWERED, 1),
        ('stream', '/submit', ANSWERED, 1),
        ('shed', '/submit', ('target_failed', True), 0),
        ('reset_before_head', '/submit', (UNKNOWN, False), 1),
        ('reset_after_head', '/submit', CUT, 1),
        ('reset_mid_body', '/submit', CUT, 1),
        ('half_answer', '/submit', CUT, 1),
        ('half_short_answer', '/submit', (UNKNOWN, False), 1),
        ('wrong_id', '/submit', (UNKNOWN, False), 1),
    ],
)
@pytest.mark.parametrize('method', ['GET', 'POST', 'PUT'])
async def test_what_a_fault_shows(fault, path, method, seen, runs):
    async with open_site(targets=2) as site:
        # Warm connections: a reset of a kept one must not be sent again.
        await site.call(path)
        await site.call(path)
        found = await see(site, path, fault=fault, method=method, key='k-1')
        assert (found, site.runs('k-1')) == (seen, runs)


@pytest.mark.parametrize(
    ('fault', 'path', 'seen', 'runs'),
    [
        ('slow', '/read', (UNKNOWN, False), 1),
        ('deaf', '/read', (UNKNOWN, False), 1),
        ('slow', '/submit', (UNKNOWN, False), 1),
        ('deaf', '/submit', (UNKNOWN, False), 1),
    ],
)
async def test_late_answers_stay_apart(fault, path, seen, runs):
    async with open_site(targets=1, slots=1) as site:
        found = await see(site, path, fault=fault, key='late', headers=SHORT)
        assert (found, site.runs('late')) == (seen, runs)
        for index in range(8):
            request_id = f'next-{index}'
            _, body = await site.call(
                f'/read/{index}', headers={'X-Request-Id': request_id}
            )
            answer = orjson.loads(body)
            assert answer['request_id'] == request_id
            assert answer['path'] == f'/read/{index}'


@pytest.mark.parametrize(
    ('fault', 'path', 'seen', 'runs'),
    [
        ('shed', '/read', ANSWERED, 1),
        ('shed', '/submit', ANSWERED, 1),
        ('reset_before_head', '/read', ANSWERED, 2),
        ('reset_before_head', '/submit', (UNKNOWN, False), 1),
        ('wrong_id', '/read', ANSWERED, 2),
        ('reset_mid_body', '/read', CUT, 1),
    ],
)
@pytest.mark.parametrize('size', [0, 20_000])
async def test_one_broken_target_of_two(fault, path, seen, runs, size):
    async with open_site(targets=2) as site:
        site.targets[0].fault = fault
        sent = bytes(size)
        found = await see(site, path, method='POST', data=sent, key='k')
        assert (found, site.runs('k')) == (seen, runs)


@pytest.mark.parametrize('method', ['GET', 'HEAD', 'DELETE', 'PATCH'])
async def test_answers_keep_their_form(method):
    async with open_site(targets=1) as site:
        response, body = await site.call(
            '/read', method=method, headers={'X-Request-Id': 'mine'}
        )
        assert response.headers['X-Request-Id'] == 'mine'
        assert response.content_type == 'application/json'
        length = int(response.headers['Content-Length'])
        assert len(body) == length or method == 'HEAD'
        assert length > 0


@pytest.mark.parametrize('path', ['/read', '/submit'])
async def test_nobody_listens(path):
    async with open_site(targets=1) as site:
        target = site.entries[0].configuration.targets[0]
        target.address = '127.0.0.1:1'
        found = await see(site, path, method='POST', key='k')
        assert found == ('target_failed', True)


async def pieces(body, size):
    for start in range(0, len(body), size):
        yield body[start : start + size]


@pytest.mark.parametrize('size', [1_000, 70_000])
@pytest.mark.parametrize('path', ['/read', '/submit'])
async def test_streamed_bodies_arrive_whole(size, path):
    async with open_site(targets=1) as site:
        _, body = await site.call(
            path, method='POST', data=pieces(LARGE, size), key='k'
        )
        assert orjson.loads(body)['digest'] == sha256(LARGE).hexdigest()


async def cut_body():
    yield bytes(100_000)
    raise ConnectionResetError


async def test_a_cut_upload_never_runs_as_a_shorter_one():
    async with open_site(targets=1) as site:
        for key in ('a', 'b', 'c', 'd'):
            with pytest.raises(ClientError):
                await site.call(
                    '/submit', method='POST', data=cut_body(), key=key
                )
        assert not site.targets[0].runs
        ejector = site.entries[0].pool.table.ejector
        assert not ejector.conducts
        response, _ = await site.call('/read')
        assert response.status == ANSWERED


async def test_a_caller_that_leaves_frees_its_slot():
    async with open_site(targets=1, slots=1) as site:
        calls = [
            asyncio.create_task(
                site.call('/read', fault='slow', key=f'k-{one}')
            )
            for one in range(5)
        ]
        await asyncio.sleep(0.1)
        for call in calls:
            call.cancel()
        await asyncio.gather(*calls, return_exceptions=True)
        response, _ = await site.call('/read', key='after', headers=SHORT)
        assert response.status == ANSWERED
        assert sum(site.targets[0].runs.values()) == 2
        assert site.targets[0].most_running <= 2


async def test_slots_are_never_exceeded():
    async with open_site(targets=2, slots=3, delay_s=0.01) as site:
        answers = await asyncio.gather(
            *[site.call('/read', key=f'k-{one}') for one in range(60)]
        )
        assert {response.status for response, _ in answers} == {ANSWERED}
        assert max(target.most_running for target in site.targets) == 3


WRITTEN = 64 * 1024 * 1024
HELD = WRITTEN // 2


class Spout:
    """Write much, and count what was taken."""

    def __init__(self):
        self.written = 0

    def application(self):
        application = web.Application()
        application.router.add_route('*', '/{path:.*}', self.run)
        return application

    async def run(self, request):
        response = web.StreamResponse()
        await response.prepare(request)
        while self.written < WRITTEN:
            await response.write(LARGE)
            self.written += len(LARGE)
        return response


async def test_slow_callers_hold_their_target_back():
    async with open_site(targets=1) as site:
        spout = Spout()
        target = site.entries[0].configuration.targets[0]
        target.address = await site.serve(spout.application())
        url = f'{site.entries[0].url}/read'
        headers = {'Authorization': f'Bearer {SECRET}'}
        async with site.session.get(url, headers=headers) as response:
            await response.content.readany()
            await asyncio.sleep(0.5)
            assert spout.written < HELD
