"""What targets say of themselves, from the header to the decision."""

import asyncio
from itertools import count

import pytest

from currantspur.decisions.target_signals import (
    UNLISTED_RETENTION_S,
    SignalTable,
)
from currantspur.errors import TargetError
from currantspur.messages import (
    Assignment,
    Heartbeat,
    PeerReports,
    Refusal,
    ResponseStarted,
    Target,
    TargetRelease,
    TargetSignals,
    TargetsUpdate,
    Tick,
)
from currantspur.standins.fleet import wait_until
from currantspur.tasks import Journal
from currantspur.tasks.mailbox import Envelope
from currantspur.tasks.startup_hold import STARTUP_HOLD_S
from currantspur.wire.heartbeats import decode_datagram, encode_heartbeat
from tests.fleets import open_fleet, send_request
from tests.test_dispatcher import ask, make_dispatcher
from tests.test_membership import Lines, make_instance
from tests.test_target_answers import SHED, WHOLE, Playback, both_connections

LEAVING = TargetSignals(is_leaving=True)
LEAVING_LINE = b'Server-Leaving: 1\r\nContent-Length'


async def receive_signals(answer, *, is_single_use):
    """Return the signals of a response or of the error it leads to."""
    async with Playback(answer) as playback:
        try:
            parts = await playback.ask(is_single_use=is_single_use)
        except TargetError as error:
            return error.signals
    return parts[0].signals


@both_connections
@pytest.mark.parametrize(
    ('answer', 'signals'),
    [
        (WHOLE, TargetSignals()),
        (WHOLE.replace(b'Content-Length', LEAVING_LINE), LEAVING),
        (
            WHOLE.replace(
                b'Content-Length', LEAVING_LINE.replace(b'1', b'maybe')
            ),
            TargetSignals(),
        ),
        (SHED.replace(b'Content-Length', LEAVING_LINE), LEAVING),
        (
            SHED.replace(b'X-Not-Executed: 1\r\n', b'').replace(
                b'Content-Length', LEAVING_LINE
            ),
            LEAVING,
        ),
        *(
            (
                WHOLE.replace(
                    b'Content-Length',
                    b'Server-Limit: %b\r\nContent-Length' % text,
                ),
                TargetSignals(limit_per_s=limit),
            )
            for text, limit in (
                (b'7.2', 7.2),
                (b'0', 0.0),
                (b' 12 ', 12.0),
                (b'-1', None),
                (b'1e3', None),
                (b'nan', None),
                (b'1_0', None),
                (b'9' * 400, None),
                (b'.', None),
            )
        ),
        # Only a rejection with 503 asks for a pause.
        *(
            (
                SHED.replace(b'503', status).replace(
                    b'Content-Length',
                    b'Retry-After: %b\r\nContent-Length' % text,
                ),
                TargetSignals(retry_after_s=retry_after_s),
            )
            for status, text, retry_after_s in (
                (b'503', b'2', 2.0),
                (b'503', b'0.25', 0.25),
                (b'503', b'soon', None),
                (b'503', b'Sat, 05 Dec 2026 02:00:00 GMT', None),
                (b'429', b'2', None),
            )
        ),
        # Another target, or the answer to an earlier request.
        (
            SHED.replace(b'503', b'421').replace(
                b'Content-Length', LEAVING_LINE
            ),
            None,
        ),
        (
            WHOLE.replace(b'{id}', b'r-0').replace(
                b'Content-Length', LEAVING_LINE
            ),
            None,
        ),
    ],
)
async def test_signals_are_read_from_own_answers_only(
    answer, signals, is_single_use
):
    found = await receive_signals(answer, is_single_use=is_single_use)
    assert found == signals


