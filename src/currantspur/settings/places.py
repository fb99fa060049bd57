"""Read blocks and sites of clients from their document."""

from currantspur.messages import configuration as written
from currantspur.settings.document import Cursor


def read_block(cursor: Cursor) -> written.Block:
    """Return the block at a place."""
    block = written.Block(
        network=cursor.network('network'), site=cursor.text('site')
    )
    cursor.finish()
    return block


def read_site(cursor: Cursor) -> written.Site:
    """Return the site at a place."""
    site = written.Site(
        name=cursor.text('name'),
        availability_zone=cursor.text('availability_zone'),
    )
    cursor.finish()
    return site
