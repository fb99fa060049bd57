from collections import Counter
from itertools import chain
from types import SimpleNamespace

import pytest

from currantspur.messages import Instance, ShutdownStarted, TeamDemand, Tick
from currantspur.tasks import Journal, Mailbox, Membership
from currantspur.tasks.membership import CROSS_REGION_HEARTBEAT_EVERY
from tests.test_admission import NullSink
from tests.virtual import VirtualClock


def make_instance(name, region):
    return Instance(
        name=name,
        availability_zone=f'{region}1',
        region=region,
        address=f'{name}:1',
        peer=f'{name}:2',
    )


def make_membership(sent):
    clock = VirtualClock()
    membership = Membership(
        own=make_instance('own', 'n'),
        incarnation=1,
        clock=clock,
        journal=Journal(sink=NullSink(), clock=clock),
        admission=Mailbox(),
        dispatcher=Mailbox(),
        subscribers=(),
        get_revisions=dict,
        on_peer_revisions=lambda revisions, at, peer: None,
        is_ready=lambda: True,
        on_view=lambda view: None,
    )
    membership.membership_table.listed_instances = (
        make_instance('near', 'n'),
        make_instance('far', 's'),
    )
    membership.heartbeat_port = SimpleNamespace(
        send=lambda _, to: sent.append(list(to))
    )
    return membership


class Lines(NullSink):
    """Keep the fields of log lines of one kind."""

    def __init__(self, kind):
        self.kind = kind
        self.lines = []

    def write(self, kind, fields):
        if kind == self.kind:
            self.lines.append(fields)


@pytest.mark.parametrize(
    ('is_ready', 'is_used'), [((False,), []), ((True, True), [True])]
)
def test_use_by_callers_is_logged_when_it_changes(is_ready, is_used):
    membership = make_membership([])
    sink = Lines('subset')
    membership.journal = Journal(sink=sink, clock=membership.clock)
    for ready in is_ready:
        membership.is_ready = lambda ready=ready: ready
        membership.handle_message(Tick())
    assert [line['is_used'] for line in sink.lines] == is_used


HEARTBEAT_COUNTS = [(1, 1), (3, 1), (4, 2), (30, 10)]


@pytest.mark.parametrize(
    ('heartbeats', 'cross_region_heartbeats'), HEARTBEAT_COUNTS
)
def test_other_regions_get_every_third_heartbeat(
    heartbeats, cross_region_heartbeats
):
    sent = []
    membership = make_membership(sent)
    for _ in range(heartbeats):
        membership.handle_message(TeamDemand(requests_per_s_by_team={}))
    count_by_address = Counter(chain.from_iterable(sent))
    assert count_by_address['near:2'] == heartbeats
    assert count_by_address['far:2'] == cross_region_heartbeats


@pytest.mark.parametrize(
    'heartbeats', range(1, CROSS_REGION_HEARTBEAT_EVERY + 1)
)
def test_shutdown_is_sent_to_all_regions_at_once(heartbeats):
    sent = []
    membership = make_membership(sent)
    for _ in range(heartbeats):
        membership.handle_message(TeamDemand(requests_per_s_by_team={}))
    membership.handle_message(ShutdownStarted())
    assert sent[-1] == ['near:2', 'far:2']


@pytest.mark.parametrize(
    ('demands', 'is_sent_to_other_region'),
    [
        # Small changes wait for the next heartbeat to all regions.
        ([10.0, 11.0, 12.0], [True, False, False]),
        ([10.0, 30.0, 31.0], [True, True, False]),
        # Measured demand of a team that sends many times its usual rate.
        ([4.0, 17.0, 23.5], [True, True, True]),
        ([30.0, 12.0, 3.0], [True, True, True]),
    ],
)
def test_large_demand_change_goes_to_all_regions(
    demands, is_sent_to_other_region
):
    sent = []
    membership = make_membership(sent)
    for demand in demands:
        membership.handle_message(
            TeamDemand(requests_per_s_by_team={'one': demand})
        )
    assert [
        'far:2' in addresses for addresses in sent
    ] == is_sent_to_other_region
