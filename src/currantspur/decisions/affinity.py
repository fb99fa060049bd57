"""Rank targets for an object in the same way on every instance."""

from xxhash import xxh64_intdigest

WEIGHT_BITS = 64
# Weights are evenly spread below this.
WEIGHTS = float(1 << WEIGHT_BITS)


def rendezvous_weight(object_key: str, target: str) -> int:
    """Return the rendezvous weight of a target for an object."""
    return xxh64_intdigest(f'{object_key}\0{target}'.encode())


def hash_position(object_key: str | None, service: str) -> float | None:
    """Return where an object stands among all of a service, from 0 to 1."""
    if object_key is None:
        return None
    return rendezvous_weight(object_key, service) / WEIGHTS