@pytest.mark.parametrize('outcome', ['answered', 'erred', 'shed', 'failed'])
async def test_leaving_target_is_logged_once(outcome):
    dispatcher = make_dispatcher('n1')
    lines = Lines('target_leaving')
    dispatcher.signal_recorder.journal = Journal(
        sink=lines, clock=dispatcher.clock
    )
    assignments = [await ask(dispatcher) for _ in range(2)]
    for assignment in assignments:
        dispatcher.handle_message(
            TargetRelease(
                assignment=assignment, outcome=outcome, signals=LEAVING
            )
        )
    assert [
        (line['target'], line['source'], line['row_is_draining'])
        for line in lines.lines
    ] == [('t0', 'response', False)]


def list_targets(**overrides):
    """Return the rows of one target by name."""
    row = {
        'name': 't0',
        'service': 's',
        'address': '10.0.0.1:0',
        'availability_zone': 'n1',
        'slots': 3,
        'started_at_unix_ms': 5,
        **overrides,
    }
    return {'t0': Target(**row)}


def apply_rows(dispatcher, rows):
    dispatcher.targets_revision += 1
    dispatcher.handle_message(
        TargetsUpdate(
            targets_by_name=rows,
            revision=dispatcher.targets_revision,
            read_at=0.0,
        )
    )


async def hear_of_leaving(dispatcher, outcome='answered'):
    apply_rows(dispatcher, list_targets())
    dispatcher.handle_message(
        TargetRelease(
            assignment=await ask(dispatcher), outcome=outcome, signals=LEAVING
        )
    )


# Guards against requests to a target that said in a response that it leaves,
# while the store, which alone was asked, is out of reach.
@pytest.mark.parametrize(
    ('later_rows', 'is_used'),
    [
        ((), False),
        # The row that is known does not say so: it is read again.
        ((list_targets(),), False),
        # The row lapsed and an outdated source lists the target once more.
        (({}, list_targets()), False),
        # A restored copy of the store lists the start before.
        ((list_targets(started_at_unix_ms=4),), False),
        (
            (list_targets(started_at_unix_ms=4, address='10.0.0.2:0'),),
            False,
        ),
        # A new start under the same name or at another address.
        ((list_targets(started_at_unix_ms=6),), True),
        ((list_targets(address='10.0.0.2:0'),), True),
        (({}, list_targets(started_at_unix_ms=6)), True),
    ],
)
@pytest.mark.parametrize('outcome', ['answered', 'erred', 'shed', 'failed'])
async def test_leaving_target_gets_no_request(outcome, later_rows, is_used):
    dispatcher = make_dispatcher()
    await hear_of_leaving(dispatcher, outcome)
    for rows in later_rows:
        apply_rows(dispatcher, rows)
    dispatcher.clock.at += STARTUP_HOLD_S
    for later_s in (0.0, 2.6, 20.0):
        dispatcher.clock.at += later_s
        reply = await ask(dispatcher)
        assert isinstance(reply, Assignment) is is_used


async def test_leaving_target_makes_room_for_others():
    dispatcher = make_dispatcher('n1', 'n1')
    first = await ask(dispatcher, object_key='17')
    dispatcher.handle_message(
        TargetRelease(assignment=first, outcome='answered', signals=LEAVING)
    )
    second = await ask(dispatcher, object_key='17')
    assert second.target.name != first.target.name


async def take_notices(dispatcher):
    """Return what an instance tells its peers, after a datagram."""
    reply = asyncio.get_running_loop().create_future()
    dispatcher.receive([Envelope(Tick(), reply)])
    heartbeat = Heartbeat(
        instance=make_instance('i', 'n'),
        incarnation=1,
        sequence_number=1,
        target_notices=(await reply).target_notices,
    )
    return decode_datagram(encode_heartbeat(heartbeat)).target_notices


