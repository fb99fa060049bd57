import pytest

from currantspur.decisions.allowance import LAPSE_MARGIN_S, Allowance
from currantspur.decisions.apportioning import apportion
from currantspur.decisions.borrowing import (
    ASKS_AT_ONCE,
    ASKS_PER_S,
    EMPTY_S,
    Borrower,
)
from currantspur.decisions.holdings import Holdings
from currantspur.decisions.lending import LOAN_S, Authority
from currantspur.decisions.limits import cap_plan, list_limits
from currantspur.decisions.links import LinkBudget
from currantspur.decisions.planning import find_holders, plan_limits
from currantspur.decisions.window import PlanWindow
from currantspur.messages import (
    Allotment,
    Configuration,
    Instance,
    Link,
    Loan,
    LoanRequest,
    Part,
    Parts,
    Plan,
    Region,
    Target,
    Team,
)

ZONES = ('north-1', 'north-2', 'south-1')


def list_members(count, zones=ZONES):
    return [
        Instance(
            name=f'entry-{index}',
            address='',
            peer='',
            availability_zone=zones[index % len(zones)],
        )
        for index in range(count)
    ]


def describe(*, teams=(), slots=3):
    return Configuration(
        teams=teams,
        regions=(
            Region(
                name='north',
                availability_zones=('north-1', 'north-2'),
                intake_rate=100.0,
                intake_burst=50.0,
            ),
            Region(
                name='south',
                availability_zones=('south-1',),
                intake_rate=70.0,
                intake_burst=7.0,
            ),
        ),
        links=(Link(origin='north', destination='south', mbit_s=280.0),),
        targets=tuple(
            Target(
                name=f'status-{zone}',
                service='status',
                address='127.0.0.1:1',
                availability_zone=zone,
                slots=slots,
            )
            for zone in ZONES
        ),
    )


def describe_teams(*rates):
    return tuple(
        Team(name=f'team-{rate}', rate=rate, burst=2 * rate) for rate in rates
    )


@pytest.mark.parametrize(
    ('units', 'weights', 'before', 'expected'),
    [
        (6, {'a': 1, 'b': 1}, {}, {'a': 3, 'b': 3}),
        (7, {'a': 1, 'b': 1}, {}, {'a': 4, 'b': 3}),
        (2, {'a': 1, 'b': 1, 'c': 1}, {}, {'a': 1, 'b': 1, 'c': 0}),
        # A split that is near enough stays.
        (12, {'a': 1, 'b': 1}, {'a': 7, 'b': 5}, {'a': 7, 'b': 5}),
        (12, {'a': 1, 'b': 1}, {'a': 11, 'b': 1}, {'a': 8, 'b': 4}),
        # Fewer units than before.
        (4, {'a': 1, 'b': 1}, {'a': 6, 'b': 5}, {'a': 2, 'b': 2}),
        # The one who is new gets units from few.
        (
            24,
            {'a': 1, 'b': 1, 'c': 1, 'd': 1},
            {'a': 8, 'b': 8, 'c': 8},
            {'a': 5, 'b': 5, 'c': 8, 'd': 6},
        ),
        (10, {}, {'a': 10}, {}),
    ],
)
def test_apportion(units, weights, before, expected):
    counts = apportion(units, weights, before)
    assert counts == expected
    assert not weights or sum(counts.values()) == units


@pytest.mark.parametrize('count', [1, 2, 3, 9, 40])
@pytest.mark.parametrize('rates', [(120, 12, 4), (7.3, 0.9, 1000 / 3)])
def test_parts_sum_to_no_more_than_the_total(count, rates):
    configuration = describe(teams=describe_teams(*rates))
    plan = Plan()
    for size in (count, count + 1, count):
        plan = plan_limits(configuration, list_members(size), {}, plan)
        for limit, total in plan.totals.items():
            parts = find_holders(plan, limit).values()
            assert sum(part.rate for part in parts) <= total.rate
            assert sum(part.burst for part in parts) <= total.burst
            if 'team' in limit:
                given = sum(part.rate for part in parts)
                assert given == pytest.approx(total.rate, abs=1e-4)


