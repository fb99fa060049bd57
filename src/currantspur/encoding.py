"""Values that were decoded from what other programs sent."""

from typing import Any

# Larger integers are not exact as floats (2 to the power of 53), and those over
# 64 bits do not fit into the JSON of other messages.
MAX_COUNT = 9_007_199_254_740_992
# Beyond all rates, seconds and link speeds; sums and products stay finite.
MAX_AMOUNT = 1e15


def is_utf8(text: str) -> bool:
    """Tell whether text can be encoded: other bytes are held as surrogates."""
    if text.isascii():
        return True
    try:
        text.encode()
    except UnicodeEncodeError:
        return False
    return True


def parse_amount(decoded: Any) -> float:
    """Return a number from 0 to MAX_AMOUNT; raise MALFORMED_INPUT_ERRORS."""
    amount = float(decoded)
    # Also false for NaN.
    if not 0 <= amount <= MAX_AMOUNT:
        raise ValueError('a number is out of range')
    return amount


def parse_count(decoded: Any, *, most: int = MAX_COUNT) -> int:
    """Return a whole number from 0 to `most`; raise MALFORMED_INPUT_ERRORS."""
    count = int(decoded)
    if not 0 <= count <= most:
        raise ValueError('a count is out of range')
    return count
