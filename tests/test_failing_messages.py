"""A message that a task cannot handle fails alone in its batch."""

import asyncio
from random import Random

import pytest

from currantspur.errors import MailboxFullError, TaskFailedError
from currantspur.messages import (
    Assignment,
    IncomingRequest,
    PlacementRequest,
    RequestContext,
    ServiceLoad,
    TargetRelease,
    TeamDemand,
    Tick,
)
from currantspur.tasks.mailbox import Envelope, Mailbox
from currantspur.tasks.membership import HEARTBEAT_INTERVAL_S
from currantspur.tasks.startup_hold import STARTUP_HOLD_S
from tests.test_admission import make_task
from tests.test_dispatcher import ROUTE, ask, make_dispatcher
from tests.test_membership import make_membership

# No caller's key gets there, as the admission refuses it: it stands for any
# error in the choice of a target.
ODD_KEY = '\udcff'


def send_batch(task, messages):
    """Return the types of the replies, or of the errors in their place."""
    loop = asyncio.get_running_loop()
    envelopes = [
        Envelope(message, loop.create_future()) for message in messages
    ]
    task.receive(envelopes)
    replies = [envelope.reply_future for envelope in envelopes]
    return [type(reply.exception() or reply.result()) for reply in replies]


def make_placement_request(**options):
    return PlacementRequest(
        request_id='x', route=ROUTE, service='s', deadline=9.0, **options
    )


# Guards against the loss of a whole batch: requests of other callers, the
# release of a target, which then seems full, and the load of a heartbeat.
@pytest.mark.parametrize('position', [0, 1, 2, 3])
async def test_odd_placement_request_fails_alone(position):
    dispatcher = make_dispatcher('n1', 'n1')
    dispatcher.clock.at += STARTUP_HOLD_S
    assignment = await ask(dispatcher)
    messages = [
        make_placement_request(object_key='1'),
        Tick(),
        TargetRelease(assignment=assignment, outcome='answered'),
    ]
    messages.insert(position, make_placement_request(object_key=ODD_KEY))
    replies = send_batch(dispatcher, messages)
    assert replies.pop(position) is TaskFailedError
    assert replies == [Assignment, ServiceLoad, type(None)]
    in_flight = [
        state.own_in_flight for state in dispatcher.target_states.values()
    ]
    assert sum(in_flight) == 1


def make_incoming(**options):
    return IncomingRequest(
        **{
            'request_id': 'r',
            'received_at': 0.0,
            'method': 'GET',
            'host': 'h',
            'path': '/open/1',
            **options,
        }
    )


@pytest.mark.parametrize('position', [0, 1, 2])
async def test_odd_request_fails_alone(position):
    messages = [make_incoming(), Tick()]
    # No request lacks a host: it stands for any error of a check.
    messages.insert(position, make_incoming(host=None))
    replies = send_batch(make_task(), messages)
    assert replies.pop(position) is TaskFailedError
    assert replies == [RequestContext, TeamDemand]


class UnwellMailbox(Mailbox):
    """The mailbox of a task that cannot tell its load at first."""

    __slots__ = ('failures', 'reply')

    def __init__(self, reply, failures):
        super().__init__()
        self.reply = reply
        self.failures = failures

    async def ask(self, message):
        if self.failures:
            raise self.failures.pop(0)
        return self.reply


# Guards against the end of a process, whose heartbeats ended with an error of
# another task or while that task had too many messages.
@pytest.mark.parametrize('error', [MailboxFullError, TaskFailedError])
@pytest.mark.parametrize('failing', ['dispatcher', 'admission'])
async def test_heartbeats_outlast_errors_of_other_tasks(failing, error):
    membership = make_membership([])
    replies = {
        'dispatcher': ServiceLoad(busy_slots_by_service={}),
        'admission': TeamDemand(requests_per_s_by_team={}),
    }
    for name, reply in replies.items():
        failures = [error('x')] if name == failing else []
        setattr(membership, name, UnwellMailbox(reply, failures))
    heartbeats = asyncio.create_task(membership.send_heartbeats(Random(1)))
    for _ in range(2):
        await membership.clock.advance(2 * HEARTBEAT_INTERVAL_S)
    assert not heartbeats.done()
    received = [
        envelope.message for envelope in membership.mailbox.get_all_nowait()
    ]
    assert all(reply in received for reply in replies.values())
    heartbeats.cancel()
