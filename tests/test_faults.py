import orjson
import pytest
from aiohttp.test_utils import TestClient, TestServer

from currantspur.errors import PlatformAwayError
from currantspur.messages import Instance
from currantspur.platform import ABSENT, Transaction
from currantspur.standins import PlatformStandin, open_memory_platform
from currantspur.standins.faults import Fault, FaultTable, wrap_platform
from currantspur.wire.platform_http import PlatformClient, open_platform
from tests.virtual import VirtualClock

WRITE = Transaction(conditions={'row': ABSENT}, writes={'row': 'text'})


@pytest.mark.parametrize(
    ('fault', 'party', 'raised', 'landed', 'passed_s'),
    [
        (Fault(kind='outage'), 'one', True, False, 0),
        (Fault(kind='outage', parties=['one']), 'one', True, False, 0),
        (Fault(kind='outage', parties=['one']), 'two', False, True, 0),
        (Fault(kind='outage', calls=['read']), 'one', False, True, 0),
        (Fault(kind='outage', count=0), 'one', False, True, 0),
        (Fault(kind='slow', seconds=3), 'one', False, True, 3),
        (Fault(kind='slow_answer', seconds=3), 'one', False, True, 3),
        (Fault(kind='lost_answer', count=1), 'one', True, True, 0),
    ],
)
async def test_fault_strikes(fault, party, raised, landed, passed_s):
    clock = VirtualClock()
    memory = open_memory_platform()
    seen = wrap_platform(memory, FaultTable(clock, [fault]), party=party)
    failed = False
    try:
        await clock.drive(seen.table.commit(WRITE))
    except PlatformAwayError:
        failed = True
    rows = await memory.table.read(['row'])
    assert (failed, 'row' in rows, clock.now()) == (raised, landed, passed_s)


@pytest.mark.parametrize(('lag_s', 'expected'), [(0, 2), (5, 1), (50, 0)])
async def test_list_lags(lag_s, expected):
    clock = VirtualClock()
    lag = Fault(kind='lagging', seconds=lag_s)
    faults = FaultTable(clock, [lag])
    seen = wrap_platform(open_memory_platform(), faults, party='one')
    for name in ('one', 'two'):
        await seen.instances.announce(
            Instance(name=name, address='', peer='', availability_zone='z')
        )
        await clock.drive(clock.sleep(4))
    assert len(await seen.instances.list()) == expected


async def test_faults_over_http():
    standin = PlatformStandin(open_memory_platform())
    async with TestClient(TestServer(standin.application())) as operator:
        cut = [{'kind': 'outage', 'parties': ['one']}]
        await operator.put('/-/faults', data=orjson.dumps(cut))
        answer = await operator.get('/-/faults')
        assert orjson.loads(await answer.read())[0]['parties'] == ['one']
        address = f'{operator.host}:{operator.port}'
        for caller, is_cut in (('one', True), ('two', False)):
            client = PlatformClient(address, caller=caller)
            table = open_platform(client).table
            if is_cut:
                with pytest.raises(PlatformAwayError):
                    await table.read(['row'])
            else:
                assert not await table.read(['row'])
            await client.close()