@pytest.mark.parametrize(
    ('rate', 'count', 'holders'),
    [
        (120, 9, 9),
        (30, 9, 6),
        (12, 9, 2),
        (4, 9, 2),
        (4, 1, 1),
    ],
)
def test_small_rates_have_few_holders(rate, count, holders):
    configuration = describe(teams=describe_teams(rate))
    members = list_members(count)
    plan = plan_limits(configuration, members, {}, Plan())
    held = find_holders(plan, f'team/team-{rate}')
    assert len(held) == holders
    zones = {one.availability_zone for one in members if one.name in held}
    assert len(zones) == min(holders, len(ZONES))


@pytest.mark.parametrize(
    ('before', 'after', 'most_moved'), [(9, 10, 4), (10, 9, 10), (40, 41, 6)]
)
def test_few_parts_move(before, after, most_moved):
    configuration = describe(teams=describe_teams(400))
    first = plan_limits(configuration, list_members(before), {}, Plan())
    second = plan_limits(configuration, list_members(after), {}, first)
    old = find_holders(first, 'team/team-400')
    new = find_holders(second, 'team/team-400')
    moved = [
        name
        for name in old.keys() | new.keys()
        if old.get(name) != new.get(name)
    ]
    assert len(moved) <= most_moved
    again = plan_limits(configuration, list_members(after), {}, second)
    assert again.allotments == second.allotments


@pytest.mark.parametrize(
    ('live', 'expected'),
    [
        (('entry-0', 'entry-1', 'entry-2'), {'entry-0': 3}),
        (('entry-0', 'entry-3'), {'entry-0': 2, 'entry-3': 1}),
        (('entry-1', 'entry-2'), {'entry-0': 3}),
    ],
)
def test_slots_stay_in_their_zone(live, expected):
    configuration = describe()
    members = list_members(4)
    first = plan_limits(configuration, members[:3], {}, Plan())
    left = [one for one in members if one.name in live]
    plan = plan_limits(configuration, left, {}, first)
    held = find_holders(plan, 'slots/status-north-1')
    assert {name: part.burst for name, part in held.items()} == expected


@pytest.mark.parametrize(
    ('count', 'slots', 'expected'),
    [
        (3, 3, {'entry-0': 1, 'entry-1': 1, 'entry-2': 1}),
        (3, 1, {'entry-0': 1}),
        (3, 4, {'entry-0': 2, 'entry-1': 1, 'entry-2': 1}),
        (1, 3, {'entry-0': 3}),
    ],
)
def test_zones_without_targets_share_slots(count, slots, expected):
    configuration = describe(slots=slots)
    configuration.targets = configuration.targets[:1]
    plan = plan_limits(configuration, list_members(count), {}, Plan())
    held = find_holders(plan, 'slots/status-north-1')
    assert {name: part.burst for name, part in held.items()} == expected


@pytest.mark.parametrize(
    ('limit', 'planned', 'configured', 'expected'),
    [
        ('team', (100, 200), (100, 200), (50, 100)),
        ('team', (100, 200), (50, 200), (25, 100)),
        ('team', (100, 200), (400, 100), (50, 50)),
        ('team', (100, 200), None, None),
    ],
)
def test_parts_are_cut_to_what_is_configured(
    limit, planned, configured, expected
):
    plan = plan_limits(
        Configuration(
            teams=(Team(name='t', rate=planned[0], burst=planned[1]),)
        ),
        list_members(2),
        {},
        Plan(),
    )
    teams = ()
    if configured:
        teams = (Team(name='t', rate=configured[0], burst=configured[1]),)
    parts = cap_plan(plan, Configuration(teams=teams), 'entry-0')
    part = parts.get(f'{limit}/t')
    assert (part and (part.rate, part.burst)) == expected


