"""Filters that leave out targets which may not run a request."""

from collections.abc import Iterable, Iterator

from currantspur.decisions.target_signals import SignalTable
from currantspur.decisions.target_state import TargetState
from currantspur.decisions.topology import Topology

TargetStates = Iterable[TargetState]


def without_draining(
    states: TargetStates, signals: SignalTable
) -> Iterator[TargetState]:
    """Leave out targets that will stop soon, by their rows or responses."""
    return (
        each
        for each in states
        if not each.target.is_draining and not signals.is_leaving(each.target)
    )


def without_evacuated(
    states: TargetStates, evacuated_zones: frozenset[str]
) -> Iterator[TargetState]:
    """Leave out targets of evacuated availability zones."""
    return (
        each
        for each in states
        if each.target.availability_zone not in evacuated_zones
    )


def within_home_regions(
    states: TargetStates, home_regions: frozenset[str], topology: Topology
) -> Iterator[TargetState]:
    """Leave out targets outside the home regions; an empty set allows all."""
    for each in states:
        region = topology.find_region(each.target.availability_zone)
        if not home_regions or region in home_regions:
            yield each


def without_excluded(
    states: TargetStates, excluded_targets: frozenset[str]
) -> Iterator[TargetState]:
    """Leave out targets at which an attempt of this request failed."""
    return (each for each in states if each.target.name not in excluded_targets)
