"""A fleet of many membership tasks that exchange datagrams in virtual time."""

from itertools import count
from random import Random
from types import SimpleNamespace

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from currantspur.decisions.membership_table import (
    CROSS_REGION_HEARTBEAT_TIMEOUT_S,
    FORGET_AFTER_S,
    HEARTBEAT_TIMEOUT_S,
)
from currantspur.decisions.rate_share import share_rate
from currantspur.messages import Instance, ListedInstances, TeamDemand
from currantspur.messages.instance_load import ShutdownStarted, Tick
from currantspur.tasks import Journal, Mailbox, Membership
from currantspur.tasks.membership import HEARTBEAT_INTERVAL_S
from currantspur.wire.heartbeats import decode_datagram, encode_datagram
from tests.test_admission import NullSink
from tests.virtual import VirtualClock

INCARNATIONS = count(2)
ZONES = ('n1', 'n2', 's1', 's2')
# Look-ups leave out a dead instance within this time: the bound of the rules.
MAX_NAMED_AFTER_DEATH_S = 7.0
# A change reaches other regions by the third heartbeat, and a relay passes it
# on at once.
SETTLE_S = 4 * HEARTBEAT_INTERVAL_S


class Simulation:
    """Membership tasks joined by a network that may lose or cut datagrams."""

    def __init__(self, zone_size, zones=ZONES):
        self.clock = VirtualClock()
        self.random = Random(7)
        self.members = {}
        self.dead = set()
        self.cut_zones = frozenset()
        self.loss = 0.0
        self.bytes_between_zones = 0
        for zone in zones:
            for number in range(zone_size):
                self.add(f'{zone}-{number}', zone)
        listed = tuple(
            member.membership_table.own_heartbeat.instance
            for member in self.members.values()
        )
        for member in self.members.values():
            member.handle_message(ListedInstances(instances=listed))

    def add(self, name, zone, incarnation=1):
        member = Membership(
            own=Instance(
                name=name,
                availability_zone=zone,
                region=zone[0],
                address=f'{name}:1',
                peer=name,
            ),
            incarnation=incarnation,
            clock=self.clock,
            journal=Journal(sink=NullSink(), clock=self.clock),
            admission=Mailbox(),
            dispatcher=Mailbox(),
            subscribers=(),
            get_revisions=dict,
            on_peer_revisions=lambda revisions, at, peer: None,
            is_ready=lambda: True,
            on_view=lambda view: None,
        )
        member.heartbeat_port = SimpleNamespace(
            send=lambda message, addresses: self.deliver(
                zone, encode_datagram(message), list(addresses)
            )
        )
        self.members[name] = member

    def deliver(self, zone, datagram, addresses):
        for name in addresses:
            member = self.members[name]
            to_zone = member.membership_table.own_zone
            is_between = zone != to_zone
            if is_between:
                self.bytes_between_zones += len(datagram)
            is_cut = is_between and self.cut_zones & {zone, to_zone}
            if name in self.dead or is_cut:
                continue
            if self.random.random() >= self.loss:
                member.handle_message(decode_datagram(datagram))

    def run(self, seconds, demand_per_s=1.0):
        end = self.clock.at + seconds
        while self.clock.at < end:
            self.clock.at += HEARTBEAT_INTERVAL_S
            for name, member in self.members.items():
                if name not in self.dead:
                    member.handle_message(
                        TeamDemand(requests_per_s_by_team={'t': demand_per_s})
                    )
                    member.handle_message(Tick())

    def view(self, name):
        return self.members[name].membership_table.build_view(self.clock.at)

    def views(self):
        return {
            name: self.view(name)
            for name in self.members
            if name not in self.dead
        }

    def live_names(self, name):
        return {each.name for each in self.view(name).live_instances}


@pytest.mark.parametrize('zone_size', [1, 3, 4, 12])
def test_all_agree_on_fleet_and_demand(zone_size):
    simulation = Simulation(zone_size)
    simulation.run(SETTLE_S)
    everyone = set(simulation.members)
    for name, view in simulation.views().items():
        assert simulation.live_names(name) == everyone
        assert view.fleet_size == len(everyone)
        assert view.requests_per_s_by_team['t'] == pytest.approx(len(everyone))


def test_bytes_between_zones_follow_zones():
    counts = []
    for zone_size in (6, 24):
        simulation = Simulation(zone_size)
        simulation.run(SETTLE_S)
        simulation.bytes_between_zones = 0
        simulation.run(24.0)
        counts.append(simulation.bytes_between_zones)
    # Four times the instances are sixteen times the pairs.
    assert counts[1] < 4 * counts[0]


