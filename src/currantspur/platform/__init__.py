"""Reach the platform through abstract ports."""

from currantspur.platform.ports import (
    ABSENT,
    InstanceList,
    ObjectStore,
    Platform,
    Row,
    Table,
    Transaction,
)
from currantspur.platform.versions import (
    publish,
    publish_sections,
    read_head,
    read_section,
)

__all__ = (
    'ABSENT',
    'InstanceList',
    'ObjectStore',
    'Platform',
    'Row',
    'Table',
    'Transaction',
    'publish',
    'publish_sections',
    'read_head',
    'read_section',
)
