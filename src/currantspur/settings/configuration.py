"""Read a configuration from its document, and print one."""

from collections.abc import Iterator
from typing import Any, cast, get_args

import yaml

from currantspur.messages import Message, fields
from currantspur.messages import configuration as written
from currantspur.messages.configuration import Configuration
from currantspur.settings.document import Cursor, Document
from currantspur.settings.places import read_block, read_site

DEADLINE_S = 10.0
SHORTEST_S = 0.001
LONGEST_S = 3600.0
CACHE_S = 5.0
STEP_S = 5.0
CONNECTIONS = 330
SMALLEST_SHARE = 0.001
KEY_ID_DIGITS = 16
DIGEST_DIGITS = 64
SCOPES = ('target', 'availability_zone', 'region')


def read_configuration(
    text: str, *, file: str = 'configuration'
) -> Configuration:
    """Parse a configuration; raise SettingsError with all findings."""
    document = Document(text, file=file)
    root = document.root
    configuration = Configuration(
        routes=tuple(map(_read_route, root.each('routes'))),
        teams=tuple(map(_read_team, root.each('teams'))),
        keys=tuple(map(_read_key, root.each('keys'))),
        targets=tuple(map(_read_target, root.each('targets'))),
        regions=tuple(map(_read_region, root.each('regions'))),
        links=tuple(map(_read_link, root.each('links'))),
        blocks=tuple(map(read_block, root.each('blocks'))),
        drains=tuple(map(_read_drain, root.each('drains'))),
        sites=tuple(map(read_site, root.each('sites'))),
        operators=tuple(map(read_operator, root.each('operators'))),
        steering=_read_steering(root.child('steering')),
    )
    root.finish()
    _check_references(root, configuration)
    document.close()
    return configuration


def print_configuration(configuration: Configuration) -> str:
    """Print a configuration as YAML; equal ones print equal bytes."""
    plain = to_plain(configuration)
    return yaml.dump(
        plain, Dumper=yaml.CSafeDumper, sort_keys=True, allow_unicode=True
    )


def to_plain(message: Any) -> Any:
    """Turn messages into mappings, lists and plain values."""
    if isinstance(message, Message):
        return {
            name: to_plain(member) for name, member in written_fields(message)
        }
    if isinstance(message, dict):
        return {name: to_plain(member) for name, member in message.items()}
    if isinstance(message, tuple | list):
        return [to_plain(member) for member in message]
    if isinstance(message, str | int | float | bool):
        return message
    return str(message)


def written_fields(message: Message) -> Iterator[tuple[str, Any]]:
    """Yield the fields of a message that hold something."""
    for name, member in fields(message):
        if member is not None and not _is_empty(member):
            yield name, member


def _is_empty(member: object) -> bool:
    return isinstance(member, tuple) and not member


def _read_route(cursor: Cursor) -> written.Route:
    route = written.Route(
        prefix=cursor.text('prefix'),
        service=cursor.text('service'),
        access=cast(
            'written.Access',
            cursor.choice('access', get_args(written.Access), 'keyed'),
        ),
        idempotent=cursor.flag('idempotent', default=True),
        deadline_s=cursor.number(
            'deadline_s', DEADLINE_S, low=SHORTEST_S, high=LONGEST_S
        ),
    )
    cursor.finish()
    if not route.prefix.startswith('/'):
        cursor.child('prefix').blame('expected a path that starts with /')
    return route


def _read_team(cursor: Cursor) -> written.Team:
    team = written.Team(
        name=cursor.text('name'),
        rate=cursor.number('rate'),
        burst=cursor.number('burst', low=1.0),
    )
    cursor.finish()
    return team


def _read_key(cursor: Cursor) -> written.Key:
    key = written.Key(
        key_id=cursor.hexadecimal('key_id', KEY_ID_DIGITS),
        team=cursor.text('team'),
        digest=cursor.hexadecimal('digest', DIGEST_DIGITS),
    )
    cursor.finish()
    return key


def read_operator(cursor: Cursor) -> written.Operator:
    """Read an operator; daemon settings hold the same form."""
    operator = written.Operator(
        name=cursor.text('name'),
        role=cast(
            'written.Role',
            cursor.choice('role', get_args(written.Role), 'read'),
        ),
        key_id=cursor.hexadecimal('key_id', KEY_ID_DIGITS),
        digest=cursor.hexadecimal('digest', DIGEST_DIGITS),
    )
    cursor.finish()
    return operator


