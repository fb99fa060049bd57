import asyncio

import pytest

from currantspur.settings.document import split_address
from currantspur.soak import run_seed
from currantspur.soak.invariants import CallRecord, check_invariants
from currantspur.soak.proxy import Proxy
from currantspur.standins.fleet import find_free_address
from currantspur.standins.target import BODY, TargetStandin, Unframed

# Seeds that ever failed stay here, each with a line on its cause.
# 12: the proxy turned a target's reset into an end, so that an answer without
# a length looked whole.
SEEDS = (1, 12)
SECONDS = 4.0


@pytest.mark.parametrize('seed', SEEDS)
async def test_promises_hold_under_faults(seed):
    assert await run_seed(seed, seconds=SECONDS) == []


def make_target(*ran):
    target = TargetStandin(name='t', address='127.0.0.1:1')
    target.executed_request_ids.extend(ran)
    return target


@pytest.mark.parametrize(
    ('status', 'is_once', 'more', 'ran', 'promises'),
    [
        (200, True, {}, ['r'], []),
        (0, True, {}, ['r'], []),
        (503, True, {}, [], []),
        (200, False, {}, ['r', 'r'], []),
        (200, True, {}, ['r', 'r'], ['work done once ran more often']),
        (503, True, {}, ['r'], ['what was said not to have run did']),
        (200, True, {}, [], ['an answer without a run']),
        (200, True, {'body': b'the'}, ['r'], ['an answer that is not whole']),
        (
            200,
            True,
            {'response_request_id': 'q'},
            ['r'],
            ['an answer to another request'],
        ),
    ],
)
def test_the_checks_find_what_is_broken(status, is_once, more, ran, promises):
    seen = CallRecord(
        **{
            'request_id': 'r',
            'is_non_idempotent': is_once,
            'status': status,
            'body': BODY,
            'response_request_id': 'r',
            **more,
        }
    )
    found = check_invariants([seen], [make_target(*ran)])
    assert [one.invariant for one in found] == promises


@pytest.mark.parametrize('is_reset', [True, False])
async def test_a_proxy_passes_a_reset_on(is_reset):
    target = TargetStandin(
        name='t',
        address=find_free_address(),
        behaviour=Unframed(is_reset=is_reset),
    )
    proxy = Proxy(address=find_free_address(), upstream_address=target.address)
    await target.start()
    await proxy.start()
    reader, writer = await asyncio.open_connection(
        *split_address(proxy.address)
    )
    writer.write(b'GET / HTTP/1.1\r\nX-Request-Id: r\r\n\r\n')
    try:
        answer = await reader.read()
    except ConnectionResetError:
        assert is_reset
    else:
        assert not is_reset
        assert answer.endswith(BODY)
    await proxy.close()
    await target.close()
