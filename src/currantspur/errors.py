"""Define every error of the project in one tree."""

from collections.abc import Sequence
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from currantspur.messages.operators import Rejection
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


class EditError(CurrantspurError):
    """Report a change that does not fit the newest configuration."""


class QuorumError(PlatformError):
    """Report that no majority of committers acknowledged: nothing written."""


class TakenError(EditError):
    """Report a name that is in use already."""


class ForbiddenError(CurrantspurError):
    """Report an operator who may not do what was asked."""


class RejectedError(CurrantspurError):
    """Carry the reason why an operator's request was not carried out."""

    def __init__(self, rejection: 'Rejection') -> None:
        super().__init__(rejection.detail)
        self.rejection = rejection


class PeerAwayError(CurrantspurError):
    """Report that a peer gave no answer in time."""


class LoadError(CurrantspurError):
    """Report a load run that may not start."""


class TaskFailedError(CurrantspurError):
    """Report that a task failed while it handled a message."""


class MailboxFullError(CurrantspurError):
    """Report that a task has more waiting messages than it may hold."""


class TargetError(CurrantspurError):
    """Report a failed exchange with a target."""

    def __init__(self, detail: str, *, sent: bool) -> None:
        """Take whether a byte of the request may have left."""
        super().__init__(detail)
        self.sent = sent


class TargetShedError(TargetError):
    """Report that a target said that it shed the request unrun."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, sent=False)


class TargetTimeoutError(TargetError):
    """Report that the time of an exchange with a target ran out."""


class CallError(CurrantspurError):
    """Report a request for which a caller got no whole answer."""

    def __init__(self, detail: str, *, sent: bool) -> None:
        """Take whether the request may have reached an entry."""
        super().__init__(detail)
        self.sent = sent
