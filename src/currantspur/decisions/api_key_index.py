"""Identify teams by their API keys."""

import hashlib
from collections.abc import Sequence

from currantspur.messages import Team

# 128 bits: a collision of two keys is practically impossible.
DIGEST_BYTES = 16


class ApiKeyIndex:
    """Find teams by digests of their API keys.

    The keys themselves are not kept. A withdrawn key, which the configuration
    no longer lists, is not found. Requests need a key as soon as there is a
    team, also while no team has one.
    """

    __slots__ = ('by_digest', 'requires_key')

    def __init__(self, teams: Sequence[Team] = ()) -> None:
        self.requires_key = bool(teams)
        self.by_digest = {
            digest_key(key): team for team in teams for key in team.keys
        }

    def find(self, key: str | None) -> Team | None:
        """Return the team that owns a key; None if no team does."""
        if not key:
            return None
        return self.by_digest.get(digest_key(key))


def digest_key(key: str) -> bytes:
    """Return the BLAKE2b digest of a key; any header value is accepted."""
    encoded = key.encode(errors='surrogateescape')
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()
