"""Decide which part of a limit is in effect while plans change."""

from collections.abc import Iterable, Mapping

from currantspur.messages import Message, Part

# A reader's clock may run this much of the freshness bound too fast.
MARGIN_SHARE = 0.1


class _Learnt(Message):
    """Keep the parts of a version and when a newer one was learnt."""

    __slots__ = ('parts', 'superseded_at')

    def __init__(
        self,
        parts: Mapping[str, Part] | None,
        superseded_at: float | None = None,
    ) -> None:
        self.parts = parts
        self.superseded_at = superseded_at


class PlanWindow:
    """Give the smallest part of all versions that a fresh peer may run.

    A peer that is fresh runs a version that was the newest at most the
    freshness bound ago, so this instance learnt of the next one at most that
    long ago. The smallest such version is in the window of every fresh
    instance, and the parts in effect sum to no more than its total.
    """

    __slots__ = ('learnt', 'settle_s', 'version')

    def __init__(self, *, freshness_s: float) -> None:
        self.settle_s = freshness_s * (1 + MARGIN_SHARE)
        self.version = 0
        self.learnt: list[_Learnt] = []

    def learn(
        self,
        version: int,
        parts: Mapping[str, Part],
        at: float,
        skipped: Iterable[Mapping[str, Part]] | None = (),
    ) -> bool:
        """Take a newer version and all skipped before it (None: unknown)."""
        if version <= self.version:
            return False
        for known in self.learnt:
            if known.superseded_at is None:
                known.superseded_at = at
        if not self.version or skipped is None:
            self.learnt.append(_Learnt(None, at))
        self.learnt.extend(_Learnt(one, at) for one in skipped or ())
        self.learnt.append(_Learnt(parts))
        self.version = version
        return True

    def settle(self, at: float) -> dict[str, Part]:
        """Return the parts in effect; what is unknown counts as nothing."""
        self.learnt = [
            one
            for one in self.learnt
            if one.superseded_at is None
            or one.superseded_at + self.settle_s > at
        ]
        if not self.learnt or any(one.parts is None for one in self.learnt):
            return {}
        return _smallest([one.parts or {} for one in self.learnt])

    def next_change(self) -> float | None:
        """Return when an older version next leaves the window."""
        ends = [
            one.superseded_at + self.settle_s
            for one in self.learnt
            if one.superseded_at is not None
        ]
        return min(ends, default=None)


def _smallest(versions: list[Mapping[str, Part]]) -> dict[str, Part]:
    names = set(versions[0]).intersection(*versions[1:])
    return {
        name: Part(
            rate=min(version[name].rate for version in versions),
            burst=min(version[name].burst for version in versions),
        )
        for name in sorted(names)
    }
