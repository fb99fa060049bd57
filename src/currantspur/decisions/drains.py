"""Decide what planned drains take out of service."""

from currantspur.messages import Configuration, Drain, Target


def is_draining(
    configuration: Configuration, target: Target, unix_s: float
) -> bool:
    """Tell whether a target takes no new work at a Unix time."""
    return any(
        covers(configuration, drain, target)
        for drain in configuration.drains
        if drain.start_s <= unix_s and not drain.paused
    )


def name_state(drain: Drain, unix_s: float) -> str:
    """Name the state of a drain at a Unix time."""
    if drain.paused:
        return 'paused'
    return 'planned' if drain.start_s > unix_s else 'draining'


def covers(configuration: Configuration, drain: Drain, target: Target) -> bool:
    """Tell whether a drain's scope holds a target."""
    if drain.scope == 'target':
        return target.name == drain.name
    if drain.scope == 'availability_zone':
        return target.availability_zone == drain.name
    return any(
        target.availability_zone in region.availability_zones
        for region in configuration.regions
        if region.name == drain.name
    )
