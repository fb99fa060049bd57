"""Compare configurations value by value, and find who set each."""

from collections.abc import Iterable, Iterator
from types import MappingProxyType
from typing import Any, Final

from currantspur.messages import Configuration, Head, Message, fields
from currantspur.messages.operators import Blame, Difference, Plain

IDENTITIES: Final = MappingProxyType(
    {
        'blocks': ('network',),
        'drains': ('drain_id',),
        'keys': ('key_id',),
        'links': ('origin', 'destination'),
        'operators': ('key_id',),
        'regions': ('name',),
        'routes': ('prefix',),
        'targets': ('name',),
        'teams': ('name',),
    }
)


def flatten(configuration: Configuration) -> dict[str, Plain]:
    """Return every value by its path, such as teams[team-1].rate."""
    return dict(_walk_sections(configuration))


def compare(before: Configuration, after: Configuration) -> list[Difference]:
    """List the values that differ, by path."""
    old = flatten(before)
    new = flatten(after)
    return [
        Difference(path=path, before=old.get(path), after=new.get(path))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    ]


def blame(
    versions: Iterable[tuple[Head, Configuration]], path: str
) -> list[Blame]:
    """Name who set each value below a path; take the newest version first."""
    found: dict[str, Blame] = {}
    wanted: dict[str, Plain] | None = None
    for head, configuration in versions:
        settings = _select(flatten(configuration), path)
        if wanted is None:
            wanted = settings
        unsettled = _carry(wanted, settings, found, head)
        if not unsettled:
            break
    return [found[name] for name in sorted(found)]


def _carry(
    wanted: dict[str, Plain],
    settings: dict[str, Plain],
    found: dict[str, Blame],
    head: Head,
) -> bool:
    same = {name for name in wanted if settings.get(name) == wanted[name]}
    for name in wanted.keys() - same:
        wanted.pop(name)
    for name in same:
        found[name] = Blame(path=name, setting=wanted[name], head=head)
    return bool(wanted)


def _select(settings: dict[str, Plain], path: str) -> dict[str, Plain]:
    return {
        name: setting
        for name, setting in settings.items()
        if name == path or name.startswith((f'{path}.', f'{path}['))
    }


def _walk_sections(configuration: Configuration) -> Iterator[tuple[str, Plain]]:
    for section, members in fields(configuration):
        if isinstance(members, tuple):
            for member in members:
                name = _name_member(section, member)
                yield from _walk(f'{section}[{name}]', member)
        elif isinstance(members, Message):
            yield from _walk(section, members)


def _name_member(section: str, member: Any) -> str:
    if isinstance(member, Message) and section in IDENTITIES:
        named = (getattr(member, one) for one in IDENTITIES[section])
        return '/'.join(map(str, named))
    return str(member)


def _walk(path: str, member: Any) -> Iterator[tuple[str, Plain]]:
    if isinstance(member, Message):
        for name, inner in fields(member):
            yield from _walk(f'{path}.{name}', inner)
    elif member is not None:
        yield path, _to_scalar(member)


def _to_scalar(member: Any) -> Plain:
    if isinstance(member, tuple):
        return ', '.join(map(str, member))
    if isinstance(member, str | int | float | bool):
        return member
    return str(member)
