"""Define every error of the project in one tree."""

from collections.abc import Sequence
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from currantspur.messages import ResponseHead
    from currantspur.settings.findings import Finding


# What reading a message of another shape raises.
MALFORMED_INPUT_ERRORS: Final = (
    AttributeError,
    KeyError,
    TypeError,
    ValueError,
)


class CurrantspurError(Exception):
    """Stand at the root of the tree."""


class SettingsError(CurrantspurError):
    """Report every finding of one or more documents together."""

    def __init__(self, findings: 'Sequence[Finding]') -> None:
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class ListenError(CurrantspurError):
    """Report an address that could not be bound."""


class StoreError(CurrantspurError):
    """Stand above the errors of the store."""


class StoreAwayError(StoreError):
    """Report that the store gave no answer: a write may have happened."""


class HistoryLostError(StoreError):
    """Report that the store no longer knows what followed a revision."""


class MalformedRowError(StoreError):
    """Report a row that cannot be understood."""


class TaskFailedError(CurrantspurError):
    """Report that a task failed while it handled a message."""


class MailboxFullError(CurrantspurError):
    """Report that a task has more waiting messages than it may hold."""


class BodyCutError(CurrantspurError):
    """Report a caller that left before its body was whole."""


class BodyTooLargeError(CurrantspurError):
    """Report a body over the limit for callers."""


class TargetError(CurrantspurError):
    """Report a failed exchange with a target."""

    def __init__(self, detail: str, *, may_have_been_sent: bool) -> None:
        """Take whether a byte of the request may have left."""
        super().__init__(detail)
        self.may_have_been_sent = may_have_been_sent


class TargetShedError(TargetError):
    """Report that a target said that it did not run the request."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, may_have_been_sent=False)


class TargetMovedError(TargetError):
    """Report that another target answers at the address."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, may_have_been_sent=False)


class TargetUnreachableError(TargetError):
    """Report that no connection to a target could be opened."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, may_have_been_sent=False)


class TargetTimeoutError(TargetError):
    """Report that the time of an exchange with a target ran out."""


class TargetFailedError(TargetError):
    """Carry the whole answer of a target that failed at a request."""

    def __init__(self, response: 'ResponseHead') -> None:
        super().__init__(f'status {response.status}', may_have_been_sent=True)
        self.response = response
