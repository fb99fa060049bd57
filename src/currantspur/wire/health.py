"""Ask targets for their health reports over HTTP."""

from http import HTTPStatus

import aiohttp
import orjson

from currantspur.errors import TargetError
from currantspur.messages import HealthReport, Target
from currantspur.tasks.health import HealthPort

HEALTH_PATH = '/-/health'
TIMEOUT_S = 1.0
REPORT_LIMIT_BYTES = 4096
STATES = ('serving', 'starting', 'shedding', 'draining')


class HttpHealth(HealthPort):
    """Read a small JSON report from each target."""

    __slots__ = ('session',)

    def __init__(self) -> None:
        self.session = aiohttp.ClientSession(
            timeout=aiohttp.ClientTimeout(total=TIMEOUT_S)
        )

    async def ask(self, target: Target) -> HealthReport:
        """Return the report of a target or raise TargetError."""
        url = f'http://{target.address}{HEALTH_PATH}'
        try:
            async with self.session.get(url) as response:
                status = response.status
                body = await response.content.read(REPORT_LIMIT_BYTES)
        except (aiohttp.ClientError, TimeoutError) as error:
            raise TargetError(type(error).__name__, sent=True) from error
        if status != HTTPStatus.OK:
            raise TargetError(f'status {status}', sent=True)
        return decode_report(body)

    async def close(self) -> None:
        """Close all connections."""
        await self.session.close()


def decode_report(body: bytes) -> HealthReport:
    """Return the report in a body or raise TargetError."""
    try:
        plain = orjson.loads(body)
    except orjson.JSONDecodeError as error:
        raise TargetError('report: not JSON', sent=True) from error
    if not _is_report(plain):
        raise TargetError('report: not as documented', sent=True)
    return HealthReport(
        target=plain['target'],
        sequence=plain['sequence'],
        state=plain['state'],
        running=plain.get('running', 0),
    )


def _is_report(plain: object) -> bool:
    return (
        isinstance(plain, dict)
        and isinstance(plain.get('target'), str)
        and isinstance(plain.get('sequence'), int)
        and plain.get('state') in STATES
    )