def _read_target(cursor: Cursor) -> written.Target:
    target = written.Target(
        name=cursor.text('name'),
        service=cursor.text('service'),
        address=cursor.address('address'),
        availability_zone=cursor.text('availability_zone'),
        slots=int(cursor.number('slots', 3, low=1)),
        connections=int(cursor.number('connections', CONNECTIONS, low=1)),
    )
    cursor.finish()
    return target


def _read_region(cursor: Cursor) -> written.Region:
    region = written.Region(
        name=cursor.text('name'),
        availability_zones=tuple(_read_names(cursor, 'availability_zones')),
        intake_rate=cursor.number('intake_rate'),
        intake_burst=cursor.number('intake_burst', low=1.0),
    )
    cursor.finish()
    return region


def _read_names(cursor: Cursor, name: str) -> Iterator[str]:
    for member in cursor.each(name):
        if member.node is None or not isinstance(member.node.value, str):
            member.blame('expected a text')
            continue
        yield member.node.value


def _read_link(cursor: Cursor) -> written.Link:
    link = written.Link(
        origin=cursor.text('origin'),
        destination=cursor.text('destination'),
        mbit_s=cursor.number('mbit_s'),
    )
    cursor.finish()
    return link


def _read_drain(cursor: Cursor) -> written.Drain:
    drain = written.Drain(
        drain_id=cursor.text('drain_id'),
        scope=cast('Any', cursor.choice('scope', SCOPES, 'target')),
        name=cursor.text('name'),
        start_s=cursor.number('start_s', 0.0),
        pace=cursor.number('pace', 1.0, low=SMALLEST_SHARE, high=1.0),
        paused=cursor.flag('paused', default=False),
    )
    cursor.finish()
    return drain


def _read_steering(cursor: Cursor) -> written.Steering:
    steering = written.Steering(
        cache_s=cursor.number('cache_s', CACHE_S, low=0.1, high=LONGEST_S),
        shift_cap=cursor.number('shift_cap', 0.1, low=SMALLEST_SHARE, high=1.0),
        step_s=cursor.number('step_s', STEP_S, low=0.1, high=LONGEST_S),
        objective=cast(
            'written.Objective',
            cursor.choice('objective', get_args(written.Objective), 'fairness'),
        ),
    )
    cursor.finish()
    return steering


def _check_references(root: Cursor, configuration: Configuration) -> None:
    zones = {
        zone
        for region in configuration.regions
        for zone in region.availability_zones
    }
    regions = {region.name for region in configuration.regions}
    teams = {team.name for team in configuration.teams}
    services = {route.service for route in configuration.routes}
    _check_names(root, 'targets', 'availability_zone', zones)
    _check_names(root, 'targets', 'service', services)
    _check_names(root, 'keys', 'team', teams)
    _check_names(root, 'links', 'origin', regions)
    _check_names(root, 'links', 'destination', regions)
    sites = {site.name for site in configuration.sites}
    _check_names(root, 'sites', 'availability_zone', zones)
    _check_names(root, 'blocks', 'site', zones | sites)
    for section in ('teams', 'targets', 'regions', 'sites'):
        _check_unique(root, section, 'name')
    for section, name in (
        ('keys', 'key_id'),
        ('operators', 'key_id'),
        ('routes', 'prefix'),
        ('drains', 'drain_id'),
    ):
        _check_unique(root, section, name)


def _check_names(
    root: Cursor, section: str, name: str, known: set[str]
) -> None:
    for member in root.each(section):
        place = member.child(name)
        if not place.absent and _read_scalar(place) not in known:
            place.blame(f'no such name: {_read_scalar(place)}')


def _check_unique(root: Cursor, section: str, name: str) -> None:
    seen: set[str] = set()
    for member in root.each(section):
        place = member.child(name)
        if _read_scalar(place) in seen:
            place.blame(f'given twice: {_read_scalar(place)}')
        seen.add(_read_scalar(place))


def _read_scalar(place: Cursor) -> str:
    return str(place.node.value) if place.node else ''
