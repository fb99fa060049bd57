"""Pack documents with rates of teams into compressed datagrams."""

import zlib
from collections.abc import Mapping
from typing import Any

import orjson

from currantspur.encoding import parse_amount
from currantspur.messages.revisions import get_era, get_version, parse_revision

RATE_DECIMALS = 1
SLOTS_DECIMALS = 2
# While a datagram is too large, the lowest 1 + count // REMOVAL_DIVISOR rates
# are removed at a time.
REMOVAL_DIVISOR = 16
# Longer messages, which no instance sends, are truncated and so malformed.
MAX_DECOMPRESSED_BYTES = 65_536


def pack_with_rates(
    document: Mapping[str, Any],
    rates: Mapping[str, float],
    max_bytes: int,
    *,
    optional_parts: Mapping[str, Any],
) -> bytes:
    """Return a document and rates by team as compressed JSON.

    Of the optional parts those are added that fit beside all rates. Rates below
    0.1 requests per second are omitted, and so are the lowest rates if the
    datagram would be larger than `max_bytes`.
    """
    kept = round_rates(rates)
    # Limits of teams follow from their rates, which therefore come first.
    for name, part in optional_parts.items():
        with_part = {**document, name: part}
        if part and len(_compress(with_part, kept)) <= max_bytes:
            document = with_part
    datagram = _compress(document, kept)
    while kept and len(datagram) > max_bytes:
        for _ in range(1 + len(kept) // REMOVAL_DIVISOR):
            kept.popitem()
        datagram = _compress(document, kept)
    return datagram


def unpack(datagram: bytes) -> Any:
    """Return the document with its rates; raise ValueError if malformed."""
    try:
        text = zlib.decompressobj().decompress(datagram, MAX_DECOMPRESSED_BYTES)
    except zlib.error as error:
        raise ValueError('datagram is not zlib data') from error
    return orjson.loads(text)


def round_rates(rates: Mapping[str, float]) -> dict[str, float]:
    """Return the rates that are sent, the highest first."""
    by_rate = sorted(rates.items(), key=lambda pair: pair[1], reverse=True)
    return {
        name: round(rate, RATE_DECIMALS)
        for name, rate in by_rate
        if rate >= 10**-RATE_DECIMALS
    }


def round_slots(slots_by_service: Mapping[str, float]) -> dict[str, float]:
    """Return slots with the decimals that are sent."""
    return {
        service: round(slots, SLOTS_DECIMALS)
        for service, slots in slots_by_service.items()
    }


def parse_amounts(document: Any) -> dict[str, float]:
    """Return numbers by name."""
    return {
        str(name): parse_amount(amount) for name, amount in document.items()
    }


def split_revisions(revisions: Mapping[str, int]) -> dict[str, Any]:
    """Return the fields of a document for revisions by table.

    Versions are those of the latest era; older builds read them alone. Tables
    that were not read yet are left out.
    """
    era = max((0, *map(get_era, revisions.values())))
    return {
        'era': era,
        'revisions': {
            table: get_version(revision)
            for table, revision in revisions.items()
            if get_era(revision) == era
        },
    }


def parse_revisions(document: Any) -> dict[str, int]:
    """Return row revisions by table; those of older builds have no era."""
    era = document.get('era')
    # Older builds send -1 until they have read a table.
    if era is None or int(era) < 0:
        return {}
    return {
        str(table): parse_revision(era, version)
        for table, version in document['revisions'].items()
    }


def _compress(document: Mapping[str, Any], rates: Mapping[str, float]) -> bytes:
    return zlib.compress(orjson.dumps({**document, 'demand': rates}))
