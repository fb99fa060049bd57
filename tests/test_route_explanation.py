"""Compare explanations with what the requests that follow get."""

import asyncio
import pickle
from random import Random

import orjson
import pytest

from currantspur.cli.route_text import format_route
from currantspur.decisions.topology import Topology
from currantspur.messages import (
    Assignment,
    Configuration,
    ConfigurationUpdate,
    EvacuationsUpdate,
    FleetView,
    IncomingRequest,
    PeerReports,
    Refusal,
    Service,
    Target,
    TargetLoad,
    TargetNotice,
    TargetRelease,
    TargetSignals,
    TargetsUpdate,
    Team,
    Tick,
    WeightedService,
)
from currantspur.messages.limits import FleetLimits
from currantspur.messages.revisions import make_revision
from currantspur.messages.route_explanations import (
    AdmissionQuery,
)
from currantspur.pipelines.placement_recorder import MAX_REJECTED_NAMES
from currantspur.pipelines.route_explanation import MAX_CANDIDATES
from currantspur.tasks import AdmissionTask, Dispatcher, Journal
from currantspur.tasks.mailbox import Envelope
from currantspur.tasks.route_explainer import RouteExplainer
from currantspur.wire.route_handler import encode_explanation
from tests.routes import make_route
from tests.test_admission import NullSink
from tests.virtual import VirtualClock

REGIONS = {'n1': 'n', 'n2': 'n', 's1': 's'}
KEYS = {'one': 'k1', 'slow': 'k2', 'west': 'k3'}
HALVES = (
    WeightedService(service='s', weight=2),
    WeightedService(service='big', weight=1),
)
CONFIGURATION = Configuration(
    version=3,
    routes=(
        make_route('keyed', priority=1),
        make_route('open', allows_anonymous=True, priority=2),
        make_route('object', has_affinity=True),
        make_route('split', weighted_services=HALVES, has_affinity=True),
        make_route('once', is_idempotent=False),
        make_route(
            'empty',
            weighted_services=(WeightedService(service='none', weight=1),),
        ),
    ),
    services=(
        Service(name='s', cold_start_s=2.0, cold_requests_per_s=2.0),
        Service(name='big', cold_start_s=2.0, cold_requests_per_s=2.0),
    ),
    teams=(
        Team(name='one', keys=('k1',), priority=0),
        Team(name='slow', keys=('k2',), rate_per_s=1.0, burst=2.0),
        Team(name='west', keys=('k3',), home_regions=frozenset(('w',))),
    ),
)


def make_targets(service, count, zones=('n1', 'n2', 's1'), **overrides):
    return {
        f'{service}{number}': Target(
            name=f'{service}{number}',
            service=service,
            address=f'10.0.0.1:{number}',
            availability_zone=zones[number % len(zones)],
            slots=3,
            **overrides,
        )
        for number in range(count)
    }


class Instance:
    """The admission task and the dispatcher of one instance."""

    def __init__(self, targets):
        self.clock = VirtualClock()
        self.ends_at = float('inf')
        journal = Journal(sink=NullSink(), clock=self.clock)
        self.admission = AdmissionTask(
            clock=self.clock, instance='own', journal=journal
        )
        self.dispatcher = Dispatcher(
            clock=self.clock,
            topology=Topology(availability_zone='n1', region_by_zone=REGIONS),
            limits=FleetLimits(),
            journal=journal,
            instance='own',
        )
        update = ConfigurationUpdate(
            configuration=CONFIGURATION, revision=1, read_at=0.0
        )
        self.admission.handle_message(update)
        self.dispatcher.handle_message(update)
        self.set_targets(targets, 1)

    def set_targets(self, targets, revision):
        self.dispatcher.handle_message(
            TargetsUpdate(
                targets_by_name=targets,
                revision=revision,
                read_at=self.clock.at,
            )
        )

    def freeze(self):
        """Return all state that a decision reads or changes, as bytes."""
        return pickle.dumps(
            (
                self.admission.state,
                self.admission.exceeded_teams,
                self.dispatcher.placement_state,
                self.dispatcher.target_states,
                self.dispatcher.retry_budgets,
                self.dispatcher.report_collector,
            )
        )

    def make_request(self, route, *, team=None, host='h', **overrides):
        return IncomingRequest(
            request_id='x',
            received_at=self.clock.at,
            method='GET',
            host=host,
            path=f'/{route}/1',
            api_key=KEYS.get(team),
            **overrides,
        )

    async def explain(self, route, *, team=None, **overrides):
        explainer = RouteExplainer(
            admission=AnsweringMailbox(self.admission),
            dispatcher=AnsweringMailbox(self.dispatcher),
            get_end=lambda: self.ends_at,
        )
        request = self.make_request(route, **overrides)
        return await explainer.explain(request, team)

    async def send(self, route, **overrides):
        """Return the context and the assignment or refusal of a request."""
        context = await AnsweringMailbox(self.admission).ask(
            self.make_request(route, **overrides)
        )
        if context.refusal is not None:
            return context, context.refusal
        explainer = RouteExplainer(
            admission=None, dispatcher=None, get_end=lambda: self.ends_at
        )
        query = explainer._make_query(context)
        return context, await AnsweringMailbox(self.dispatcher).ask(
            query.request
        )

    async def check(self, route, **overrides):
        """Explain a request without an effect, send it and compare both."""
        before = self.freeze()
        explanation = await self.explain(route, **overrides)
        assert self.freeze() == before
        context, reply = await self.send(route, **overrides)
        explained = explanation.admission.context
        assert (explained.service, explained.team, explained.deadline) == (
            context.service,
            context.team,
            context.deadline,
        )
        assert explained.home_regions == context.home_regions
        if isinstance(reply, Refusal):
            assert explanation.refusal == reply
        else:
            assert explanation.refusal is None
            first = explanation.placement.candidates[0]
            assert first.target == explanation.placement.target
            assert (first.target, first.expected_s, first.is_warm) == (
                reply.target.name,
                reply.expected_s,
                reply.is_warm,
            )
            assert first.cost_s == pytest.approx(sum(first.cost_terms.values()))
        return explanation, reply


