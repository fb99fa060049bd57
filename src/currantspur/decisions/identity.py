"""Mint keys and verify them against their digests."""

import hashlib
import hmac
import re
import secrets
from collections.abc import Iterable

from currantspur.messages import Key

KEY_PATTERN = re.compile(r'ck_([0-9a-f]{16})_([A-Za-z0-9_-]{43})')
ID_BYTES = 8
SECRET_BYTES = 32
DIGEST_BYTES = 32
_NO_DIGEST = '00' * DIGEST_BYTES


class KeyRing:
    """Verify keys; a withdrawn one is simply not in the ring."""

    __slots__ = ('keys',)

    def __init__(self, keys: Iterable[Key]) -> None:
        self.keys = {key.key_id: key for key in keys}

    def find(self, secret_key: str) -> Key | None:
        """Return what is kept of a key, in constant time for each key id."""
        matched = KEY_PATTERN.fullmatch(secret_key)
        if matched is None:
            return None
        key_id, secret = matched.groups()
        key = self.keys.get(key_id)
        digest = key.digest if key else None
        return key if is_right(secret, key_id, digest) else None

    def holds(self, key_id: str | None) -> bool:
        """Tell whether a key that was found before is still there."""
        return key_id in self.keys


def digest_secret(key_id: str, secret: str) -> str:
    """Return the hexadecimal digest of a secret, keyed with its public id."""
    keyed = hashlib.blake2b(
        secret.encode(), key=key_id.encode(), digest_size=DIGEST_BYTES
    )
    return keyed.hexdigest()


def mint_key(team: str) -> tuple[str, Key]:
    """Return a new secret key, to be shown once, and what is kept of it."""
    key_id = secrets.token_hex(ID_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    kept = Key(key_id=key_id, team=team, digest=digest_secret(key_id, secret))
    return f'ck_{key_id}_{secret}', kept


def is_right(secret: str, key_id: str, digest: str | None) -> bool:
    """Compare a secret with a digest; an absent one takes the same time."""
    expected = digest or _NO_DIGEST
    is_equal = hmac.compare_digest(digest_secret(key_id, secret), expected)
    return is_equal and digest is not None