# Guards against an instance that learns of a leaving target only by sending
# to it, though a peer was told.
@pytest.mark.parametrize(
    ('peer_rows', 'is_used'),
    [
        (list_targets(), False),
        (list_targets(started_at_unix_ms=6), True),
        (list_targets(address='10.0.0.2:0'), True),
    ],
)
async def test_peers_learn_of_leaving_target(peer_rows, is_used):
    told, peer = make_dispatcher(), make_dispatcher()
    await hear_of_leaving(told)
    told.clock.at += 2.0
    lines = Lines('target_leaving')
    peer.signal_recorder.journal = Journal(sink=lines, clock=peer.clock)
    apply_rows(peer, peer_rows)
    peer.clock.at += STARTUP_HOLD_S
    notices = await take_notices(told)
    for _ in range(2):
        peer.handle_message(PeerReports(notices=notices, source='i'))
    assert isinstance(await ask(peer), Assignment) is is_used
    assert [(line['source'], line['age_s']) for line in lines.lines] == [
        ('i', 2.0)
    ]


@pytest.mark.parametrize(
    'rows', [{}, list_targets(is_draining=True)], ids=['gone', 'draining']
)
async def test_peers_learn_nothing_that_rows_say(rows):
    dispatcher = make_dispatcher()
    await hear_of_leaving(dispatcher)
    apply_rows(dispatcher, rows)
    assert not await take_notices(dispatcher)


async def test_notice_of_earlier_start_is_ignored():
    dispatcher, earlier = make_dispatcher(), make_dispatcher()
    await hear_of_leaving(dispatcher)
    apply_rows(earlier, list_targets(started_at_unix_ms=4))
    earlier.handle_message(
        TargetRelease(
            assignment=await ask(earlier), outcome='answered', signals=LEAVING
        )
    )
    notices = await take_notices(earlier)
    dispatcher.handle_message(PeerReports(notices=notices, source='i'))
    dispatcher.clock.at += STARTUP_HOLD_S
    assert isinstance(await ask(dispatcher), Refusal)


@pytest.mark.parametrize(
    ('unlisted_s', 'is_used'),
    [(UNLISTED_RETENTION_S, False), (UNLISTED_RETENTION_S + 1, True)],
)
async def test_signals_are_kept_while_unlisted(unlisted_s, is_used):
    dispatcher = make_dispatcher()
    await hear_of_leaving(dispatcher)
    dispatcher.clock.at += unlisted_s
    for rows in ({}, list_targets()):
        apply_rows(dispatcher, rows)
    assert isinstance(await ask(dispatcher), Assignment) is is_used


# Guards against a target that is never used again: the clock of its machine
# was set back, so that each later start seems to be an earlier one.
@pytest.mark.parametrize(
    ('listed_s', 'is_used'),
    [(UNLISTED_RETENTION_S, False), (UNLISTED_RETENTION_S + 1, True)],
)
async def test_earlier_start_counts_in_the_end(listed_s, is_used):
    dispatcher = make_dispatcher()
    await hear_of_leaving(dispatcher)
    dispatcher.clock.at += listed_s
    apply_rows(dispatcher, list_targets(started_at_unix_ms=4))
    dispatcher.clock.at += STARTUP_HOLD_S
    assert isinstance(await ask(dispatcher), Assignment) is is_used


# Guards against a response that is dropped as outdated, though the start that
# is known sent it: only the row of the target is of an earlier one.
@pytest.mark.parametrize(
    ('row', 'assigned_at', 'is_leaving'),
    [
        (list_targets(started_at_unix_ms=4), 2.0, True),
        # The start before may have sent it.
        (list_targets(started_at_unix_ms=4), 0.0, False),
        (
            list_targets(started_at_unix_ms=4, address='10.0.0.2:0'),
            2.0,
            False,
        ),
    ],
)
def test_response_under_an_earlier_row(row, assigned_at, is_leaving):
    known = list_targets()['t0']
    signals = SignalTable()
    signals.record_response(
        known, TargetSignals(limit_per_s=5.0), requested_at=0.5, at=1.0
    )
    signals.record_response(
        row['t0'], LEAVING, requested_at=assigned_at, at=3.0
    )
    assert signals.is_leaving(known) is is_leaving


