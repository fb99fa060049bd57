"""Define what a caller gets, and decide when another try is safe."""

from collections.abc import Mapping
from http import HTTPStatus

from currantspur.messages.base import Message

NOT_RUN_HEADER = 'X-Not-Run'


class Answer(Message):
    """Hold a whole answer."""

    __slots__ = ('body', 'entry', 'headers', 'status')

    def __init__(
        self,
        *,
        status: int,
        headers: Mapping[str, str],
        body: bytes,
        entry: str,
    ) -> None:
        """Take the address of the entry that answered."""
        self.status = status
        self.headers = headers
        self.body = body
        self.entry = entry

    @property
    def is_not_run(self) -> bool:
        """Tell whether the entry says that the request surely did not run."""
        return self.headers.get(NOT_RUN_HEADER) == 'true'


def may_try_elsewhere(answer: Answer, *, is_repeatable: bool) -> bool:
    """Tell whether another entry may do better, and safely."""
    if answer.status < HTTPStatus.INTERNAL_SERVER_ERROR:
        return False
    if answer.status == HTTPStatus.GATEWAY_TIMEOUT:
        return False
    return answer.is_not_run or (
        is_repeatable and NOT_RUN_HEADER in answer.headers
    )
