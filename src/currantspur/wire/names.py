"""Define the names of headers and paths, and filter forwarded headers."""

from collections.abc import Iterable, Iterator

from currantspur.messages.base import Message

KEY_HEADER = 'Authorization'
KEY_SCHEME = 'Bearer '
RETRY_AFTER_HEADER = 'Retry-After'
CONTENT_LENGTH = 'content-length'
# Headers that apply to a single connection only (RFC 9110, 7.6.1).
HOP_BY_HOP_HEADERS = frozenset(
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


class ProtocolNames(Message):
    """Names of the headers and paths that one deployment uses.

    - ``request_id_header``: of callers; targets return it in the response.
    - ``timeout_ms_header``: how long the caller, or the instance in a request
      to a target, waits.
    - ``object_key_header``: names the object of a request, for affinity.
    - ``team_header`` and ``expected_target_header``: set by the instance in
      requests to targets.
    - ``load_header``, ``not_run_header``, ``leaving_header`` and
      ``limit_header``: set by targets in responses.
    - ``proof_header``: in every success of a target; empty if targets of this
      deployment send none.
    - ``ready_path`` and ``directory_path``: of the readiness check and of
      look-ups.
    """

    __slots__ = (
        'directory_path',
        'expected_target_header',
        'leaving_header',
        'limit_header',
        'load_header',
        'not_run_header',
        'object_key_header',
        'proof_header',
        'ready_path',
        'request_id_header',
        'team_header',
        'timeout_ms_header',
    )

    def __init__(
        self,
        *,
        request_id_header: str = 'X-Request-Id',
        timeout_ms_header: str = 'X-Request-Timeout-Ms',
        object_key_header: str = 'X-Object-Key',
        team_header: str = 'X-Team',
        expected_target_header: str = 'X-Expected-Target',
        load_header: str = 'X-Load',
        not_run_header: str = 'X-Not-Run',
        leaving_header: str = 'X-Leaving',
        limit_header: str = 'X-Rate-Limit',
        proof_header: str = '',
        ready_path: str = '/-/ready',
        directory_path: str = '/-/entries',
    ) -> None:
        """Replace the default names that differ in this deployment."""
        self.request_id_header = request_id_header
        self.timeout_ms_header = timeout_ms_header
        self.object_key_header = object_key_header
        self.team_header = team_header
        self.expected_target_header = expected_target_header
        self.load_header = load_header
        self.not_run_header = not_run_header
        self.leaving_header = leaving_header
        self.limit_header = limit_header
        self.proof_header = proof_header
        self.ready_path = ready_path
        self.directory_path = directory_path

    def list_stripped_headers(self) -> frozenset[str]:
        """Return, in lower case, the request headers that are not forwarded.

        The instance sets these headers itself, the length from the body that
        it sends, except for the API key, which targets do not receive.
        """
        return frozenset(
            name.lower()
            for name in (
                CONTENT_LENGTH,
                self.timeout_ms_header,
                self.team_header,
                self.expected_target_header,
                KEY_HEADER,
            )
        )


def filter_forwarded_headers(
    headers: Iterable[tuple[str, str]], excluded: frozenset[str]
) -> Iterator[tuple[str, str]]:
    """Yield the headers to forward, without hop-by-hop and excluded ones.

    Headers named by a Connection header are hop-by-hop as well. Excluded names
    are in lower case.
    """
    received = list(headers)
    connection_options = {
        option.strip().lower()
        for name, value in received
        if name.lower() == 'connection'
        for option in value.split(',')
    }
    dropped = HOP_BY_HOP_HEADERS | excluded | connection_options
    for name, value in received:
        if name.lower() not in dropped:
            yield name, value
