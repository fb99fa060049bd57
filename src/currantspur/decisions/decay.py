"""Let old measurements fade."""


def decay(amount: float, seconds: float, half_life_s: float) -> float:
    """Return an amount that halves in each half-life; ages are not negative."""
    # Mostly nothing is left to fade, and each target compared needs this.
    if not amount:
        return 0.0
    return float(amount * 0.5 ** (max(0.0, seconds) / half_life_s))
