"""Name the headers and paths that callers, targets and instances use."""

from collections.abc import Iterable, Iterator

from currantspur.messages.base import Message

KEY_HEADER = 'Authorization'
KEY_SCHEME = 'Bearer '
RETRY_AFTER_HEADER = 'Retry-After'
CONTENT_LENGTH = 'content-length'
# They concern one connection only (RFC 9110, 7.6.1).
HOP_BY_HOP = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-authenticate',
        'proxy-authorization',
        'proxy-connection',
        'te',
        'trailer',
        'transfer-encoding',
        'upgrade',
    )
)


class Names(Message):
    """Hold the names of the headers and paths of one deployment."""

    __slots__ = (
        'budget_ms',
        'directory_path',
        'expected_target',
        'load',
        'not_run',
        'object_key',
        'ready_path',
        'request_id',
        'team',
    )

    def __init__(
        self,
        *,
        request_id: str = 'X-Request-Id',
        budget_ms: str = 'X-Request-Timeout-Ms',
        object_key: str = 'X-Object-Key',
        team: str = 'X-Team',
        expected_target: str = 'X-Expected-Target',
        load: str = 'X-Load',
        not_run: str = 'X-Not-Run',
        ready_path: str = '/-/ready',
        directory_path: str = '/-/entries',
    ) -> None:
        """Take what differs from the product's own names."""
        self.request_id = request_id
        self.budget_ms = budget_ms
        self.object_key = object_key
        self.team = team
        self.expected_target = expected_target
        self.load = load
        self.not_run = not_run
        self.ready_path = ready_path
        self.directory_path = directory_path

    def list_own(self) -> frozenset[str]:
        """Return, in lower case, the headers that an instance sets itself."""
        return frozenset(
            name.lower()
            for name in (
                self.budget_ms,
                self.team,
                self.expected_target,
                KEY_HEADER,
            )
        )


def keep_headers(
    headers: Iterable[tuple[str, str]], left_out: frozenset[str]
) -> Iterator[tuple[str, str]]:
    """Yield the headers that travel on."""
    kept = list(headers)
    named = {
        name.strip().lower()
        for header, line in kept
        if header.lower() == 'connection'
        for name in line.split(',')
    }
    skipped = HOP_BY_HOP | left_out | named
    for header, line in kept:
        if header.lower() not in skipped:
            yield header, line
