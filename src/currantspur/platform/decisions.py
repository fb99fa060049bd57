"""Keep decisions as objects in batches."""

from collections.abc import Iterable
from typing import Any

import orjson

from currantspur.messages import Decision, Evidence
from currantspur.platform.ports import ObjectStore
from currantspur.settings import to_plain


def encode_decisions(decisions: Iterable[Decision]) -> bytes:
    """Return the JSON form of a batch."""
    return orjson.dumps([to_plain(decision) for decision in decisions])


def decode_decisions(body: bytes) -> list[Decision]:
    """Return the decisions of a batch."""
    return [decode_decision(plain) for plain in orjson.loads(body)]


def decode_decision(plain: dict[str, Any]) -> Decision:
    """Return the decision that a JSON form describes."""
    evidence = tuple(Evidence(**each) for each in plain.get('evidence', ()))
    rejected = tuple(plain.get('rejected', ()))
    return Decision(**{**plain, 'evidence': evidence, 'rejected': rejected})


async def store_decisions(
    store: ObjectStore, name: str, decisions: Iterable[Decision]
) -> None:
    """Store a batch under a name."""
    await store.put(name, encode_decisions(decisions))
