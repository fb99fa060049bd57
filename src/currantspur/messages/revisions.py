"""Revisions of the store, in the order in which it went through them.

A store that comes back from a copy begins a new era, in which it gives out
versions again. The era is in the high bits of a revision, so that each revision
is above all of the eras before.
"""

from typing import Any

from currantspur.encoding import parse_count

VERSION_BITS = 40
MAX_VERSION = (1 << VERSION_BITS) - 1
# Rises each time when the store comes back from a copy.
MAX_ERA = 1_000_000
# Stands for no revision at all.
NO_REVISION = -1


def make_revision(*, era: int, version: int) -> int:
    """Return the revision of a version of an era, or NO_REVISION."""
    return NO_REVISION if version < 0 else (era << VERSION_BITS) + version


def parse_revision(era: Any, version: Any) -> int:
    """Return the revision of decoded values, version -1 being none.

    Raise ValueError or TypeError if they are malformed.
    """
    return make_revision(
        era=parse_count(era, most=MAX_ERA),
        version=parse_count(int(version) + 1, most=MAX_VERSION) - 1,
    )


def get_era(revision: int) -> int:
    """Return the era of a revision, -1 for NO_REVISION."""
    return revision >> VERSION_BITS


def get_version(revision: int) -> int:
    """Return the version within its era, -1 for NO_REVISION."""
    if revision < 0:
        return NO_REVISION
    return revision & MAX_VERSION
