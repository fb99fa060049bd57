import asyncio

import pytest

from currantspur.decisions.topology import Topology
from currantspur.messages import (
    Assignment,
    Configuration,
    ConfigurationUpdate,
    FleetView,
    PlacementRequest,
    Refusal,
    Service,
    Target,
    TargetLoad,
    TargetRelease,
    TargetsUpdate,
)
from currantspur.messages.limits import FleetLimits
from currantspur.tasks import Dispatcher, Journal
from currantspur.tasks.mailbox import Envelope
from tests.routes import make_route
from tests.test_admission import NoSink
from tests.virtual import VirtualClock

REGIONS = {'n1': 'n', 's1': 's'}
ROUTE = make_route()


def make_dispatcher(*zones, instance='', **limits):
    clock = VirtualClock()
    dispatcher = Dispatcher(
        clock=clock,
        topology=Topology(availability_zone='n1', regions=REGIONS),
        limits=FleetLimits(**limits),
        journal=Journal(sink=NoSink(), clock=clock),
        instance=instance,
    )
    targets = {
        f't{number}': Target(
            name=f't{number}',
            service='s',
            address=f'10.0.0.1:{number}',
            availability_zone=zone,
            slots=3,
        )
        for number, zone in enumerate(zones)
    }
    dispatcher.handle_message(
        TargetsUpdate(targets_by_name=targets, revision=1, read_at=0.0)
    )
    return dispatcher


async def ask(dispatcher, **more):
    request = PlacementRequest(
        request_id='x', route=ROUTE, service='s', deadline=9.0, **more
    )
    reply = asyncio.get_running_loop().create_future()
    dispatcher.receive([Envelope(request, reply)])
    return await reply


@pytest.mark.parametrize(
    ('outcome', 'is_avoided', 'may_leave'),
    [
        ('answered', False, False),
        ('unknown', False, False),
        ('shed', True, False),
        # An overload: dearer, but no reason to leave the region at once.
        ('late', True, False),
        ('erred', True, False),
        ('failed', True, True),
        ('moved', True, True),
        ('unreachable', True, True),
    ],
)
async def test_what_an_outcome_teaches(outcome, is_avoided, may_leave):
    dispatcher = make_dispatcher('n1', 'n1')
    first = await ask(dispatcher)
    dispatcher.handle_message(TargetRelease(assignment=first, outcome=outcome))
    second = await ask(dispatcher)
    assert (second.target != first.target) is is_avoided
    limiter = dispatcher.placement_state.spillover.shift_limiter('s')
    assert (limiter.fault_until > 0) is may_leave


@pytest.mark.parametrize(
    ('others', 'may_leave'),
    [(0, True), (2, True), (3, False), (9, False)],
)
async def test_a_reset_of_a_busy_target_is_overload(others, may_leave):
    dispatcher = make_dispatcher('n1')
    first = await ask(dispatcher)
    # The target counts the request itself too.
    load = TargetLoad(running=others + 1, queued=0, slots=3)
    dispatcher.target_states['t0'].update_load(load, 0.0)
    dispatcher.handle_message(TargetRelease(assignment=first, outcome='failed'))
    limiter = dispatcher.placement_state.spillover.shift_limiter('s')
    assert (limiter.fault_until > 0) is may_leave


@pytest.mark.parametrize(
    ('zones', 'more', 'code'),
    [
        ((), {}, 'no_target'),
        (('n1',), {'excluded_targets': frozenset(('t0',))}, 'no_target'),
        (('n1',), {'home_regions': frozenset(('s',))}, 'no_target'),
        (('n1',), {'attempt_number': 1}, None),
    ],
)
async def test_refusals_say_when_to_come_back(zones, more, code):
    dispatcher = make_dispatcher(*zones)
    found = await ask(dispatcher, **more)
    assert isinstance(found, Refusal) is bool(code)
    if code:
        assert (found.code, found.not_run) == (code, True)
        assert found.retry_after_s > 0


