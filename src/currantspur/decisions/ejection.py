"""Judge targets by what this instance saw of them itself."""

from collections.abc import Collection

from currantspur.messages.traffic import Verdict

FAILURES_TO_EJECT = 3
FIRST_EJECTION_S = 1.0
LONGEST_EJECTION_S = 60.0
RAMP_S = 5.0
LEAST_SHARE = 0.2
EJECTED_SHARE = 0.5


class Conduct:
    """Hold what was seen of one target."""

    __slots__ = ('ejections', 'failures', 'returns_at')

    def __init__(self) -> None:
        self.failures = 0
        self.ejections = 0
        self.returns_at = float('-inf')


class Ejector:
    """Take targets out that fail in a row; let them return gradually."""

    __slots__ = ('conducts',)

    def __init__(self) -> None:
        self.conducts: dict[str, Conduct] = {}

    def note(
        self,
        target: str,
        verdict: Verdict,
        *,
        fellows: Collection[str],
        at: float,
    ) -> bool:
        """Take what came of an exchange; tell whether this ejects."""
        if verdict == 'succeeded':
            self._forgive(target, at)
            return False
        if verdict != 'failed':
            return False
        conduct = self.conducts.setdefault(target, Conduct())
        conduct.failures += 1
        if conduct.failures < FAILURES_TO_EJECT or conduct.returns_at > at:
            return False
        if not self._may_eject(fellows, at):
            return False
        pause_s = FIRST_EJECTION_S * 2**conduct.ejections
        conduct.returns_at = at + min(LONGEST_EJECTION_S, pause_s)
        conduct.ejections += 1
        conduct.failures = FAILURES_TO_EJECT - 1
        return True

    def is_ejected(self, target: str, at: float) -> bool:
        """Tell whether a target gets no work now."""
        conduct = self.conducts.get(target)
        return conduct is not None and conduct.returns_at > at

    def share(self, target: str, at: float) -> float:
        """Return the share of its slots that a target may use now."""
        conduct = self.conducts.get(target)
        if conduct is None:
            return 1.0
        if conduct.returns_at > at:
            return 0.0
        grown = (at - conduct.returns_at) / RAMP_S
        return min(1.0, max(LEAST_SHARE, grown))

    def _may_eject(self, fellows: Collection[str], at: float) -> bool:
        out = sum(self.is_ejected(fellow, at) for fellow in fellows)
        return out + 1 <= len(fellows) * EJECTED_SHARE

    def _forgive(self, target: str, at: float) -> None:
        conduct = self.conducts.get(target)
        if conduct is None:
            return
        conduct.failures = 0
        if at >= conduct.returns_at + RAMP_S:
            self.conducts.pop(target)
