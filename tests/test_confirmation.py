import asyncio

import orjson
import pytest

from currantspur.decisions.freshness import Freshness
from currantspur.decisions.identity import KeyRing, mint_key
from currantspur.messages import Arrival, Confirmation, Passage, Proof
from currantspur.pipelines import AdmissionState, assemble_confirmation
from tests.carrying import VERSION, open_site

ANSWERED = 200
_, KEPT = mint_key('team-1')


@pytest.mark.parametrize(
    ('at', 'key_id', 'keys', 'version', 'code'),
    [
        (11.0, KEPT.key_id, [KEPT], 3, None),
        (11.6, KEPT.key_id, [KEPT], 3, 'not_fresh'),
        (11.0, KEPT.key_id, [KEPT], 4, 'not_fresh'),
        (11.0, KEPT.key_id, [], 3, 'key_unknown'),
        (12.0, KEPT.key_id, [KEPT], 3, 'deadline_passed'),
        (11.9, None, [], 4, None),
        (12.0, None, [], 4, 'deadline_passed'),
    ],
)
def test_confirmation(at, key_id, keys, version, code):
    state = AdmissionState(freshness=Freshness(limit_s=1.5))
    state.version = version
    state.freshness.accept(Proof(version=3, proven_at=10.0))
    state.keys = KeyRing(keys)
    passage = Passage(
        arrival=Arrival(request_id='r', at=10, method='GET', path='/')
    )
    passage.key_id = key_id
    passage.deadline = 12.0
    asked = Confirmation(passage=passage, at=at)
    confirmed = next(assemble_confirmation(state).run([asked]))
    assert getattr(confirmed.refusal, 'code', None) == code


@pytest.mark.parametrize(
    ('path', 'loses', 'code'),
    [
        ('/submit', 'freshness', 'not_fresh'),
        ('/submit', 'key', 'key_unknown'),
        ('/read', 'freshness', 'not_fresh'),
        ('/read', 'key', 'key_unknown'),
    ],
)
async def test_what_a_wait_takes_away_is_not_run(path, loses, code):
    async with open_site(targets=1, slots=1) as site:
        state = site.entries[0].admission.state
        ring, proven_at = state.keys, state.freshness.proven_at
        site.targets[0].delay_s = 0.4
        first = asyncio.create_task(site.call('/read', key='a'))
        await asyncio.sleep(0.1)
        second = asyncio.create_task(site.call(path, method='POST', key='k'))
        await asyncio.sleep(0.1)
        if loses == 'key':
            state.keys = KeyRing([])
        else:
            state.freshness.proven_at = float('-inf')
        await first
        site.targets[0].delay_s = 0
        _, body = await second
        error = orjson.loads(body)['error']
        assert (error['code'], error['not_run']) == (code, True)
        assert site.runs('k') == 0
        state.keys = ring
        state.freshness.accept(Proof(version=VERSION, proven_at=proven_at))
        await asyncio.sleep(0.05)
        response, _ = await site.call(path, method='POST', key='k')
        assert (response.status, site.runs('k')) == (ANSWERED, 1)
