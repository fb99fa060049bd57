"""Publish numbered versions and read them back."""

import orjson
import xxhash

from currantspur.errors import ConflictError
from currantspur.messages import Configuration, Head
from currantspur.platform.ports import ABSENT, Platform, Row, Transaction
from currantspur.settings import print_configuration, read_configuration

HEAD_KEY = 'head'
CONFIGURATION_SECTION = 'configuration'


def decode_head(row: Row | None) -> Head | None:
    """Return the head that a row holds."""
    if row is None:
        return None
    plain = orjson.loads(row.text)
    return Head(
        version=plain['version'],
        sections=plain['sections'],
        author=plain['author'],
        change_id=plain['change_id'],
    )


def encode_head(head: Head) -> str:
    """Return the text of the row of a head."""
    return orjson.dumps(
        {
            'version': head.version,
            'sections': head.sections,
            'author': head.author,
            'change_id': head.change_id,
        }
    ).decode()


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
    name = f'configuration/{xxhash.xxh3_128_hexdigest(body)}'
    await platform.object_store.put(name, body)
    rows = await platform.table.read([HEAD_KEY])
    newest = decode_head(rows.get(HEAD_KEY))
    if newest is not None and newest.change_id == change_id:
        return newest
    newest_version = newest.version if newest else 0
    if newest_version != base_version:
        raise ConflictError(
            f'the newest version is not {base_version}',
            author=newest.author if newest else '',
        )
    head = Head(
        version=base_version + 1,
        sections={CONFIGURATION_SECTION: name},
        author=author,
        change_id=change_id,
    )
    expected = rows[HEAD_KEY].version if newest else ABSENT
    await platform.table.commit(
        Transaction(
            conditions={HEAD_KEY: expected},
            writes={HEAD_KEY: encode_head(head)},
        )
    )
    return head
