"""Choose the headers that travel on."""

from collections.abc import Iterable, Iterator

KEY_HEADER = 'Authorization'
KEY_SCHEME = 'Bearer '
IDEMPOTENCY_HEADER = 'Idempotency-Key'
TIMEOUT_HEADER = 'X-Request-Timeout-Ms'
REQUEST_ID_HEADER = 'X-Request-Id'
NOT_RUN_HEADER = 'X-Not-Run'
TEAM_HEADER = 'X-Team'

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
NOT_FOR_TARGETS = HOP_BY_HOP | frozenset(
    (
        'authorization',
        'expect',
        'host',
        'x-request-id',
        'x-request-timeout-ms',
        'x-team',
    )
)
NOT_FOR_CALLERS = HOP_BY_HOP | frozenset(('x-not-run', 'x-request-id'))


def keep_headers(
    headers: Iterable[tuple[str, str]], without: frozenset[str]
) -> Iterator[tuple[str, str]]:
    """Yield the headers whose lower-case names are not left out."""
    pairs = list(headers)
    named = {
        token.strip().lower()
        for name, line in pairs
        if name.lower() == 'connection'
        for token in line.split(',')
    }
    for name, line in pairs:
        if name.lower() not in without and name.lower() not in named:
            yield name, line
