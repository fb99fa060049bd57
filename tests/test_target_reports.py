"""A target with a queue, and a zone whose instances seldom meet it."""

import asyncio
from types import SimpleNamespace

import pytest

from currantspur.decisions.affinity import rendezvous_weight
from currantspur.decisions.target_reports import (
    MAX_REPORTS,
    ReportCollector,
    apply_report,
)
from currantspur.messages import (
    Heartbeat,
    PeerReports,
    TargetLoad,
    TargetRelease,
    TargetReport,
    Tick,
)
from currantspur.tasks.mailbox import Envelope
from currantspur.wire.heartbeats import decode_datagram, encode_heartbeat
from tests.test_dispatcher import ask, make_dispatcher
from tests.test_membership import make_instance, make_membership
from tests.test_placement import make_state

LOAD = TargetLoad(running=3, queued=9, slots=3)


def make_release(target, object_key, load):
    assignment = SimpleNamespace(
        target=SimpleNamespace(name=target),
        request=SimpleNamespace(object_key=object_key),
    )
    return TargetRelease(assignment=assignment, outcome='answered', load=load)


@pytest.mark.parametrize('count', [0, 1, MAX_REPORTS, MAX_REPORTS + 9])
def test_newest_reports_fit_into_a_heartbeat(count):
    collector = ReportCollector()
    for number in range(count):
        collector.record(make_release(f't{number}', '17', LOAD))
    reports = collector.take_reports()
    assert [report.target for report in reports] == [
        f't{number}' for number in range(max(0, count - MAX_REPORTS), count)
    ]
    assert not collector.take_reports()


def test_newest_response_of_object_is_reported():
    collector = ReportCollector()
    for queued in (0, 4):
        load = TargetLoad(running=3, queued=queued, slots=3)
        collector.record(make_release('t0', '17', load))
        collector.record(make_release('t0', '18', load))
    found = [
        (report.object_key, report.in_flight)
        for report in collector.take_reports()
    ]
    assert found == [('17', 6), ('18', 6)]


@pytest.mark.parametrize(
    ('own', 'others', 'reported', 'in_flight'),
    [
        (0, 0, 7, 7),
        (2, 0, 7, 7),
        # An older and lower report does not hide what was seen here.
        (0, 5, 3, 5),
        (4, 0, 3, 4),
    ],
)
def test_report_raises_the_load(own, others, reported, in_flight):
    state = make_state('n1').states_by_service['s'][0]
    state.own_in_flight = own
    state.others_in_flight = others
    report = TargetReport(target='t0', object_key='17', in_flight=reported)
    apply_report(state, report, 0.0)
    assert state.in_flight(0.0) == in_flight
    assert '17' in state.warm_keys


async def release_and_report(dispatcher, assignment, outcome, load):
    """Return what the instance reports of an attempt."""
    dispatcher.handle_message(
        TargetRelease(assignment=assignment, outcome=outcome, load=load)
    )
    reply = asyncio.get_running_loop().create_future()
    dispatcher.receive([Envelope(Tick(), reply)])
    return (await reply).target_reports


@pytest.mark.parametrize(
    ('outcome', 'load', 'is_reported'),
    [
        ('answered', LOAD, True),
        ('answered', None, False),
        # Rejections and failures do not tell the length of the queue.
        ('erred', LOAD, False),
        ('shed', None, False),
        ('late', None, False),
    ],
)
async def test_responses_with_load_are_reported(outcome, load, is_reported):
    dispatcher = make_dispatcher('n1')
    assignment = await ask(dispatcher, object_key='17')
    reports = await release_and_report(dispatcher, assignment, outcome, load)
    assert bool(reports) is is_reported


async def test_queue_seen_by_one_is_avoided_by_all():
    zone = [make_dispatcher('n1', 'n1') for _ in range(20)]
    first = await ask(zone[0], object_key='17')
    reports = await release_and_report(zone[0], first, 'answered', LOAD)
    for dispatcher in zone[1:]:
        dispatcher.handle_message(PeerReports(reports))
        chosen = await ask(dispatcher, object_key='17')
        assert chosen.target.name != first.target.name


@pytest.mark.parametrize(
    'reports',
    [
        [],
        [
            {'target': 't1', 'object_key': '17', 'in_flight': 9},
            {'target': 't2', 'object_key': None, 'in_flight': 0},
        ],
    ],
)
def test_reports_travel_in_heartbeats(reports):
    heartbeat = Heartbeat(
        instance=make_instance('i', 'n'),
        incarnation=1,
        sequence_number=1,
    )
    heartbeat.target_reports = tuple(TargetReport(**each) for each in reports)
    decoded = decode_datagram(encode_heartbeat(heartbeat))
    assert decoded.target_reports == heartbeat.target_reports


@pytest.mark.parametrize(('teams', 'is_sent'), [(9, True), (140, False)])
def test_rates_of_teams_go_before_reports(teams, is_sent):
    rates = {
        f'{rendezvous_weight("team", str(number)):016x}'[:8]: 1.1 * number
        for number in range(teams)
    }
    heartbeat = Heartbeat(
        instance=make_instance('i', 'n'),
        incarnation=1,
        sequence_number=1,
        requests_per_s_by_team=rates,
        target_reports=tuple(
            TargetReport(
                target=f'{rendezvous_weight("i", str(number)):016x}',
                object_key=f'{number * 31}',
                in_flight=number % 9,
            )
            for number in range(MAX_REPORTS)
        ),
    )
    decoded = decode_datagram(encode_heartbeat(heartbeat))
    assert len(decoded.requests_per_s_by_team) == teams - 1
    assert bool(decoded.target_reports) is is_sent


@pytest.mark.parametrize(('peers', 'is_sent'), [(3, False), (20, True)])
def test_only_large_fleets_send_reports(peers, is_sent):
    sent = []
    membership = make_membership([])
    membership.heartbeat_port.send = lambda message, _: sent.append(
        getattr(message, 'target_reports', ())
    )
    membership.membership_table.listed_instances = tuple(
        make_instance(f'peer-{number}', 'n') for number in range(peers)
    )
    report = TargetReport(target='t1', object_key='17', in_flight=0)
    membership.membership_table.own_heartbeat.target_reports = (report,)
    for _ in range(2):
        membership._send_heartbeat()
    assert sum(bool(reports) for reports in sent) == int(is_sent)
