import asyncio

import pytest

from currantspur.messages import (
    Assignment,
    IncomingRequest,
    OutgoingRequest,
    Refusal,
    RequestContext,
    Target,
    TargetRelease,
)
from currantspur.tasks import BodySource, Journal, Mailbox, RequestForwarder
from tests.routes import make_route
from tests.test_admission import NoSink
from tests.virtual import VirtualClock

ARRIVAL = IncomingRequest(
    request_id='r-1', received_at=0.0, method='GET', host='h', path='/r/1'
)
OUTGOING = OutgoingRequest(
    request_id='r-1', method='GET', path='/r/1', headers=()
)


class Empty(BodySource):
    async def read(self, limit_bytes):
        return b''


def make_forwarder():
    clock = VirtualClock()
    return RequestForwarder(
        admission=Mailbox(),
        dispatcher=Mailbox(),
        targets=None,
        clock=clock,
        journal=Journal(sink=NoSink(), clock=clock),
    )


async def ask_for_a_target(forwarder):
    """Bring a request to where it waits for a target."""
    parts = forwarder.run(ARRIVAL, OUTGOING, Empty())
    running = asyncio.ensure_future(anext(parts))
    admitted = (await forwarder.admission.get_all())[0]
    context = RequestContext(request=ARRIVAL)
    context.route = make_route()
    context.deadline = 9.0
    admitted.set_reply(context)
    return running, (await forwarder.dispatcher.get_all())[0]


def assign(envelope):
    return Assignment(
        request=envelope.message,
        target=Target(
            name='t',
            service='s',
            address='10.0.0.1:1',
            availability_zone='z',
            slots=3,
        ),
        assigned_at=0.0,
        expected_s=0.1,
        is_warm=False,
        had_free_slot=True,
    )


@pytest.mark.parametrize(
    ('answer', 'released'),
    [
        (assign, 1),
        (lambda envelope: Refusal(code='no_room', detail='full'), 0),
        (None, 0),
    ],
)
async def test_who_leaves_gives_the_target_back(answer, released):
    forwarder = make_forwarder()
    running, envelope = await ask_for_a_target(forwarder)
    if answer is not None:
        envelope.set_reply(answer(envelope))
    running.cancel()
    with pytest.raises(asyncio.CancelledError):
        await running
    left = [each.message for each in forwarder.dispatcher.get_all_nowait()]
    assert len(left) == released
    assert all(isinstance(one, TargetRelease) for one in left)
