"""Publish numbered versions and read them back."""

import time

import orjson
import xxhash

from currantspur.errors import ConflictError
from currantspur.messages import Change, Configuration, Head, fields
from currantspur.platform.ports import ABSENT, Platform, Row, Transaction
from currantspur.settings import print_configuration, read_configuration

HEAD_KEY = 'head'
CONFIGURATION_SECTION = 'configuration'


def decode_head(row: Row | None) -> Head | None:
    """Return the head that a row holds."""
    if row is None:
        return None
    return Head(**orjson.loads(row.text))


def encode_head(head: Head) -> str:
    """Return the text of the row of a head."""
    return orjson.dumps(dict(fields(head))).decode()


async def read_head(platform: Platform) -> Head | None:
    """Return the newest head, or None before the first version."""
    rows = await platform.table.read([HEAD_KEY])
    return decode_head(rows.get(HEAD_KEY))


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
    """Commit a change as the next version or raise ConflictError."""
    names = {
        section: await _store(platform, section, body)
        for section, body in change.sections.items()
    }
    rows = await platform.table.read([HEAD_KEY])
    newest = decode_head(rows.get(HEAD_KEY))
    if newest is not None and newest.change_id == change.change_id:
        return newest
    _check_base(newest, change)
    head = Head(
        version=change.base_version + 1,
        sections={**(newest.sections if newest else {}), **names},
        author=change.author,
        change_id=change.change_id,
        note=change.note,
        at_s=time.time(),
    )
    text = encode_head(head)
    expected = rows[HEAD_KEY].version if newest else ABSENT
    await platform.table.commit(
        Transaction(
            conditions={HEAD_KEY: expected},
            writes={HEAD_KEY: text, name_version(head.version): text},
        )
    )
    return head


def name_version(version: int) -> str:
    """Return the key of the row that keeps the head of a past version."""
    return f'version/{version:012}'


async def _store(platform: Platform, section: str, body: bytes) -> str:
    name = f'{section}/{xxhash.xxh3_128_hexdigest(body)}'
    await platform.object_store.put(name, body)
    return name


def _check_base(newest: Head | None, change: Change) -> None:
    version = newest.version if newest else 0
    if version != change.base_version:
        raise ConflictError(
            f'version {version} is newer than base {change.base_version}',
            author=newest.author if newest else '',
        )