@pytest.mark.parametrize(
    'dead',
    [
        {'n1-0'},
        {'n1-0', 'n1-1', 'n1-2'},
        {f'n1-{number}' for number in range(5)},
        {f's2-{number}' for number in range(6)},
    ],
)
def test_dead_instances_are_left_out_in_time(dead):
    simulation = Simulation(6)
    simulation.run(SETTLE_S)
    simulation.dead = dead
    simulation.run(MAX_NAMED_AFTER_DEATH_S)
    survivors = set(simulation.members) - dead
    for name in survivors:
        assert not simulation.live_names(name) & dead
        # Nobody else is lost because its reporters died.
        assert simulation.live_names(name) == survivors


def test_leaving_instance_is_left_out_at_once():
    simulation = Simulation(6)
    simulation.run(SETTLE_S)
    simulation.members['n1-3'].handle_message(ShutdownStarted())
    for name in set(simulation.members) - {'n1-3'}:
        assert 'n1-3' not in simulation.live_names(name)


def test_restarted_reporter_is_heard_again():
    simulation = Simulation(6)
    simulation.run(SETTLE_S)
    listed = simulation.members['n1-0'].membership_table.list_peers()
    for number in range(6):
        name = f'n1-{number}'
        simulation.add(name, 'n1', incarnation=2)
        simulation.members[name].handle_message(
            ListedInstances(instances=tuple(listed))
        )
    simulation.run(SETTLE_S, demand_per_s=2.0)
    view = simulation.view('s2-0')
    assert view.requests_per_s_by_team['t'] == pytest.approx(48.0)
    assert view.fleet_size == 24


def test_cut_zone_keeps_its_part_of_the_limits():
    simulation = Simulation(6)
    simulation.run(SETTLE_S)
    simulation.cut_zones = frozenset(('n1',))
    simulation.run(CROSS_REGION_HEARTBEAT_TIMEOUT_S + HEARTBEAT_INTERVAL_S)
    view = simulation.view('s1-0')
    assert not any(
        name.startswith('n1') for name in simulation.live_names('s1-0')
    )
    assert view.fleet_size == 24
    simulation.run(FORGET_AFTER_S)
    assert simulation.view('s1-0').fleet_size == 18
    simulation.cut_zones = frozenset()
    simulation.run(SETTLE_S)
    assert simulation.view('s1-0').fleet_size == 24


def kill(simulation, name):
    simulation.dead |= {name}


def restart(simulation, name):
    simulation.dead -= {name}
    table = simulation.members[name].membership_table
    simulation.add(name, table.own_zone, incarnation=next(INCARNATIONS))
    simulation.members[name].handle_message(
        ListedInstances(instances=tuple(table.list_peers()))
    )


def cut(simulation, name):
    zone = simulation.members[name].membership_table.own_zone
    simulation.cut_zones = frozenset((zone,))


def lose(simulation, _name):
    simulation.loss = 0.2


def heal(simulation, _name=''):
    simulation.cut_zones = frozenset()
    simulation.loss = 0.0


def share_of(view):
    return share_rate(
        100.0,
        own_demand_per_s=view.own_requests_per_s_by_team['t'],
        total_demand_per_s=view.requests_per_s_by_team['t'],
        limit_divisor=view.limit_divisor,
    )


@settings(max_examples=12)
@given(
    steps=st.lists(
        st.tuples(
            st.sampled_from((kill, restart, cut, heal, lose)),
            st.integers(0, 23),
            st.floats(0.8, 6.0),
        ),
        max_size=6,
    )
)
def test_limits_hold_and_views_agree_after_faults(steps):
    simulation = Simulation(6)
    names = list(simulation.members)
    simulation.run(SETTLE_S)
    for apply_fault, number, seconds in steps:
        apply_fault(simulation, names[number])
        simulation.run(seconds)
        shares = [share_of(view) for view in simulation.views().values()]
        # The operator's bound on the overshoot of a team's rate.
        assert sum(shares) <= 110
    heal(simulation)
    simulation.run(FORGET_AFTER_S + HEARTBEAT_TIMEOUT_S)
    alive = set(simulation.members) - simulation.dead
    for name in alive:
        assert simulation.live_names(name) == alive
        assert simulation.view(name).fleet_size == len(alive)
