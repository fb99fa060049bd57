"""Model instances that share limits over messages that go astray."""

from collections import deque
from itertools import chain, pairwise

from currantspur.decisions.borrowing import Borrower
from currantspur.decisions.freshness import Freshness
from currantspur.decisions.holdings import Holdings
from currantspur.decisions.lending import Authority
from currantspur.decisions.limits import cap_plan
from currantspur.decisions.planning import find_holders, plan_limits
from currantspur.decisions.window import PlanWindow
from currantspur.messages import (
    Configuration,
    Instance,
    Parts,
    Plan,
    Proof,
    Team,
)

FRESH_S = 1.5
# Clocks of the model run apart by less than this over a freshness bound.
SLACK_S = 0.01
# Clocks run this much too fast at most, and refill that much faster.
DRIFT = 0.002
ROUNDING = 1e-6
LIMIT = 'team/t'
NAMES = ('a', 'b', 'c', 'd')
MEMBERS = tuple(
    Instance(
        name=name,
        address=name,
        peer=name,
        availability_zone=f'z{index % 2}',
    )
    for index, name in enumerate(NAMES)
)


class Version:
    def __init__(self, number, at, team, plan):
        self.number = number
        self.at = at
        self.team = team
        self.plan = plan

    def configuration(self):
        return Configuration(teams=(self.team,))


class Store:
    """Order versions and know which totals allow what."""

    def __init__(self, team):
        plan = plan_limits(Configuration(teams=(team,)), MEMBERS, {}, Plan())
        self.versions = [Version(1, 0.0, team, plan)]

    @property
    def newest(self):
        return self.versions[-1]

    def commit(self, at, *, team=None, members=MEMBERS, demand=None):
        team = team or self.newest.team
        plan = plan_limits(
            Configuration(teams=(team,)),
            members,
            {LIMIT: demand or {}},
            self.newest.plan,
        )
        self.versions.append(Version(self.newest.number + 1, at, team, plan))

    def configure(self, at, team):
        """Change the total and leave the plan as it is."""
        plan = self.newest.plan
        self.versions.append(Version(self.newest.number + 1, at, team, plan))

    def best(self, at):
        """Return the largest total a fresh instance may act on."""
        ends = [one.at for one in self.versions[1:]] + [float('inf')]
        valid = [
            one.team
            for one, end in zip(self.versions, ends, strict=True)
            if one.at <= at and end >= at - FRESH_S - SLACK_S
        ]
        return (
            max(team.rate for team in valid),
            max(team.burst for team in valid),
        )

    def inflow(self, start, end):
        """Return the tokens that the largest rates bring in a window."""
        if start == end:
            return 0.0
        changes = [one.at for one in self.versions]
        changes += [one + FRESH_S + SLACK_S for one in changes]
        inside = {edge for edge in changes if start < edge < end}
        return sum(
            (after - before) * self.best((before + after) / 2)[0]
            for before, after in pairwise(sorted({start, end} | inside))
        )


class Node:
    """Join the decisions as the tasks do; clocks start and run apart."""

    def __init__(self, name, store, *, at, offset=0.0, drift=0.0):
        self.name = name
        self.store = store
        self.offset = offset
        self.drift = drift
        self.incarnation = 0
        self.restart(at)

    def restart(self, at):
        self.incarnation += 1
        self.paused = False
        self.cut = False
        self.inbox = deque()
        self.version = 0
        self.seen = []
        self.freshness = Freshness(limit_s=FRESH_S)
        self.window = PlanWindow(freshness_s=FRESH_S)
        self.holdings = Holdings()
        self.borrower = Borrower(
            instance=self.name,
            incarnation=str(self.incarnation),
            at=self.clock(at),
        )

    def clock(self, at):
        return self.offset + at * (1 + self.drift)

    def fresh_until(self):
        return self.freshness.proven_at + FRESH_S

    def is_fresh(self, at):
        return self.freshness.is_fresh(self.clock(at), version=self.version)

    def learn(self, version, proven_at, at, *, skipped=True):
        now = self.clock(at)
        if version.number > self.version:
            passed = [
                self.cap(one)
                for one in self.store.versions[
                    self.version : version.number - 1
                ]
                if self.version
            ]
            self.window.learn(
                version.number,
                self.cap(version),
                now,
                passed if skipped or not self.version else None,
            )
            self.version = version.number
            self.seen.append(self.version)
            self.borrower.learn(
                {
                    LIMIT: [
                        one
                        for one in find_holders(version.plan, LIMIT)
                        if one != self.name
                    ]
                }
            )
        self.settle(at)
        self.freshness.accept(
            Proof(version=version.number, proven_at=proven_at),
        )
        self.holdings.prove(self.fresh_until())

    def cap(self, version):
        return cap_plan(version.plan, version.configuration(), self.name)

    def settle(self, at):
        now = self.clock(at)
        parts = Parts(by_limit=self.window.settle(now), version=self.version)
        self.holdings.resize(parts, now)

    def spend(self, at, most):
        """Return how many requests were admitted."""
        if self.paused or not self.is_fresh(at):
            return 0
        self.settle(at)
        count = 0
        while count < most and self.holdings.spend(LIMIT, self.clock(at)):
            count += 1
        return count

    def count(self, at):
        """Return the requests that could be admitted now."""
        if not self.is_fresh(at):
            return 0
        self.settle(at)
        return self.holdings.count(LIMIT, self.clock(at))

    def ask(self, at, tokens):
        return self.borrower.ask(
            LIMIT, tokens, self.clock(at), version=self.version
        )

    def lend(self, request, at):
        self.settle(at)
        authority = Authority(version=self.version, until=self.fresh_until())
        if not self.is_fresh(at):
            authority.until = self.clock(at)
        return self.holdings.lend(request, authority, self.clock(at))

    def receive(self, loan_id, loan, at):
        now = self.clock(at)
        got = self.borrower.settle(loan_id, loan, now)
        if got is not None:
            self.holdings.borrow(got.limit, got.tokens, got.until, now)


class Ledger:
    """Check every window that ends at a new admission."""

    def __init__(self, store):
        self.store = store
        self.admitted = []
        self.worst = 0.0

    def admit(self, at, count):
        if count:
            self.admitted.append((at, count))
            self.check(at, 0)

    def check(self, at, tokens):
        """Check as if the tokens that are left were spent now."""
        total = 0
        inflow = 0.0
        end = at
        windows = chain([(at, tokens)], reversed(self.admitted))
        for start, each in windows:
            total += each
            inflow += self.store.inflow(start, end) * (1 + DRIFT)
            end = start
            allowed = inflow + self.store.best(start)[1]
            self.worst = max(self.worst, total / allowed)
            assert total <= allowed + ROUNDING, (
                f'{total} admitted from {start} to {at}, allowed {allowed}'
            )


def open_team(rate=20.0, burst=200.0):
    return Team(name='t', rate=rate, burst=burst)
