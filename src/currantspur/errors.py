"""Define every error of the project in one tree."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantspur.settings.findings import Finding


class CurrantspurError(Exception):
    """Stand at the root of the tree."""


class SettingsError(CurrantspurError):
    """Report every finding of one or more documents together."""

    def __init__(self, findings: 'Sequence[Finding]') -> None:
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class ListenError(CurrantspurError):
    """Report an address that could not be bound."""


class PlatformError(CurrantspurError):
    """Stand above the errors of the platform."""


class PlatformAwayError(PlatformError):
    """Report that the platform gave no answer: a write may have happened."""


class OutcomeUnknownError(PlatformAwayError):
    """Report that a change was sent and its answer is still missing."""


class ObjectMissingError(PlatformError):
    """Report that no object has the name asked for."""


class ConflictError(PlatformError):
    """Report that the condition of a transaction did not hold."""

    def __init__(self, detail: str, *, author: str = '') -> None:
        super().__init__(detail)
        self.author = author


class QuorumError(PlatformError):
    """Report that no majority of committers acknowledged: nothing written."""


class PeerAwayError(CurrantspurError):
    """Report that a peer gave no answer in time."""


class LoadError(CurrantspurError):
    """Report a load run that may not start."""


class MailboxFullError(CurrantspurError):
    """Report that a task has more waiting messages than it may hold."""


class TargetError(CurrantspurError):
    """Report a failed exchange with a target."""

    def __init__(self, detail: str, *, sent: bool) -> None:
        """Take whether a byte of the request may have left."""
        super().__init__(detail)
        self.sent = sent
