"""Rank targets for an object, or instances, equally on every instance."""

from xxhash import xxh64_intdigest

WEIGHT_BITS = 64
# Weights are spread evenly from 0 up to, but not including, this.
WEIGHT_LIMIT = float(1 << WEIGHT_BITS)


def rendezvous_weight(key: str, member: str) -> int:
    """Return the rendezvous weight of a member for a key, 64 bits wide.

    The member of the highest weight comes first for the key. Mostly the key is
    an object and the members are targets; instances are ranked in this way too.
    """
    return xxh64_intdigest(f'{key}\0{member}'.encode())


def draw_uniform(key: str, member: str) -> float:
    """Return a number from 0 to 1 that is always the same for both names."""
    return rendezvous_weight(key, member) / WEIGHT_LIMIT


def hash_position(object_key: str | None, service: str) -> float | None:
    """Return the position of an object among those of a service, from 0 to 1.

    Positions are spread evenly and are the same on every instance. Return None
    for a request without an object.
    """
    if object_key is None:
        return None
    return draw_uniform(object_key, service)
