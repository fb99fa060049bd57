from functools import partial

from hypothesis import settings, target
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    invariant,
    rule,
)

from tests.limits_model import (
    DRIFT,
    LIMIT,
    MEMBERS,
    NAMES,
    Ledger,
    Node,
    Store,
    open_team,
)

NODES = st.sampled_from(NAMES)
STEPS_S = st.sampled_from([0.1, 0.4, 2.0])
TOKENS = st.sampled_from([3, 100])
FATES = st.sampled_from(['now', 'now', 'now', 'later', 'twice', 'lost'])
# Slow and fast refills: errors of rates and errors of bursts.
TOTALS = [(20, 200), (10, 300), (80, 16), (6, 12)]
TEAMS = st.sampled_from(TOTALS)
POLL_S = 0.5
ROUNDING = 1e-6


class Limits(RuleBasedStateMachine):
    """Admit no more than rate x window + burst, whatever goes astray."""

    @initialize(team=TEAMS)
    def start(self, team):
        self.at = 0.0
        self.store = Store(open_team(*team))
        self.ledger = Ledger(self.store)
        self.nodes = {
            name: Node(
                name,
                self.store,
                at=0.0,
                offset=100.0 * index,
                drift=(index - 1) * DRIFT / 2,
            )
            for index, name in enumerate(NAMES)
        }
        self.network = []
        self.recover()

    def teardown(self):
        target(self.ledger.worst, label='admitted over allowed')

    @rule(seconds=STEPS_S)
    def run_well(self, seconds):
        """Let time pass while all that can read the head do so."""
        self.refresh()
        while seconds > 0:
            self.at += min(POLL_S, seconds)
            seconds -= POLL_S
            self.refresh()

    @rule()
    def recover(self):
        """End all faults and let every bucket fill."""
        for name in NAMES:
            self.rejoin(name, knows_skipped=True)
        self.run_well(20.0)

    def refresh(self):
        for name, node in self.nodes.items():
            if not node.cut:
                self.poll(name, fate='now', knows_skipped=True)

    @rule(name=NODES, fate=FATES, knows_skipped=st.booleans())
    def poll(self, name, fate, knows_skipped):
        node = self.nodes[name]
        if node.paused:
            return
        version = self.store.newest
        act = partial(
            node.learn,
            version,
            node.clock(self.at),
            skipped=knows_skipped,
        )
        self.send(fate, node, act)

    @rule(name=NODES, count=TOKENS)
    def spend(self, name, count):
        self.ledger.admit(self.at, self.nodes[name].spend(self.at, count))

    @rule()
    def spend_all(self):
        for name in NAMES:
            self.spend(name, 1000)

    @rule(seconds=STEPS_S)
    def drain(self, seconds):
        self.recover()
        self.spend_all()
        self.run_well(seconds)

    @rule(name=NODES, count=TOKENS, request_fate=FATES, answer_fate=FATES)
    def borrow(self, name, count, request_fate, answer_fate):
        node = self.nodes[name]
        call = None if node.paused else node.ask(self.at, count)
        if call is not None:
            lender = self.nodes[call.lender]
            act = partial(self.answer, lender, node, call, answer_fate)
            self.send(request_fate, lender, act)

    @rule(count=TOKENS, seconds=STEPS_S)
    def borrow_all(self, count, seconds):
        for name in NAMES:
            self.borrow(name, count, 'now', 'now')
        self.run_well(seconds)

    @rule(name=NODES)
    def borrow_slowly(self, name):
        """Let a loan arrive shortly before it lapses."""
        node = self.nodes[name]
        call = None if node.paused else node.ask(self.at, 100)
        if call is not None:
            loan = self.nodes[call.lender].lend(call.request, self.at)
            self.run_well(0.9)
            node.receive(call.request.loan_id, loan, self.at)
            self.run_well(0.4)

    def answer(self, lender, node, call, fate, at):
        loan = lender.lend(call.request, at)
        act = partial(node.receive, call.request.loan_id, loan)
        self.send(fate, node, act)

    @rule(members=st.sets(NODES, min_size=1))
    def plan(self, members):
        chosen = [one for one in MEMBERS if one.name in members]
        demand = {min(members): 50.0}
        self.store.commit(self.at, members=chosen, demand=demand)

    @rule()
    def plan_for_all(self):
        self.store.commit(self.at)

    @rule(team=TEAMS)
    def change_rate(self, team):
        self.store.configure(self.at, open_team(*team))

    @rule(name=NODES)
    def crash(self, name):
        self.nodes[name].restart(self.at)

    @rule(name=NODES, is_paused=st.booleans())
    def isolate(self, name, is_paused):
        self.nodes[name].cut = True
        self.nodes[name].paused = is_paused

    @rule(
        name=NODES,
        other=NODES,
        keeps_some=st.booleans(),
        moves_back=st.booleans(),
        comes_back=st.sampled_from(['knows', 'forgot', 'restarted']),
    )
    def move_while_away(self, name, other, keeps_some, moves_back, comes_back):
        """Move a part while its holder cannot learn of it."""
        pair = [one for one in MEMBERS if one.name in {name, other}]
        self.store.commit(self.at, members=pair)
        self.drain(0.1)
        self.isolate(name, is_paused=False)
        kept = [one for one in pair if keeps_some or one.name == other]
        self.store.commit(self.at, members=kept, demand={other: 50.0})
        self.run_well(3.0)
        self.spend(name, 1000)
        self.borrow_all(100, 0.1)
        if moves_back:
            self.plan({name})
        if comes_back == 'restarted':
            self.crash(name)
        self.rejoin(name, knows_skipped=comes_back == 'knows')

    @rule(name=NODES, knows_skipped=st.booleans())
    def rejoin(self, name, knows_skipped):
        node = self.nodes[name]
        node.cut = False
        node.paused = False
        while node.inbox:
            node.inbox.popleft()(self.at)
        self.poll(name, 'now', knows_skipped)

    @rule(index=st.integers(min_value=0, max_value=30))
    def deliver(self, index):
        """Deliver any message that was held back, in any order."""
        if self.network:
            position = index % len(self.network)
            self.hand_over(*self.network.pop(position))

    @invariant()
    def parts_never_sum_over_the_total(self):
        for version in self.store.versions[-2:]:
            parts = [one.part for one in version.plan.allotments]
            total = version.plan.totals[LIMIT]
            assert sum(part.rate for part in parts) <= total.rate
            assert sum(part.burst for part in parts) <= total.burst
        rate, burst = self.store.best(self.at)
        held = [
            node.window.settle(node.clock(self.at)).get(LIMIT)
            for node in self.nodes.values()
            if node.is_fresh(self.at)
        ]
        assert sum(part.rate for part in held if part) <= rate
        assert sum(part.burst for part in held if part) <= burst

    @invariant()
    def tokens_never_exceed_what_is_allowed(self):
        tokens = sum(node.count(self.at) for node in self.nodes.values())
        self.ledger.check(self.at, tokens)

    @invariant()
    def no_version_goes_back(self):
        for node in self.nodes.values():
            assert node.seen == sorted(set(node.seen))

    def send(self, fate, node, act):
        message = (node, node.incarnation, act)
        if fate in {'later', 'twice'}:
            self.network.append(message)
        if fate in {'now', 'twice'}:
            self.hand_over(*message)
        if fate == 'twice':
            self.hand_over(*message)

    def hand_over(self, node, incarnation, act):
        if incarnation != node.incarnation:
            return
        if node.paused:
            node.inbox.append(act)
        else:
            act(self.at)


TestLimits = Limits.TestCase
TestLimits.settings = settings(max_examples=150, stateful_step_count=40)
