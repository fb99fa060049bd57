"""Mint idempotency keys whose claims expire by a stated rule."""

from datetime import UTC, datetime
from uuid import uuid4


def mint_idempotency_key() -> str:
    """Return a new key that begins with today's date."""
    return f'{datetime.now(tz=UTC).date().isoformat()}/{uuid4().hex}'
