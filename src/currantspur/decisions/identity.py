"""Find the team that holds a key."""

import hashlib
from collections.abc import Iterable

from currantspur.messages import Team

DIGEST_BYTES = 16


class ApiKeyIndex:
    """Keep digests of keys; a withdrawn key is simply not in the ring."""

    __slots__ = ('by_digest',)

    def __init__(self, teams: Iterable[Team] = ()) -> None:
        self.by_digest = {
            digest_key(key): team for team in teams for key in team.keys
        }

    def find(self, key: str | None) -> Team | None:
        """Return the team that holds a key."""
        if not key:
            return None
        return self.by_digest.get(digest_key(key))


def digest_key(key: str) -> bytes:
    """Return the digest under which a key is kept."""
    encoded = key.encode(errors='surrogateescape')
    return hashlib.blake2b(encoded, digest_size=DIGEST_BYTES).digest()