class AnsweringMailbox:
    """Pass each message to the task at once."""

    def __init__(self, task):
        self.task = task

    async def ask(self, message):
        reply = asyncio.get_running_loop().create_future()
        self.task.receive([Envelope(message, reply)])
        return await reply


def fill(instance):
    for state in instance.dispatcher.target_states.values():
        state.update_load(TargetLoad(running=3, queued=99, slots=3), 0.0)


def limit(instance):
    notices = tuple(
        TargetNotice(
            target=f's{number}',
            started_at_unix_ms=0,
            address=f'10.0.0.1:{number}',
            signals=TargetSignals(is_leaving=number == 0, limit_per_s=0.5),
            age_s=0.0,
        )
        for number in range(3)
    )
    instance.dispatcher.handle_message(PeerReports(notices=notices, source='i'))


def evacuate(instance):
    instance.dispatcher.handle_message(
        EvacuationsUpdate(
            availability_zones=frozenset(('n1',)),
            revision=make_revision(era=1, version=1),
            read_at=0.0,
        )
    )


def drain(instance):
    targets = make_targets('s', 30, is_draining=True)
    instance.set_targets(targets, 2)


def cool(instance):
    instance.set_targets(make_targets('s', 3, cold_remaining_s=9.0), 2)


def stop(instance):
    instance.ends_at = 0.2


def do_nothing(_instance):
    """Leave the instance as it starts."""


OBJECT = {'team': 'one', 'object_key': '17'}


# Guards against an answer that is not what the request that follows gets, and
# against one that spends a token, a turn of the split or a place of the object.
@pytest.mark.parametrize(
    ('change', 'route', 'options', 'count', 'codes', 'left_out'),
    [
        (do_nothing, 'keyed', {'team': 'one'}, 3, {None}, set()),
        (do_nothing, 'open', {}, 1, {None}, set()),
        (do_nothing, 'once', {'team': 'one'}, 1, {None}, set()),
        (do_nothing, 'keyed', {}, 1, {'key_unknown'}, set()),
        (
            do_nothing,
            'keyed',
            {'team': 'slow'},
            3,
            {None, 'rate_exceeded'},
            set(),
        ),
        (do_nothing, 'none', {'team': 'one'}, 1, {'route_unknown'}, set()),
        (do_nothing, 'open', {'host': 'o'}, 1, {'route_unknown'}, set()),
        (do_nothing, 'open', {'timeout_s': 0}, 1, {'deadline_passed'}, set()),
        (do_nothing, 'object', OBJECT, 5, {None}, set()),
        (do_nothing, 'split', OBJECT, 7, {None}, set()),
        (
            do_nothing,
            'keyed',
            {'team': 'west'},
            1,
            {'no_target'},
            {'home_region'},
        ),
        (do_nothing, 'empty', {'team': 'one'}, 1, {'no_target'}, set()),
        (fill, 'open', {'timeout_s': 0.2}, 1, {'no_room'}, {'full'}),
        (fill, 'split', OBJECT, 3, {'no_room'}, {'full'}),
        (
            limit,
            'open',
            {},
            20,
            {None, 'no_room'},
            {'leaving', 'target_rate'},
        ),
        (evacuate, 'open', {}, 2, {None}, {'evacuated_zone'}),
        (drain, 'open', {}, 1, {'no_target'}, {'leaving'}),
        (stop, 'open', {}, 1, {'not_ready'}, {'deadline'}),
        (cool, 'open', {}, 20, {None, 'no_room'}, {'target_rate'}),
    ],
)
async def test_explanation_equals_next_reply(
    change, route, options, count, codes, left_out
):
    instance = Instance({**make_targets('s', 3), **make_targets('big', 60)})
    change(instance)
    found = set()
    filters = set()
    for _ in range(count):
        explanation, reply = await instance.check(route, **options)
        found.add(getattr(reply, 'code', None))
        filters.update(list_filters(explanation.placement))
        instance.clock.at += 0.05
    assert found == codes
    assert filters >= left_out


def list_filters(placement):
    for each in placement.passes if placement else ():
        for rejects in each.left_out:
            yield rejects.filter_name