@pytest.mark.parametrize(
    ('slots', 'expected'),
    [
        (3, [2, 1]),
        (2, [2, 0]),
        (1, [1, 0]),
    ],
)
def test_slots_are_cut_whole(slots, expected):
    plan = Plan(
        allotments=tuple(
            Allotment(
                limit='slots/status-north-1',
                instance=f'entry-{index}',
                part=Part(rate=0, burst=2 - index),
            )
            for index in range(2)
        ),
    )
    configuration = describe(slots=slots)
    found = [
        cap_plan(plan, configuration, f'entry-{index}')['slots/status-north-1']
        for index in range(2)
    ]
    assert [part.burst for part in found] == expected


def test_every_limit_is_listed():
    configuration = describe(teams=describe_teams(4))
    names = {limit.name for limit in list_limits(configuration)}
    assert names == {
        'team/team-4',
        'region/north',
        'region/south',
        'link/north/south',
        *(f'slots/status-{zone}' for zone in ZONES),
    }


FIRST = (0, 1, 4, [])


# Each step: time, version, own part, parts of skipped versions.
@pytest.mark.parametrize(
    ('steps', 'at', 'expected'),
    [
        ([FIRST], 1.6, None),
        ([FIRST], 1.7, 4),
        ([FIRST, (9, 2, 3, [])], 9.0, 3),
        ([FIRST, (9, 2, 8, [])], 10.6, 4),
        ([FIRST, (9, 2, 8, [])], 10.7, 8),
        ([FIRST, (9, 2, 2, []), (10, 3, 8, [])], 11.6, 2),
        ([FIRST, (9, 2, 2, []), (10, 3, 8, [])], 11.7, 8),
        ([FIRST, (9, 3, 8, [1])], 9.5, 1),
        ([FIRST, (9, 3, 8, None)], 9.5, None),
        ([FIRST, (9, 3, 8, None)], 10.7, 8),
        ([FIRST, (9, 3, 8, []), (9.5, 2, 1, [])], 9.6, 4),
        ([FIRST, (9, 1, 8, [])], 20, 4),
    ],
)
def test_window(steps, at, expected):
    window = PlanWindow(freshness_s=1.5)
    for learnt_at, version, size, skipped in steps:
        window.learn(
            version,
            open_parts(size),
            learnt_at,
            None if skipped is None else [open_parts(one) for one in skipped],
        )
    part = window.settle(at).get('team/t')
    assert (part and part.rate) == expected


def open_parts(size):
    return {'team/t': Part(rate=size, burst=size)}


@pytest.mark.parametrize(
    ('level', 'wanted', 'lent', 'left', 'refilled'),
    [
        (10, 3, 3, 7, 7),
        (10, 100, 5, 5, 5),
        (1, 5, 1, 0, 9),
        (0.9, 5, 0, 0.9, 10),
        (7.5, 2.9, 2, 5.5, 8),
    ],
)
def test_lending_deducts_and_lowers_the_burst(
    level, wanted, lent, left, refilled
):
    allowance = Allowance(Part(rate=100, burst=10), at=0, level=level)
    assert allowance.lend(wanted, 0, 1.0) == lent
    assert allowance.bucket.level == left
    assert allowance.count(0.9) == refilled
    lapsed_at = 1.0 + LAPSE_MARGIN_S + 0.01
    assert allowance.count(lapsed_at) == refilled
    assert allowance.count(lapsed_at + 1) == 10


@pytest.mark.parametrize(
    ('asked_version', 'until', 'at', 'tokens', 'lapse_s'),
    [
        (3, 99, 10, 5, LOAN_S),
        (2, 99, 10, 5, LOAN_S),
        (4, 99, 10, 0, LOAN_S),
        # A loan lapses with the freshness of the lender.
        (3, 10.4, 10, 5, 0.4),
        (3, 10, 10, 0, 0),
        (3, 9, 10, 0, 0),
    ],
)
def test_a_loan_never_outlives_the_authority(
    asked_version, until, at, tokens, lapse_s
):
    holdings = Holdings()
    holdings.prove(99)
    holdings.resize(Parts(by_limit=open_parts(10), version=3), at)
    holdings.allowances['team/t'].bucket.level = 10
    request = LoanRequest(
        asker='b', limit='team/t', tokens=5, version=asked_version, loan_id='1'
    )
    authority = Authority(version=3, until=until)
    loans = [holdings.lend(request, authority, at) for _ in range(3)]
    assert {loan.tokens for loan in loans} == {tokens}
    assert loans[0].lapse_s == pytest.approx(lapse_s)
    assert holdings.count('team/t', at) == 10 - tokens