async def test_a_full_service_is_refused_and_recovers():
    dispatcher = make_dispatcher('n1')
    given = [await ask(dispatcher) for _ in range(13)]
    assert given[12].code == 'no_room'
    for assignment in given[:12]:
        dispatcher.handle_message(
            TargetRelease(
                assignment=assignment,
                outcome='answered',
                load=TargetLoad(running=0, queued=0, slots=3),
            )
        )
    assert (await ask(dispatcher)).target.name == 't0'


async def test_repeats_are_bounded():
    dispatcher = make_dispatcher('n1', 'n1', retry_slack=8.0)
    found = [await ask(dispatcher, attempt_number=1) for _ in range(9)]
    refused = [one for one in found if isinstance(one, Refusal)]
    assert len(refused) == 5


@pytest.mark.parametrize(
    ('near_work', 'far_work', 'leaves'),
    [(0.5, 0.5, False), (9.0, 0.5, True), (9.0, 90.0, False)],
)
async def test_a_region_short_of_targets_sends_objects(
    near_work, far_work, leaves
):
    dispatcher = make_dispatcher('n1', 's1', 's1', 's1')
    view = FleetView(
        live_instances=(),
        fleet_size=2,
        requests_per_s_by_instance={},
        computed_at=0.0,
        busy_slots_by_region={'n': {'s': near_work}, 's': {'s': far_work}},
    )
    dispatcher.handle_message(view)
    given = {}
    for key in map(str, range(30)):
        for _ in range(2):
            assignment = await ask(dispatcher, object_key=key)
            given.setdefault(key, set()).add(assignment.target.name)
            load = TargetLoad(running=1, queued=0, slots=3)
            dispatcher.handle_message(
                TargetRelease(
                    assignment=assignment, outcome='answered', load=load
                )
            )
    far = [key for key, names in given.items() if names != {'t0'}]
    assert bool(far) is leaves


COLD_PER_S, OVERSHOOT, SLACK = 6.1, 1.5, 5.0


def make_fleet(size):
    """Return instances that know of each other and of a cold pace."""
    view = FleetView(
        live_instances=(),
        fleet_size=size,
        requests_per_s_by_instance={},
        computed_at=0.0,
    )
    service = Service(
        name='s', cold_start_s=3.0, cold_requests_per_s=COLD_PER_S
    )
    configuration = Configuration(version=1, services=(service,))
    seen = ConfigurationUpdate(
        configuration=configuration, revision=1, read_at=0.0
    )
    for number in range(size):
        dispatcher = make_dispatcher('n1', instance=f'entry-{number}')
        dispatcher.handle_message(seen)
        dispatcher.handle_message(view)
        yield dispatcher


async def send(dispatcher, outcome):
    """Tell whether a request was given to the target."""
    given = await ask(dispatcher)
    if isinstance(given, Refusal):
        return False
    dispatcher.handle_message(TargetRelease(assignment=given, outcome=outcome))
    return True


@pytest.mark.parametrize('outcome', ['unreachable', 'moved'])
@pytest.mark.parametrize('size', [3, 10, 59])
async def test_a_target_that_was_gone_is_tried_by_few(size, outcome):
    fleet, sent = list(make_fleet(size)), []
    for step in range(100):
        # It is back, and cold, when four seconds have passed.
        ended = outcome if step < 80 else 'answered'
        for dispatcher in fleet:
            dispatcher.clock.at = step / 20
            sent.append(await send(dispatcher, ended))
    back = sum(sent[80 * size :])
    assert 0 < back <= COLD_PER_S * OVERSHOOT + SLACK


async def test_one_lost_connection_is_no_absence():
    dispatcher = make_dispatcher('n1')
    for outcome in ('unreachable', 'answered', 'unreachable', 'answered'):
        given = await ask(dispatcher)
        dispatcher.handle_message(
            TargetRelease(assignment=given, outcome=outcome)
        )
    assert isinstance(await ask(dispatcher), Assignment)
