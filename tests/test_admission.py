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
from currantspur.tasks.startup_hold import STARTUP_HOLD_S
from tests.routes import make_route
from tests.virtual import VirtualClock


class NullSink:
    def write(self, kind, fields) -> None:
        """Drop a log line."""

    def count_outcome(self, kind, outcome) -> None:
        """Drop a count."""


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
    journal = Journal(sink=NullSink(), clock=clock)
    task = AdmissionTask(clock=clock, instance='own', journal=journal)
    if configuration:
        apply_configuration(task, configuration)
    return task


def apply_configuration(task, configuration) -> None:
    task.handle_message(
        ConfigurationUpdate(
            configuration=configuration, revision=1, read_at=0.0
        )
    )


def make_request(task, path='/keyed/1', **overrides):
    return IncomingRequest(
        **{
            'request_id': 'x',
            'received_at': task.clock.now(),
            'method': 'GET',
            'host': 'h',
            'path': path,
            'api_key': 'k1',
            **overrides,
        }
    )


def admit(task, path='/keyed/1', **overrides):
    request = make_request(task, path, **overrides)
    replies = []
    envelope = SimpleNamespace(
        message=request, set_reply=replies.append, is_awaited=True
    )
    task.receive([envelope])
    assert replies[0].request.api_key is None or replies[0].refusal
    return replies[0]


@pytest.mark.parametrize(
    ('path', 'overrides', 'code', 'team'),
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
def test_route_key_and_timeout_decide_admission(path, overrides, code, team):
    context = admit(make_task(), path, **overrides)
    assert getattr(context.refusal, 'code', None) == code
    assert context.team == team


@pytest.mark.parametrize(
    ('timeout_s', 'deadline'), [(None, 2.0), (0.5, 0.5), (9.0, 2.0)]
)
def test_shorter_timeout_sets_deadline(timeout_s, deadline):
    assert admit(make_task(), timeout_s=timeout_s).deadline == deadline


@pytest.mark.parametrize(
    ('path', 'key', 'home_regions'),
    [
        ('/keyed/1', 'k1', []),
        ('/keyed/1', 'k2', ['e', 's']),
        ('/homed/1', 'k1', ['n', 's']),
        ('/homed/1', 'k2', ['s']),
        # No region in common: the request may run nowhere.
        ('/homed/1', 'k4', ['']),
    ],
)
def test_home_regions_of_route_and_team_intersect(path, key, home_regions):
    assert (
        sorted(admit(make_task(), path, api_key=key).home_regions)
        == home_regions
    )


def test_without_configuration_request_is_refused():
    task = make_task(None)
    task.clock.at += STARTUP_HOLD_S
    refusal = admit(task).refusal
    assert (refusal.code, refusal.not_run) == ('not_ready', True)
    assert refusal.retry_after_s > 0


def test_older_configuration_version_is_ignored():
    task = make_task()
    older = Configuration(version=6)
    apply_configuration(task, older)
    assert admit(task).refusal is None
    apply_configuration(task, Configuration(version=8))
    assert admit(task).refusal.code == 'route_unknown'


def test_key_withdrawn_by_new_version_is_refused():
    task = make_task()
    withdrawn = Configuration(
        version=8,
        routes=CONFIGURATION.routes,
        teams=(Team(name='far', keys=('k2',)),),
    )
    apply_configuration(task, withdrawn)
    assert admit(task, api_key='k1').refusal.code == 'key_unknown'
    assert admit(task, api_key='k3').refusal.code == 'key_unknown'
    assert admit(task, api_key='k2').refusal is None


def withdraw_keys(*names, version=8):
    """Return a version in which teams with these names have no keys."""
    return Configuration(
        version=version,
        routes=CONFIGURATION.routes,
        teams=tuple(Team(name=name, rate_per_s=50.0) for name in names),
    )


# Guards against requests with any key that run, without a team, once no team
# has a key left.
@pytest.mark.parametrize('key', ['k1', 'k9', '', None])
@pytest.mark.parametrize('names', [('one',), ('one', 'far', 'lost')])
@pytest.mark.parametrize('is_restarted', [True, False])
def test_no_key_is_valid_while_teams_have_none(is_restarted, names, key):
    task = make_task(None if is_restarted else CONFIGURATION)
    apply_configuration(task, withdraw_keys(*names))
    assert admit(task, api_key=key).refusal.code == 'key_unknown'
    assert admit(task, '/open/1', api_key=key).refusal is None


def test_older_keys_stay_withdrawn_after_a_copy():
    task = make_task()
    apply_configuration(task, withdraw_keys('one'))
    apply_configuration(task, CONFIGURATION)
    assert admit(task).refusal.code == 'key_unknown'


@pytest.mark.parametrize('key', ['k1', None])
def test_configuration_without_teams_needs_no_key(key):
    task = make_task()
    apply_configuration(task, withdraw_keys())
    context = admit(task, api_key=key)
    assert (context.refusal, context.team) == (None, None)


@pytest.mark.parametrize(
    ('fleet_size', 'total_per_s', 'admitted_count'),
    [
        # Alone: half a second of the whole rate, but at most the burst.
        (1, 50.0, 10),
        # In proportion to the demand at each instance.
        (2, 200.0, 2),
    ],
)
def test_instance_admits_its_part_of_team_rate(
    fleet_size, total_per_s, admitted_count
):
    task = make_task()
    view = FleetView(
        live_instances=(),
        fleet_size=fleet_size,
        requests_per_s_by_team={'one': total_per_s},
        own_requests_per_s_by_team={'one': 50.0},
        computed_at=0.0,
    )
    task.handle_message(view)
    refusals = [admit(task).refusal for _ in range(60)]
    assert refusals.count(None) == admitted_count
    assert refusals[-1].code == 'rate_exceeded'
    assert refusals[-1].retry_after_s > 0


def test_refused_requests_count_in_team_demand():
    task = make_task()
    for _ in range(60):
        admit(task)
    task.clock.at = 1.0
    assert task.handle_message(Tick()).requests_per_s_by_team == {'one': 60.0}
    task.clock.at = 2.0
    assert task.handle_message(Tick()).requests_per_s_by_team == {'one': 30.0}