async def send_numbered(session, daemon, number):
    """Send a request for an object of its own; return the status."""
    status, _, _ = await send_request(
        session,
        daemon,
        headers={'X-Request-Id': f'r-{number}', 'X-Affinity-Key': f'{number}'},
    )
    return status


# Guards against requests to a leaving target whose row nobody can read any
# more: one instance is told in a response, the other by a heartbeat.
async def test_leaving_target_is_left_without_the_store():
    async with open_fleet(zones=('north-1', 'north-2')) as (fleet, session):
        await fleet.store.close()
        leaving = fleet.targets['target-0']
        leaving.extra_headers = 'Server-Leaving: 1\r\n'
        told, peer = fleet.daemons.values()
        numbers = count()
        while not leaving.received:
            await send_numbered(session, told, next(numbers))
        signals = peer.dispatcher.placement_state.signals
        await wait_until(lambda: signals.record_by_name)
        for daemon in (told, peer):
            for _ in range(20):
                status = await send_numbered(session, daemon, next(numbers))
                assert status == 200
        assert len(leaving.received) == 1


# Each response as the times of its request and of its arrival, and its limit.
@pytest.mark.parametrize(
    ('responses', 'limit'),
    [
        ([(0, 1, 5.0)], 5.0),
        ([(0, 1, 5.0), (2, 3, 6.0)], 6.0),
        ([(0, 1, 5.0), (2, 3, None)], None),
        # Asked for before the target named a limit.
        ([(0, 2, 5.0), (1, 3, None)], 5.0),
        ([(0, 2, 5.0), (1, 3, None), (2.5, 3.5, None)], None),
        ([(0, 1, None)], None),
        ([(0, 1, 5.0), (2, 3, None), (4, 5, 5.0)], 5.0),
    ],
)
async def test_limit_follows_the_newest_request(responses, limit):
    dispatcher = make_dispatcher('n1')
    assignment = await ask(dispatcher)
    for assigned_at, arrives_at, named in responses:
        assignment.assigned_at = assigned_at
        dispatcher.clock.at = arrives_at
        dispatcher.handle_message(
            TargetRelease(
                assignment=assignment,
                outcome='answered',
                signals=TargetSignals(limit_per_s=named),
            )
        )
    signals = dispatcher.placement_state.signals
    assert signals.find_limit_per_s(assignment.target) == limit


@pytest.mark.parametrize(
    ('limits', 'logged'),
    [
        ((5.0,), [5.0]),
        ((5.0, 5.5, 6.5, 7.0), [5.0, 6.5]),
        ((5.0, None, 5.0), [5.0, None, 5.0]),
        ((0.0, 0.0), [0.0]),
    ],
)
async def test_limit_is_logged_when_it_changes(limits, logged):
    dispatcher = make_dispatcher('n1')
    lines = Lines('target_limit')
    dispatcher.signal_recorder.journal = Journal(
        sink=lines, clock=dispatcher.clock
    )
    assignment = await ask(dispatcher)
    for second, limit in enumerate(limits):
        dispatcher.clock.at = second
        assignment.assigned_at = second
        dispatcher.handle_message(
            TargetRelease(
                assignment=assignment,
                outcome='answered',
                signals=TargetSignals(limit_per_s=limit),
            )
        )
    assert [line['limit_per_s'] for line in lines.lines] == logged


# Guards against a target that is used on while it streams a response of which
# the head already said that it leaves.
async def test_head_of_a_stream_tells_at_once():
    dispatcher = make_dispatcher('n1')
    assignment = await ask(dispatcher)
    dispatcher.clock.at += STARTUP_HOLD_S
    dispatcher.handle_message(
        ResponseStarted(assignment=assignment, signals=LEAVING)
    )
    assert isinstance(await ask(dispatcher), Refusal)
    dispatcher.handle_message(
        TargetRelease(assignment=assignment, outcome='answered')
    )
    assert isinstance(await ask(dispatcher), Refusal)
