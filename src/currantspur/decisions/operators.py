"""Let operators in by their keys and roles."""

import re
import secrets
from collections.abc import Iterable
from types import MappingProxyType
from typing import Final

from currantspur.decisions.identity import (
    ID_BYTES,
    SECRET_BYTES,
    digest_secret,
    is_right,
)
from currantspur.messages import Operator, Role

OPERATOR_KEY_PATTERN = re.compile(r'co_([0-9a-f]{16})_([A-Za-z0-9_-]{43})')
RANKS: Final = MappingProxyType({'read': 0, 'drain': 1, 'change': 2})


class OperatorRing:
    """Verify operator keys; a withdrawn one is simply not in the ring."""

    __slots__ = ('operators',)

    def __init__(self, operators: Iterable[Operator]) -> None:
        self.operators = {one.key_id: one for one in operators}

    def find(self, secret_key: str) -> Operator | None:
        """Return the operator of a key, in constant time for each key id."""
        matched = OPERATOR_KEY_PATTERN.fullmatch(secret_key)
        if matched is None:
            return None
        key_id, secret = matched.groups()
        operator = self.operators.get(key_id)
        digest = operator.digest if operator else None
        return operator if is_right(secret, key_id, digest) else None

    def holds(self, operator: Operator) -> bool:
        """Tell whether an operator has the same key and role here."""
        return self.operators.get(operator.key_id) == operator


def may(operator: Operator, role: Role) -> bool:
    """Tell whether an operator's role includes another."""
    return RANKS[operator.role] >= RANKS[role]


def mint_operator_key(name: str, role: Role) -> tuple[str, Operator]:
    """Return a new secret key, to be shown once, and what is kept of it."""
    key_id = secrets.token_hex(ID_BYTES)
    secret = secrets.token_urlsafe(SECRET_BYTES)
    digest = digest_secret(key_id, secret)
    kept = Operator(name=name, role=role, key_id=key_id, digest=digest)
    return f'co_{key_id}_{secret}', kept
