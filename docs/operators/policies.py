"""An example: print a small configuration."""

from ipaddress import ip_network

from currantspur.authoring import (
    Block,
    Drain,
    Draft,
    Region,
    Route,
    Steering,
    Target,
    Team,
)

REGIONS = ('north', 'central', 'south')
RATES = {'harvest': 120.0, 'export': 40.0, 'cellar': 4.0}


def describe() -> Draft:
    """Describe three regions, two services and three teams."""
    draft = Draft()
    draft.add(Steering(objective='fairness', shift_cap=0.1))
    for index, name in enumerate(REGIONS, start=1):
        zones = (f'{name}-1', f'{name}-2')
        draft.add(
            Region(
                name=name,
                availability_zones=zones,
                intake_rate=400.0,
                intake_burst=400.0,
            ),
            Block(network=ip_network(f'10.{index}.0.0/16'), site=zones[0]),
            Target(
                name=f'status-{index}',
                service='status',
                address=f'192.0.2.{index}:8080',
                availability_zone=zones[0],
            ),
        )
    for team, rate in RATES.items():
        draft.add(Team(name=team, rate=rate, burst=rate * 2))
    draft.add(
        Route(prefix='/status', service='status'),
        Route(prefix='/help', service='status', access='open'),
        Drain(drain_id='spring', scope='target', name='status-3', paused=True),
    )
    return draft


if __name__ == '__main__':
    describe().write()
