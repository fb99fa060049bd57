from types import SimpleNamespace

import pytest

from currantspur.messages import (
    Configuration,
    ConfigurationUpdate,
    FleetView,
    IncomingRequest,
    Team,
    Tick,
)
from currantspur.tasks import AdmissionTask, Journal
from tests.routes import make_route
from tests.virtual import VirtualClock


class NoSink:
    def write(self, kind, fields) -> None:
        """Take a line."""

    def count(self, kind, outcome) -> None:
        """Count nothing."""


CONFIGURATION = Configuration(
    version=7,
    routes=(
        make_route('keyed'),
        make_route('open', allows_anonymous=True),
        make_route('homed', home_regions=frozenset(('n', 's'))),
    ),
    teams=(
        Team(name='one', keys=('k1',), rate_per_s=100.0, burst=10.0),
        Team(
            name='far',
            keys=('k2', 'k3'),
            home_regions=frozenset(('s', 'e')),
        ),
        Team(name='lost', keys=('k4',), home_regions=frozenset(('w',))),
    ),
)


def make_task(configuration=CONFIGURATION) -> AdmissionTask:
    clock = VirtualClock()
    journal = Journal(sink=NoSink(), clock=clock)
    task = AdmissionTask(clock=clock, instance='own', journal=journal)
    if configuration:
        bring(task, configuration)
    return task


def bring(task, configuration) -> None:
    task.handle_message(
        ConfigurationUpdate(
            configuration=configuration, revision=1, read_at=0.0
        )
    )


def arrive(task, path='/keyed/1', **more):
    request = IncomingRequest(
        **{
            'request_id': 'x',
            'received_at': task.clock.now(),
            'method': 'GET',
            'host': 'h',
            'path': path,
            'api_key': 'k1',
            **more,
        }
    )
    found = []
    envelope = SimpleNamespace(message=request, set_reply=found.append)
    task.receive([envelope])
    assert found[0].request.api_key is None or found[0].refusal
    return found[0]


@pytest.mark.parametrize(
    ('path', 'more', 'code', 'team'),
    [
        ('/keyed/1', {}, None, 'one'),
        ('/keyed/1', {'api_key': 'k3'}, None, 'far'),
        ('/keyed/1', {'api_key': 'k9'}, 'key_unknown', None),
        ('/keyed/1', {'api_key': None}, 'key_unknown', None),
        ('/keyed/1', {'api_key': ''}, 'key_unknown', None),
        ('/open/1', {'api_key': None}, None, None),
        ('/open/1', {'api_key': 'k9'}, None, None),
        ('/none/1', {}, 'route_unknown', None),
        ('/keyed/1', {'host': 'other'}, 'route_unknown', None),
        ('/keyed/1', {'timeout_s': 0.0}, 'deadline_passed', None),
    ],
)
def test_who_is_admitted(path, more, code, team):
    context = arrive(make_task(), path, **more)
    assert getattr(context.refusal, 'code', None) == code
    assert context.team == team


@pytest.mark.parametrize(
    ('budget_s', 'deadline'), [(None, 2.0), (0.5, 0.5), (9.0, 2.0)]
)
def test_the_shortest_time_binds(budget_s, deadline):
    assert arrive(make_task(), timeout_s=budget_s).deadline == deadline


@pytest.mark.parametrize(
    ('path', 'key', 'homes'),
    [
        ('/keyed/1', 'k1', []),
        ('/keyed/1', 'k2', ['e', 's']),
        ('/homed/1', 'k1', ['n', 's']),
        ('/homed/1', 'k2', ['s']),
        # No region is home to both: it runs nowhere.
        ('/homed/1', 'k4', ['']),
    ],
)
def test_homes_of_route_and_team_both_bind(path, key, homes):
    assert sorted(arrive(make_task(), path, api_key=key).home_regions) == homes


def test_nothing_is_admitted_without_a_version():
    refusal = arrive(make_task(None)).refusal
    assert (refusal.code, refusal.not_run) == ('not_ready', True)
    assert refusal.retry_after_s > 0


def test_a_version_never_goes_back():
    task = make_task()
    older = Configuration(version=6)
    bring(task, older)
    assert arrive(task).refusal is None
    bring(task, Configuration(version=8))
    assert arrive(task).refusal.code == 'route_unknown'


def test_a_withdrawn_key_ends_with_its_version():
    task = make_task()
    withdrawn = Configuration(
        version=8,
        routes=CONFIGURATION.routes,
        teams=(Team(name='far', keys=('k2',)),),
    )
    bring(task, withdrawn)
    assert arrive(task, api_key='k1').refusal.code == 'key_unknown'
    assert arrive(task, api_key='k3').refusal.code == 'key_unknown'
    assert arrive(task, api_key='k2').refusal is None


@pytest.mark.parametrize(
    ('demand', 'passed'),
    [
        # Alone: all of the rate, half a second of it at first.
        ({'own': {'one': 50.0}}, 10),
        # Shared by what is asked of each.
        ({'own': {'one': 50.0}, 'b': {'one': 150.0}}, 2),
    ],
)
def test_a_part_of_the_rate(demand, passed):
    task = make_task()
    view = FleetView(
        live_instances=(),
        fleet_size=len(demand),
        requests_per_s_by_instance=demand,
        computed_at=0.0,
    )
    task.handle_message(view)
    refusals = [arrive(task).refusal for _ in range(60)]
    assert refusals.count(None) == passed
    assert refusals[-1].code == 'rate_exceeded'
    assert refusals[-1].retry_after_s > 0


def test_demand_counts_what_is_refused_too():
    task = make_task()
    for _ in range(60):
        arrive(task)
    task.clock.at = 1.0
    assert task.handle_message(Tick()).requests_per_s_by_team == {'one': 30.0}
    task.clock.at = 2.0
    assert task.handle_message(Tick()).requests_per_s_by_team == {'one': 15.0}
