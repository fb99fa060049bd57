"""Targets that reject everything; each instance of many seldom meets them."""

import asyncio

import pytest

from currantspur.decisions.rejections import FIRST_PAUSE_S
from currantspur.decisions.target_reports import (
    MAX_REPORTS,
    ReportCollector,
    apply_report,
)
from currantspur.messages import (
    Heartbeat,
    PeerReports,
    TargetRelease,
    TargetReport,
    Tick,
)
from currantspur.tasks.mailbox import Envelope
from currantspur.wire.heartbeats import decode_datagram, encode_heartbeat
from tests.test_dispatcher import ask, make_dispatcher
from tests.test_membership import make_instance, make_membership
from tests.test_placement import make_state


def make_states(count):
    return make_state(*('n1' for _ in range(count))).states_by_service['s']


@pytest.mark.parametrize(
    ('outcomes', 'reported'),
    [
        ([], []),
        (['answered', 'late', 'failed'], []),
        (['shed'], [(0, 1)]),
        (['shed', 'shed', 'shed'], [(0, 3)]),
        # A response counts once rejections came before.
        (['answered', 'shed', 'answered'], [(1, 1)]),
        (['shed', 'late'], [(0, 1)]),
    ],
)
def test_rejections_are_reported_once(outcomes, reported):
    collector = ReportCollector()
    state = make_states(1)[0]
    for outcome in outcomes:
        collector.record(state, outcome)
        if outcome == 'shed':
            state.record_rejection(1.0)
    reports = collector.take_reports()
    found = [(report.answers, report.rejections) for report in reports]
    assert found == reported
    assert not collector.take_reports()


def test_newest_reports_fit_into_a_heartbeat():
    collector = ReportCollector()
    for state in make_states(MAX_REPORTS + 9):
        collector.record(state, 'shed')
    reports = collector.take_reports()
    assert [report.target for report in reports] == [
        f't{number}' for number in range(9, MAX_REPORTS + 9)
    ]


@pytest.mark.parametrize(
    ('answers', 'rejections', 'pause_s'),
    [
        (0, 0, 0.0),
        (0, 1, 0.0),
        (0, 2, FIRST_PAUSE_S),
        (0, 9, FIRST_PAUSE_S),
        # A target that also responds is only busy.
        (1, 9, 0.0),
    ],
)
def test_reported_target_is_paused(answers, rejections, pause_s):
    state = make_states(1)[0]
    report = TargetReport(target='t0', answers=answers, rejections=rejections)
    apply_report(state, report, 1.0)
    assert state.rejections.pause_left_s(1.0) == pytest.approx(pause_s)


async def test_rejections_of_two_pause_target_for_all():
    zone = [make_dispatcher('n1', 'n1') for _ in range(20)]
    rejecting = (await ask(zone[0], object_key='17')).target.name
    for reporter in zone[:2]:
        # An attempt that the target rejected.
        assignment = await ask(reporter, object_key='17')
        reporter.handle_message(
            TargetRelease(assignment=assignment, outcome='shed')
        )
        reply = asyncio.get_running_loop().create_future()
        reporter.receive([Envelope(Tick(), reply)])
        reports = PeerReports((await reply).target_reports)
        for dispatcher in zone:
            if dispatcher is not reporter:
                dispatcher.handle_message(reports)
    for dispatcher in zone:
        chosen = await ask(dispatcher, object_key='17')
        assert chosen.target.name != rejecting


@pytest.mark.parametrize(
    'reports',
    [
        [],
        [
            {'target': 't1', 'answers': 2, 'rejections': 9},
            {'target': 't2', 'answers': 0, 'rejections': 1},
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
    report = TargetReport(target='t1', rejections=1)
    membership.membership_table.own_heartbeat.target_reports = (report,)
    for _ in range(2):
        membership._send_heartbeat()
    assert sum(bool(reports) for reports in sent) == int(is_sent)
