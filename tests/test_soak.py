import asyncio
import signal

import pytest

from currantspur.settings.document import split_address
from currantspur.soak import run_seed
from currantspur.soak.faults import BEHAVIOURS
from currantspur.soak.invariants import CallRecord, check_invariants
from currantspur.soak.proxy import Proxy
from currantspur.soak.run import Soak
from currantspur.standins.behaviours import HEALTHY, RESPONSE_BODY, Unframed
from currantspur.standins.fleet import find_free_address
from currantspur.standins.target import TargetStandin

# Seeds that failed once stay in this list, each with its cause.
# 12: the proxy turned a reset by a target into a regular close, so that a
# truncated response without Content-Length looked complete.
SEEDS = (1, 12)
SECONDS = 4.0


@pytest.mark.parametrize('seed', SEEDS)
async def test_random_faults_violate_no_invariant(seed):
    assert await run_seed(seed, seconds=SECONDS) == []


async def end_one_process(soak, _random):
    process = soak.processes[0]
    process.send_signal(signal.SIGKILL)
    await process.process.wait()
    soak.is_stopping = True


# Guards against a process that ends under input from outside, and is not seen
# to: it is started again before the fleet is checked.
async def test_ended_process_is_a_violation(monkeypatch):
    monkeypatch.setattr(Soak, 'inject_faults', end_one_process)
    violations = await run_seed(1, seconds=0.1)
    assert {each.invariant for each in violations} == {
        'a process ended by itself'
    }


# Guards against a stand-in that answers what it did not run, which looked like
# a fault of the instances: its queue was full (seed 1027, with bursts).
@pytest.mark.parametrize('behaviour', [HEALTHY, *BEHAVIOURS])
async def test_full_target_answers_nothing_with_success(behaviour):
    target = TargetStandin(
        name='t', address=find_free_address(), slots=0, behaviour=behaviour
    )
    await target.start()
    reader, writer = await asyncio.open_connection(
        *split_address(target.address)
    )
    writer.write(b'GET / HTTP/1.1\r\nX-Request-Id: r\r\n\r\n')
    assert (await reader.readline()).split()[1] == b'503'
    writer.close()
    await target.close()
    assert not target.executed_request_ids


def make_target(*executed_request_ids):
    target = TargetStandin(name='t', address='127.0.0.1:1')
    target.executed_request_ids.extend(executed_request_ids)
    return target


@pytest.mark.parametrize(
    ('status', 'is_non_idempotent', 'changes', 'executed', 'violations'),
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
def test_check_invariants_reports_each_violation(
    status, is_non_idempotent, changes, executed, violations
):
    record = CallRecord(
        **{
            'request_id': 'r',
            'is_non_idempotent': is_non_idempotent,
            'status': status,
            'body': RESPONSE_BODY,
            'response_request_id': 'r',
            **changes,
        }
    )
    found = check_invariants([record], [make_target(*executed)])
    assert [one.invariant for one in found] == violations


@pytest.mark.parametrize('is_reset', [True, False])
async def test_proxy_ends_connection_as_the_target_does(is_reset):
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
        response = await reader.read()
    except ConnectionResetError:
        assert is_reset
    else:
        assert not is_reset
        assert response.endswith(RESPONSE_BODY)
    await proxy.close()
    await target.close()
