"""Publish numbered versions and read them back."""

import time
from collections.abc import Mapping

import orjson
import xxhash

from currantspur.errors import ConflictError, ObjectMissingError, QuorumError
from currantspur.messages import (
    Change,
    Configuration,
    Head,
    Message,
    fields,
)
from currantspur.platform.ports import ABSENT, Platform, Row, Transaction
from currantspur.settings import print_configuration, read_configuration

HEAD_KEY = 'head'
CONFIGURATION_SECTION = 'configuration'


class Draft(Message):
    """Hold the next head, or the one that already holds the change."""

    __slots__ = ('expected', 'head', 'is_landed', 'needed')

    def __init__(
        self,
        *,
        head: Head,
        expected: int = ABSENT,
        needed: dict[str, str] | None = None,
        is_landed: bool = False,
    ) -> None:
        """Take the head row's version expected and who must acknowledge."""
        self.head = head
        self.expected = expected
        self.needed = needed or {}
        self.is_landed = is_landed


def decode_head(row: Row | None) -> Head | None:
    """Return the head that a row holds."""
    return decode_head_text(row.text) if row else None


def decode_head_text(text: str) -> Head:
    """Return the head that a text describes."""
    return Head(**orjson.loads(text))


def encode_head(head: Head) -> str:
    """Return the text of the row of a head."""
    return orjson.dumps(dict(fields(head))).decode()


async def read_head(platform: Platform) -> Head | None:
    """Return the newest head, or None before the first version."""
    rows = await platform.table.read([HEAD_KEY])
    return decode_head(rows.get(HEAD_KEY))


async def read_version(platform: Platform, version: int) -> Head:
    """Return the head of a past version."""
    key = name_version(version)
    rows = await platform.table.read([key])
    if key not in rows:
        raise ObjectMissingError(key)
    return decode_head_text(rows[key].text)


async def read_section(platform: Platform, head: Head) -> Configuration:
    """Return the configuration that a head names."""
    name = head.sections[CONFIGURATION_SECTION]
    body = await platform.object_store.get(name)
    return read_configuration(body.decode(), file=name)


async def publish(
    platform: Platform,
    configuration: Configuration,
    *,
    author: str,
    change_id: str,
    base_version: int,
) -> Head:
    """Commit a configuration as the next version or raise ConflictError."""
    body = print_configuration(configuration).encode()
    change = Change(
        change_id=change_id,
        base_version=base_version,
        sections={CONFIGURATION_SECTION: body},
        author=author,
    )
    return await publish_sections(platform, change)


async def publish_sections(platform: Platform, change: Change) -> Head:
    """Commit a change while no committers are named, else raise QuorumError."""
    names = await store_sections(platform, change)
    draft = await draft_head(platform, change, names)
    if draft.needed and not draft.is_landed:
        raise QuorumError('the committers have to acknowledge the change')
    return await send_draft(platform, draft, {})


async def store_sections(platform: Platform, change: Change) -> dict[str, str]:
    """Store the sections of a change and return their object names."""
    return {
        section: await _store(platform, section, body)
        for section, body in change.sections.items()
    }


async def draft_head(
    platform: Platform, change: Change, names: dict[str, str]
) -> Draft:
    """Read where the change stands; raise ConflictError if it lost.

    A change moves to a newer base whose configuration, and whose sections
    that it writes, are those of its own base.
    """
    own_row = name_change(change.change_id)
    base_row = name_version(change.base_version)
    next_row = name_version(change.base_version + 1)
    rows = await platform.table.read([HEAD_KEY, base_row, next_row, own_row])
    own = rows.get(own_row)
    if own is not None:
        head = await read_version(platform, int(own.text))
        return Draft(head=head, is_landed=True)
    newest = decode_head(rows.get(HEAD_KEY))
    if newest and _is_movable(change, decode_head(rows.get(base_row)), newest):
        change.base_version = newest.version
    _check_base(newest, decode_head(rows.get(next_row)), change)
    if newest is None:
        return Draft(head=_next_head(change, names))
    return Draft(
        head=_next_head(change, {**newest.sections, **names}),
        expected=rows[HEAD_KEY].version,
        needed=newest.committers,
    )


async def send_draft(
    platform: Platform, draft: Draft, conditions: Mapping[str, int]
) -> Head:
    """Write a draft under conditions, unless it has landed before."""
    head = draft.head
    if draft.is_landed:
        return head
    text = encode_head(head)
    await platform.table.commit(
        Transaction(
            conditions={**conditions, HEAD_KEY: draft.expected},
            writes={
                HEAD_KEY: text,
                name_version(head.version): text,
                name_change(head.change_id): str(head.version),
            },
        )
    )
    return head


def name_version(version: int) -> str:
    """Return the key of the row that keeps the head of a past version."""
    return f'version/{version:012}'


def name_change(change_id: str) -> str:
    """Return the key of the row that tells the version of a change."""
    return f'change/{change_id}'


def name_committer(instance: str) -> str:
    """Return the key of the row of a committer's newest incarnation."""
    return f'committer/{instance}'


def is_intact(name: str, body: bytes) -> bool:
    """Tell whether a body is the one that an object's name was made of."""
    return name.endswith(f'/{xxhash.xxh3_128_hexdigest(body)}')


async def _store(platform: Platform, section: str, body: bytes) -> str:
    name = f'{section}/{xxhash.xxh3_128_hexdigest(body)}'
    await platform.object_store.put(name, body)
    return name


def _is_movable(change: Change, base: Head | None, newest: Head) -> bool:
    if base is None or newest.version <= base.version:
        return False
    watched = (CONFIGURATION_SECTION, *change.sections)
    return all(
        base.sections.get(section) == newest.sections.get(section)
        for section in watched
    )


def _next_head(change: Change, sections: dict[str, str]) -> Head:
    return Head(
        version=change.base_version + 1,
        sections=sections,
        author=change.author,
        change_id=change.change_id,
        note=change.note,
        at_s=time.time(),
    )


def _check_base(
    newest: Head | None, winner: Head | None, change: Change
) -> None:
    version = newest.version if newest else 0
    if version == change.base_version:
        return
    won = winner or newest
    author = won.author if won else ''
    raise ConflictError(
        f'version {version} is newer than base {change.base_version}:'
        f' {author} won, {change.author} lost',
        author=author,
    )
