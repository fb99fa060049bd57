"""Decide whether what an instance knows is proven new enough to act on."""

from currantspur.messages import Proof, ProofAnswer


class Freshness:
    """Keep the youngest proof of the version in force."""

    __slots__ = ('limit_s', 'proven_at', 'version')

    def __init__(self, *, limit_s: float) -> None:
        self.limit_s = limit_s
        self.version = 0
        self.proven_at = float('-inf')

    def accept(self, proof: Proof) -> None:
        """Take a proof; one of an older version says nothing."""
        if proof.version > self.version:
            self.version = proof.version
            self.proven_at = proof.proven_at
        elif proof.version == self.version:
            self.proven_at = max(self.proven_at, proof.proven_at)

    def age_s(self, at: float) -> float:
        """Return the age of the proof."""
        return at - self.proven_at

    def is_fresh(self, at: float, *, version: int) -> bool:
        """Tell whether a version is the proven one and young enough."""
        return version == self.version and self.age_s(at) <= self.limit_s


def pass_on(
    proof: Proof, at: float, *, answerer: str, vouches: bool = False
) -> ProofAnswer:
    """Return a proof with its age, for a peer whose clock differs."""
    return ProofAnswer(
        answerer=answerer,
        version=proof.version,
        age_s=max(0.0, at - proof.proven_at),
        vouches=vouches,
    )


def adopt(answer: ProofAnswer, asked_at: float) -> Proof:
    """Count the age of a passed proof from before the question was sent."""
    return Proof(
        version=answer.version,
        proven_at=asked_at - max(0.0, answer.age_s),
        source=answer.answerer,
    )
