from collections import Counter

import pytest

from currantspur.decisions.committers import (
    Witness,
    choose_committers,
    count_majority,
    proves,
)
from currantspur.decisions.freshness import adopt, pass_on
from currantspur.decisions.relays import choose_relays
from currantspur.messages import Instance, Proof, ProofAnswer, WriteIntent

SET = {'a': '', 'b': '', 'c': ''}
INTENT = WriteIntent(writer='w', change_id='x', author='ana', base_version=3)


def intend(base):
    return lambda one: one.acknowledge(
        WriteIntent(writer='w', change_id='x', author='', base_version=base)
    )


def register(row, newest):
    return lambda one: one.finish_registration(row, newest)


def observe(version):
    return lambda one: one.observe(version)


def restart(one):
    one.begin_registration()


@pytest.mark.parametrize(
    ('steps', 'vouches', 'accepts'),
    [
        ([], False, False),
        ([register(1, 3)], True, True),
        ([register(1, 3), intend(3)], False, True),
        ([register(1, 3), intend(3), observe(3)], False, True),
        ([register(1, 3), intend(3), observe(4)], False, False),
        ([register(1, 4)], False, False),
        ([register(1, 3), intend(2)], True, True),
        ([register(1, 3), restart], False, False),
        ([register(1, 3), intend(3), restart], False, False),
        ([register(1, 3), intend(3), restart, register(2, 3)], True, True),
        ([register(1, 3), intend(3), restart, register(2, 4)], False, False),
    ],
)
def test_witness(steps, vouches, accepts):
    witness = Witness(name='a')
    for step in steps:
        step(witness)
    assert witness.vouches(3) is vouches
    assert witness.acknowledge(INTENT).accepted is accepts


def answer_as(name, version, vouches):
    return ProofAnswer(answerer=name, version=version, age_s=9, vouches=vouches)


@pytest.mark.parametrize(
    ('answers', 'proven'),
    [
        ([], False),
        ([('a', 3, True)], False),
        ([('a', 3, True), ('a', 3, True)], False),
        ([('a', 3, True), ('b', 3, True)], True),
        ([('a', 3, True), ('b', 2, True)], True),
        ([('a', 3, True), ('b', 4, True)], False),
        ([('a', 3, True), ('b', 3, False)], False),
        ([('a', 3, True), ('z', 3, True)], False),
        ([('a', 3, True), ('b', 3, False), ('c', 3, True)], True),
    ],
)
def test_majority_proves(answers, proven):
    given = [answer_as(*answer) for answer in answers]
    assert proves(3, SET, given) is proven
    assert not proves(3, {}, given)


@pytest.mark.parametrize(
    ('size', 'needed'),
    [
        (0, 0),
        (1, 1),
        (3, 2),
        (4, 3),
        (5, 3),
    ],
)
def test_majority(size, needed):
    assert count_majority(size) == needed


def open_instance(number, zones):
    return Instance(
        name=f'entry-{number}',
        address='',
        peer=f'10.0.0.{number}:1',
        availability_zone=f'zone-{number % zones}',
    )


def list_instances(count, zones, *, gone=()):
    numbers = [number for number in range(count) if number not in gone]
    return [open_instance(number, zones) for number in numbers]


def count_in_fullest(names, of_instance):
    return max(Counter(of_instance[name] for name in names).values())


# Zones are dealt to three regions in blocks, as operators name them.
@pytest.mark.parametrize(
    ('count', 'zones', 'size', 'most'),
    [
        (1, 3, 1, 1),
        (2, 2, 1, 1),
        (4, 3, 3, 1),
        (8, 6, 5, 2),
        (10, 6, 5, 2),
        (450, 12, 5, 2),
    ],
)
def test_committers_spread_and_stay(count, zones, size, most):
    instances = list_instances(count, zones)
    regions = {f'zone-{zone}': zone * 3 // zones for zone in range(zones)}
    region = {one.name: regions[one.availability_zone] for one in instances}
    chosen = choose_committers({}, instances, regions)
    assert len(chosen) == size
    assert count_in_fullest(chosen, region) <= most
    again = choose_committers(chosen, reversed(instances), regions)
    assert again == chosen
    unspread = {one.name: one.peer for one in instances[:size]}
    moved = choose_committers(unspread, instances, regions)
    assert count_in_fullest(moved, region) <= most


@pytest.mark.parametrize('gone', range(10))
def test_one_departure_moves_one_seat(gone):
    instances = list_instances(10, 6)
    chosen = choose_committers({}, instances, {})
    left = choose_committers(chosen, list_instances(10, 6, gone=[gone]), {})
    assert len(left) == len(chosen)
    assert len(chosen.keys() - left.keys()) == (f'entry-{gone}' in chosen)


@pytest.mark.parametrize('gone', range(12))
def test_relays_move_only_when_their_own_leaves(gone):
    before = choose_relays(list_instances(12, 1), 'zone-0')
    after = choose_relays(list_instances(12, 1, gone=[gone]), 'zone-0')
    kept = [one for one in before if one.name != f'entry-{gone}']
    assert after[: len(kept)] == kept
    assert len(after) == 3


@pytest.mark.parametrize(
    ('proven_at', 'answered_at', 'asked_at', 'adopted'),
    [
        (90.0, 90.5, 7.0, 6.5),
        (90.0, 90.0, 7.0, 7.0),
        (91.0, 90.0, 7.0, 7.0),
    ],
)
def test_passed_proof_counts_from_the_question(
    proven_at, answered_at, asked_at, adopted
):
    proof = Proof(version=3, proven_at=proven_at)
    answer = pass_on(proof, answered_at, answerer='a')
    assert adopt(answer, asked_at).proven_at == adopted