# Guards against an answer that is right only just after a start.
@pytest.mark.parametrize('seed', range(4))
async def test_explanation_is_right_under_load(seed):
    random = Random(seed)
    instance = Instance(
        {**make_targets('s', 9), **make_targets('big', 60, ('n1', 's1', 's1'))}
    )
    running = []
    for step in range(300):
        instance.clock.at += random.expovariate(30)
        _, reply = await instance.check(
            random.choice(('keyed', 'object', 'split', 'split')),
            team=random.choice(('one', 'one', 'slow')),
            object_key=random.choice((None, '1', '2', '3', '4')),
            timeout_s=random.choice((None, 0.4)),
        )
        if isinstance(reply, Assignment):
            running.append(reply)
        if len(running) > random.randrange(30):
            finish(instance, running.pop(0), random)
        await change_state(instance, step, random)


async def change_state(instance, step, random):
    if step % 30 == 9:
        await tick(instance, random)
    if step == 100:
        limit(instance)
    if step == 200:
        targets = {**make_targets('s', 10), **make_targets('big', 62)}
        instance.set_targets(targets, step)


def finish(instance, assignment, random):
    outcome = random.choice(('answered', 'answered', 'shed', 'unreachable'))
    load = TargetLoad(running=random.randint(1, 3), queued=0, slots=3)
    instance.dispatcher.handle_message(
        TargetRelease(
            assignment=assignment,
            outcome=outcome,
            load=load if outcome == 'answered' else None,
        )
    )


async def tick(instance, random):
    for task in (instance.admission, instance.dispatcher):
        await AnsweringMailbox(task).ask(Tick())
        task.handle_message(
            FleetView(
                live_instances=(),
                fleet_size=3,
                computed_at=instance.clock.at,
                busy_slots_by_region={
                    'n': {'s': random.uniform(0, 30), 'big': 60.0},
                    's': {'s': 1.0, 'big': 9.0},
                },
            )
        )


# Guards against an answer that grows with the service.
@pytest.mark.parametrize(
    ('is_draining', 'compared', 'rejected'),
    [
        # A request without an object compares 36 of many targets.
        (False, (36, MAX_CANDIDATES), []),
        (True, (0, 0), [(36, MAX_REJECTED_NAMES), (90, MAX_REJECTED_NAMES)]),
    ],
)
async def test_answer_is_bounded(is_draining, compared, rejected):
    instance = Instance(make_targets('s', 90, is_draining=is_draining))
    placement = (await instance.explain('keyed', team='one')).placement
    assert compared == (placement.candidate_count, len(placement.candidates))
    rejects = [each for one in placement.passes for each in one.left_out]
    assert rejected == [(each.count, len(each.targets)) for each in rejects]


# Guards against an answer that ignores the shortlist of the object.
async def test_shortlist_of_the_object_is_used():
    instance = Instance(make_targets('s', 60))
    await instance.send('object', **OBJECT)
    shortlists = instance.dispatcher.placement_state.shortlists
    by_object = shortlists.by_service['s'].by_object
    by_object['17'] = by_object['17'][7:12]
    explanation, _ = await instance.check('object', **OBJECT)
    assert explanation.placement.passes[0].target_count == 5


@pytest.mark.parametrize(
    ('route', 'team', 'rank'),
    [
        ('keyed', 'one', 0),
        ('keyed', 'slow', 1),
        ('open', None, 2),
        ('open', 'one', 2),
        ('none', None, None),
    ],
)
async def test_rank_is_that_of_the_team_or_of_the_route(route, team, rank):
    instance = Instance(make_targets('s', 3))
    explanation = await instance.explain(route, team=team)
    assert explanation.admission.rank == rank


# Guards against questions that are held like requests, and so time out.
async def test_question_is_not_held():
    instance = Instance({})
    explanation = await instance.explain('open')
    assert explanation.placement.is_held
    assert explanation.refusal.code == 'no_target'
    empty = AdmissionTask(
        clock=instance.clock,
        instance='own',
        journal=instance.admission.journal,
    )
    admission = await AnsweringMailbox(empty).ask(
        AdmissionQuery(request=instance.make_request('open'), team='one')
    )
    assert admission.is_held
    assert admission.is_team_known
    assert admission.context.refusal.code == 'not_ready'


# Guards against a text that fails where targets are left out or refused.
@pytest.mark.parametrize(
    ('change', 'team', 'text'),
    [
        (drain, 'one', 'left out by leaving: 30 (s0, s1, s10,'),
        # The shortlist has all targets, so there is no second pass.
        (drain, 'one', ', ...)\nregion shift:'),
        (fill, 'one', 'refused: 503 no_room'),
        (limit, 'slow', 'rate: 1 tokens left of 3; 1 of 1 requests'),
        (do_nothing, 'west', 'home regions: w'),
    ],
)
async def test_text_names_what_decides(change, team, text):
    instance = Instance(make_targets('s', 3))
    change(instance)
    explanation = await instance.explain('keyed', team=team)
    document = orjson.loads(encode_explanation(explanation))
    assert text in '\n'.join(format_route(document))
