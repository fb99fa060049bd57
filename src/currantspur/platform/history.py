"""Read past versions back."""

from collections.abc import Iterable

from currantspur.errors import ObjectMissingError
from currantspur.messages import Configuration, Head
from currantspur.platform.ports import Platform
from currantspur.platform.versions import (
    CONFIGURATION_SECTION,
    HEAD_KEY,
    decode_head,
    name_version,
    read_section,
)

READ_VERSIONS = 256


async def read_heads(
    platform: Platform, versions: Iterable[int]
) -> dict[int, Head]:
    """Return the heads of the versions that exist, all as of one moment."""
    wanted = {name_version(version): version for version in versions}
    rows = await platform.table.read(wanted)
    heads = {wanted[key]: decode_head(row) for key, row in rows.items()}
    return {version: head for version, head in heads.items() if head}


async def read_recent(platform: Platform, *, limit: int) -> list[Head]:
    """Return the newest heads, the newest first."""
    rows = await platform.table.read([HEAD_KEY])
    newest = decode_head(rows.get(HEAD_KEY))
    if newest is None:
        return []
    lowest = max(0, newest.version - limit)
    past = await read_heads(platform, range(lowest + 1, newest.version))
    return [newest, *(past[version] for version in sorted(past, reverse=True))]


async def read_past(
    platform: Platform, version: int
) -> tuple[Head, Configuration]:
    """Return a past version or raise ObjectMissingError."""
    heads = await read_heads(platform, [version])
    if version not in heads:
        raise ObjectMissingError(f'version {version}')
    head = heads[version]
    return head, await read_section(platform, head)


def has_configuration(head: Head) -> bool:
    """Tell whether a version holds a configuration."""
    return CONFIGURATION_SECTION in head.sections


def is_same_configuration(one: Head, other: Head) -> bool:
    """Tell whether two versions hold the same configuration."""
    return one.sections.get(CONFIGURATION_SECTION) == other.sections.get(
        CONFIGURATION_SECTION
    )


def select_changes(heads: Iterable[Head]) -> list[Head]:
    """Keep the heads that changed the configuration; the newest first."""
    kept: list[Head] = []
    for head in heads:
        if kept and is_same_configuration(kept[-1], head):
            kept[-1] = head
        else:
            kept.append(head)
    return kept
