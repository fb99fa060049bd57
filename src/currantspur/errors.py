"""All errors of the project, with one base class."""

from collections.abc import Sequence
from typing import TYPE_CHECKING, Final

if TYPE_CHECKING:
    from currantspur.messages import ResponseHead, TargetSignals
    from currantspur.settings.findings import Finding


# Raised when decoded input has an unexpected structure.
MALFORMED_INPUT_ERRORS: Final = (
    AttributeError,
    KeyError,
    OverflowError,
    TypeError,
    ValueError,
)


class CurrantspurError(Exception):
    """Base class of all errors of the project."""


class SettingsError(CurrantspurError):
    """Settings are wrong; ``findings`` has all findings of the documents."""

    def __init__(self, findings: 'Sequence[Finding]') -> None:
        super().__init__('\n'.join(str(finding) for finding in findings))
        self.findings = tuple(findings)


class ListenError(CurrantspurError):
    """An address could not be bound."""


class StoreError(CurrantspurError):
    """Base class of the errors of the store and of its rows."""


class StoreAwayError(StoreError):
    """The store or a peer gave no usable response.

    A write may have been applied.
    """


class HistoryLostError(StoreError):
    """The store no longer has the changes after a revision.

    The whole table has to be read again.
    """


class MalformedRowError(StoreError):
    """A row could not be decoded."""


class TaskFailedError(CurrantspurError):
    """A task failed while it handled a message, or ended unexpectedly."""


class MailboxFullError(CurrantspurError):
    """The mailbox of a task is full; the message was not queued."""


class RouteQueryError(CurrantspurError):
    """A question where a request would go is malformed."""


class NoAnswerError(CurrantspurError):
    """An instance gave no usable answer to a question."""


class BodyCutError(CurrantspurError):
    """A caller disconnected before its request body was complete."""


class BodyTooLargeError(CurrantspurError):
    """A request body exceeds the limit for callers."""


class BudgetFullError(CurrantspurError):
    """The bytes that clients may hold are used up."""


class TargetError(CurrantspurError):
    """An attempt at a target failed.

    ``may_have_run`` is true if the target may have run the request:
    bytes of it may have been sent and the target did not reject it.
    ``signals`` is what the target said of itself, or None without a response
    of this target to this request.
    """

    def __init__(
        self,
        detail: str,
        *,
        may_have_run: bool,
        signals: 'TargetSignals | None' = None,
    ) -> None:
        super().__init__(detail)
        self.may_have_run = may_have_run
        self.signals = signals


class TargetShedError(TargetError):
    """A target rejected the request and reported that it did not run it."""

    def __init__(
        self, detail: str, *, signals: 'TargetSignals | None' = None
    ) -> None:
        super().__init__(detail, may_have_run=False, signals=signals)


class TargetMovedError(TargetError):
    """Another target responds at the address, so the request did not run."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, may_have_run=False)


class TargetUnreachableError(TargetError):
    """No connection to a target could be opened."""

    def __init__(self, detail: str) -> None:
        super().__init__(detail, may_have_run=False)


class TargetTimeoutError(TargetError):
    """An attempt at a target timed out."""


class TargetFailedError(TargetError):
    """A target sent a server error (5xx); ``response`` is the whole response.

    Raised only where a retry may succeed.
    """

    def __init__(self, response: 'ResponseHead') -> None:
        super().__init__(
            f'status {response.status}',
            may_have_run=True,
            signals=response.signals,
        )
        self.response = response
