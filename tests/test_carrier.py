import asyncio

import pytest

from currantspur.messages import (
    Arrival,
    Assignment,
    Outgoing,
    Passage,
    Refusal,
    Target,
    TargetRelease,
)
from currantspur.tasks import BodySource, Carrier, Journal, Mailbox
from tests.routes import make_route
from tests.test_admission import NoSink
from tests.virtual import VirtualClock

ARRIVAL = Arrival(request_id='r-1', at=0.0, method='GET', host='h', path='/r/1')
OUTGOING = Outgoing(request_id='r-1', method='GET', path='/r/1', headers=())


class Empty(BodySource):
    async def read(self, limit_bytes):
        return b''


def make_carrier():
    clock = VirtualClock()
    return Carrier(
        admission=Mailbox(),
        dispatcher=Mailbox(),
        targets=None,
        clock=clock,
        journal=Journal(sink=NoSink(), clock=clock),
    )


async def ask_for_a_target(carrier):
    """Bring a request to where it waits for a target."""
    parts = carrier.run(ARRIVAL, OUTGOING, Empty())
    running = asyncio.ensure_future(anext(parts))
    admitted = (await carrier.admission.take())[0]
    passage = Passage(arrival=ARRIVAL)
    passage.route = make_route()
    passage.deadline = 9.0
    admitted.answer(passage)
    return running, (await carrier.dispatcher.take())[0]


def assign(letter):
    return Assignment(
        request=letter.message,
        target=Target(
            name='t',
            service='s',
            address='10.0.0.1:1',
            availability_zone='z',
            slots=3,
        ),
        taken_at=0.0,
        expected_s=0.1,
        is_warm=False,
        is_free=True,
    )


@pytest.mark.parametrize(
    ('answer', 'released'),
    [
        (assign, 1),
        (lambda letter: Refusal(code='no_room', detail='full'), 0),
        (None, 0),
    ],
)
async def test_who_leaves_gives_the_target_back(answer, released):
    carrier = make_carrier()
    running, letter = await ask_for_a_target(carrier)
    if answer is not None:
        letter.answer(answer(letter))
    running.cancel()
    with pytest.raises(asyncio.CancelledError):
        await running
    left = [each.message for each in carrier.dispatcher.drain()]
    assert len(left) == released
    assert all(isinstance(one, TargetRelease) for one in left)
