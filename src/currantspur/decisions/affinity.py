"""Rank targets for an object in the same way on every instance."""

from xxhash import xxh64_intdigest

WEIGHT_BITS = 64
# Weights are spread evenly from 0 up to, but not including, this.
WEIGHT_LIMIT = float(1 << WEIGHT_BITS)


def rendezvous_weight(object_key: str, target: str) -> int:
    """Return the rendezvous weight of a target for an object, 64 bits wide.

    The target of the highest weight comes first for the object.
    """
    return xxh64_intdigest(f'{object_key}\0{target}'.encode())


def hash_position(object_key: str | None, service: str) -> float | None:
    """Return the position of an object among those of a service, from 0 to 1.

    Positions are spread evenly and are the same on every instance. Return None
    for a request without an object.
    """
    if object_key is None:
        return None
    return rendezvous_weight(object_key, service) / WEIGHT_LIMIT
