"""Check promises on the hits of a load run."""

from abc import ABC, abstractmethod
from collections.abc import Iterator, Mapping, Sequence

from currantspur.load.messages import Allowance, Hit, Violation

FIRST_REFUSAL = 400
ALLOWED_SLACK = 1e-6


class Check(ABC):
    """Look for violations of one promise."""

    __slots__ = ()

    @abstractmethod
    def tried(self, hits: Sequence[Hit]) -> int:
        """Return how many hits could have broken the promise."""

    @abstractmethod
    def find(self, hits: Sequence[Hit]) -> Iterator[Violation]:
        """Yield every violation found."""


class RightAnswer(Check):
    """Hold that each answer belongs to its request and is whole."""

    __slots__ = ()

    def tried(self, hits: Sequence[Hit]) -> int:
        """Count the answers."""
        return sum(1 for hit in hits if is_served(hit))

    def find(self, hits: Sequence[Hit]) -> Iterator[Violation]:
        """Yield answers that belong to another request."""
        for hit in hits:
            if is_served(hit) and not hit.is_right:
                yield Violation(
                    promise='right answer', example=hit.shot.request_id
                )


class AtMostOnce(Check):
    """Hold that no submission ran twice."""

    __slots__ = ('runs',)

    def __init__(self, runs: Mapping[str, int]) -> None:
        self.runs = runs

    def tried(self, hits: Sequence[Hit]) -> int:
        """Count the submissions sent."""
        return len({hit.shot.submission for hit in hits} - {None})

    def find(self, hits: Sequence[Hit]) -> Iterator[Violation]:
        """Yield submissions that targets ran more than once."""
        for submission in sorted(
            {hit.shot.submission for hit in hits if hit.shot.submission}
        ):
            count = self.runs.get(submission, 0)
            if count > 1:
                yield Violation(
                    promise='at most once',
                    example=f'{submission} ran {count} times',
                )


class TrueNotRun(Check):
    """Hold that what was refused as not run did not run."""

    __slots__ = ('runs',)

    def __init__(self, runs: Mapping[str, int]) -> None:
        self.runs = runs

    def tried(self, hits: Sequence[Hit]) -> int:
        """Count the refusals that say so."""
        return sum(1 for hit in hits if hit.not_run)

    def find(self, hits: Sequence[Hit]) -> Iterator[Violation]:
        """Yield requests that ran though every answer to them said not run."""
        excused = {
            hit.shot.submission
            for hit in hits
            if hit.shot.submission and not hit.not_run
        }
        for hit in hits:
            if not hit.not_run or hit.shot.submission in excused:
                continue
            name = hit.shot.submission or hit.shot.request_id
            if self.runs.get(name, 0):
                yield Violation(promise='true not run', example=name)


class WithinRate(Check):
    """Hold that a team stays within rate and burst over every window."""

    __slots__ = ('allowance',)

    def __init__(self, allowance: Allowance) -> None:
        self.allowance = allowance

    def tried(self, hits: Sequence[Hit]) -> int:
        """Count what the team was served."""
        return sum(1 for hit in hits if self._counts(hit))

    def find(self, hits: Sequence[Hit]) -> Iterator[Violation]:
        """Yield the window that exceeds the allowance most, if one does.

        A request was admitted between being sent and being answered, so the
        requests sent after one time and answered before another were surely
        admitted between these times.
        """
        served = sorted(
            (hit for hit in hits if self._counts(hit)),
            key=lambda hit: hit.ended_s,
        )
        worst = max(
            (self._excess(served, first) for first in served), default=0.0
        )
        if worst > ALLOWED_SLACK:
            yield Violation(
                promise='rate and burst',
                example=f'{self.allowance.team}: {worst:.1f} over',
            )

    def _counts(self, hit: Hit) -> bool:
        mix = hit.shot.mix
        return mix is not None and (
            mix.team == self.allowance.team and is_served(hit)
        )

    def _excess(self, served: Sequence[Hit], first: Hit) -> float:
        count = 0
        worst = float('-inf')
        for hit in served:
            if hit.sent_s < first.sent_s:
                continue
            count += 1
            window_s = hit.ended_s - first.sent_s
            allowed = self.allowance.rate * window_s + self.allowance.burst
            worst = max(worst, count - allowed)
        return worst


def is_served(hit: Hit) -> bool:
    """Tell whether a target's answer came back."""
    return 0 < hit.status < FIRST_REFUSAL


def run_checks(
    checks: Sequence[Check], hits: Sequence[Hit]
) -> Iterator[Violation]:
    """Yield the violations that any check finds."""
    for check in checks:
        yield from check.find(hits)
