import pytest

from tests.limits_model import NAMES, ROUNDING
from tests.test_limits_machine import Limits

STEP_S = 0.1
SECONDS = 14.0
FAULT_AT_S = 3.0
HEAL_AT_S = 8.0
RATE = 20
BURST = 40
POLL_STEPS = 4
ALL_STEPS = 10


def cut(fleet, names):
    for name in names:
        fleet.isolate(name, is_paused=False)


def cut_and_plan(fleet, name):
    fleet.isolate(name, is_paused=False)
    fleet.plan(set(NAMES) - {name})


def crash_and_plan(fleet, name):
    fleet.crash(name)
    fleet.isolate(name, is_paused=True)
    fleet.plan(set(NAMES) - {name})


def flap(fleet):
    for names in ('a', 'ab', 'cd', 'abcd'):
        fleet.plan(set(names))
        fleet.at += STEP_S
        fleet.refresh()


# Each row: the fault, and the least share of what is allowed that still gets
# in while half of the instances ask for more than their parts.
FAULTS = {
    'none': (lambda fleet: None, 0.95),
    'one crashes and comes back': (lambda fleet: fleet.crash('a'), 0.85),
    'one is cut off': (lambda fleet: fleet.isolate('a', is_paused=False), 0.75),
    'one is paused': (lambda fleet: fleet.isolate('a', is_paused=True), 0.75),
    'two are cut off': (lambda fleet: cut(fleet, 'ab'), 0.55),
    'store away from all': (lambda fleet: cut(fleet, NAMES), 0.3),
    'cut off and replanned': (lambda fleet: cut_and_plan(fleet, 'a'), 0.8),
    'crash and replanned': (lambda fleet: crash_and_plan(fleet, 'a'), 0.8),
    'rate halved': (lambda fleet: fleet.change_rate((RATE / 2, BURST)), 0.45),
    'rate halved, one cut off': (
        lambda fleet: (fleet.isolate('a', False), fleet.change_rate((10, 20))),
        0.4,
    ),
    'rate doubled': (lambda fleet: fleet.change_rate((RATE * 2, BURST)), 0.3),
    'parts move to and fro': (flap, 0.5),
}


class Flood:
    """Spend all there is while a fault comes and goes."""

    def __init__(self, fates):
        self.fates = fates
        self.step = 0
        self.fleet = Limits()
        self.fleet.start((RATE, BURST))
        self.began = self.fleet.at

    def run_until(self, seconds):
        while self.fleet.at < self.began + seconds:
            self.go_on()

    def go_on(self):
        fleet = self.fleet
        self.step += 1
        fleet.at += STEP_S
        if self.step % POLL_STEPS == 0:
            fleet.refresh()
        for index, name in enumerate('ab'):
            fate = self.fates[(self.step + index) % len(self.fates)]
            fleet.borrow(
                name, 20, fate, self.fates[self.step % len(self.fates)]
            )
            fleet.deliver(self.step)
            fleet.spend(name, 1000)
        if self.step % ALL_STEPS == 0:
            fleet.spend_all()
        fleet.tokens_never_exceed_what_is_allowed()
        fleet.parts_never_sum_over_the_total()

    def heal(self):
        for index, name in enumerate(NAMES):
            self.fleet.rejoin(name, knows_skipped=index % 2 == 0)

    def count(self):
        admitted = self.fleet.ledger.admitted
        return sum(count for at, count in admitted if at > self.began)


@pytest.mark.parametrize(
    'fates',
    [['now'], ['now', 'twice', 'later', 'lost']],
    ids=['whole', 'lossy'],
)
@pytest.mark.parametrize('fault', FAULTS)
def test_admitted_over_allowed_under_faults(fault, fates, record_property):
    strike, least = FAULTS[fault]
    flood = Flood(fates)
    flood.run_until(FAULT_AT_S)
    strike(flood.fleet)
    flood.run_until(HEAL_AT_S)
    flood.heal()
    flood.run_until(SECONDS)
    used = flood.count() / (RATE * SECONDS + BURST)
    record_property('worst', round(flood.fleet.ledger.worst, 3))
    record_property('used', round(used, 3))
    assert flood.fleet.ledger.worst <= 1 + ROUNDING
    assert used >= least