@pytest.mark.parametrize(
    ('answered_at', 'lapse_s', 'tokens', 'until'),
    [
        (10.1, 1.0, 5, 11.0),
        (11.0, 1.0, 5, None),
        (10.1, 1.0, 0, None),
        (10.1, 0.05, 5, None),
    ],
)
def test_a_loan_lapses_from_when_it_was_asked(
    answered_at, lapse_s, tokens, until
):
    borrower = Borrower(instance='a', incarnation='1', at=0)
    borrower.learn({'team/t': ['b']})
    call = borrower.ask('team/t', 5, 10.0, version=1)
    loan = Loan(
        limit='team/t',
        tokens=tokens,
        lapse_s=lapse_s,
        loan_id=call.request.loan_id,
    )
    found = [
        borrower.settle(call.request.loan_id, loan, answered_at)
        for _ in range(2)
    ]
    assert (found[0] and found[0].until) == until
    assert found[1] is None


@pytest.mark.parametrize(
    ('outcomes', 'asked'),
    [
        ([5, 5, 5, 5], ['b', 'c', 'd', 'b']),
        ([0, 5, 5, 5], ['b', 'c', 'd', 'c']),
        ([0, 0, 0, 0], ['b', 'c', 'd', None]),
        ([None, 5, None, 5], ['b', 'c', 'd', 'c']),
    ],
)
def test_the_lender_asked_longest_ago_is_asked(outcomes, asked):
    borrower = Borrower(instance='a', incarnation='1', at=0)
    borrower.learn({'team/t': ['b', 'c', 'd']})
    found = []
    for step, tokens in enumerate(outcomes):
        at = step * EMPTY_S / 10
        call = borrower.ask('team/t', 1, at, version=1)
        found.append(call and call.lender)
        assert borrower.ask('team/t', 1, at, version=1) is None
        if call:
            loan_id = call.request.loan_id
            borrower.settle(loan_id, open_loan(tokens, loan_id), at)
    assert found == asked


def open_loan(tokens, loan_id):
    if tokens is None:
        return None
    return Loan(limit='team/t', tokens=tokens, lapse_s=1, loan_id=loan_id)


@pytest.mark.parametrize('seconds', [1, 5])
def test_messages_a_second_are_bounded(seconds):
    borrower = Borrower(instance='a', incarnation='1', at=0)
    borrower.learn({f'team/{number}': ['b'] for number in range(50)})
    sent = 0
    for step in range(seconds * 100):
        for number in range(50):
            limit = f'team/{number}'
            call = borrower.ask(limit, 1, step / 100, version=1)
            if call:
                sent += 1
                borrower.settle(call.request.loan_id, None, step / 100)
    assert sent <= ASKS_AT_ONCE + seconds * ASKS_PER_S


@pytest.mark.parametrize(
    ('zone', 'sent', 'may_cross_again'),
    [
        ('north-2', 10**9, True),
        ('south-1', 1000, True),
        ('south-1', 10**9, False),
        ('unknown', 10**9, True),
    ],
)
def test_links_are_charged_with_what_was_sent(zone, sent, may_cross_again):
    holdings = Holdings()
    configuration = describe()
    part = Part(rate=1e6, burst=1e6)
    holdings.resize(Parts(by_limit={'link/north/south': part}, version=1), 0)
    budget = LinkBudget(availability_zone='north-1', holdings=holdings)
    budget.configure(configuration)
    assert budget.may_cross(zone, 1.0)
    budget.charge(zone, sent, 1.0)
    assert budget.may_cross(zone, 1.0) is may_cross_again
