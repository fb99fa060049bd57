"""Let operators in, and turn errors into answers."""

import base64
import binascii

from aiohttp import web
from aiohttp.typedefs import Handler

from currantspur.decisions.operators import may
from currantspur.errors import (
    CurrantspurError,
    MailboxFullError,
    ObjectMissingError,
    PlatformError,
    RejectedError,
    SettingsError,
)
from currantspur.messages import Operator, Role
from currantspur.messages.operators import Credential, Rejection, RejectionCode
from currantspur.tasks import Mailbox
from currantspur.wire.admin.encoding import encode_rejection
from currantspur.wire.admin.route import RouteHandler
from currantspur.wire.headers import KEY_HEADER, KEY_SCHEME

OPERATOR = web.RequestKey('operator', Operator)
BASIC_SCHEME = 'Basic '
CodeRow = tuple[type[CurrantspurError], RejectionCode]
CODES: tuple[CodeRow, ...] = (
    (ObjectMissingError, 'not_found'),
    (PlatformError, 'store_away'),
    (MailboxFullError, 'overloaded'),
)


class Guard:
    """Let only operators with a role through to a handler."""

    __slots__ = ('handler', 'ring', 'role')

    def __init__(
        self, handler: RouteHandler, *, role: Role, ring: Mailbox
    ) -> None:
        """Take the mailbox of the task that knows the operators."""
        self.handler = handler
        self.role = role
        self.ring = ring

    async def run(self, request: web.Request) -> web.StreamResponse:
        """Run the handler in the name of the operator whose key came."""
        secret = read_secret(request)
        operator = await self.ring.ask(Credential(secret=secret))
        if operator is None:
            raise RejectedError(
                Rejection(
                    code='unauthorised', detail='an operator key is needed'
                )
            )
        if not may(operator, self.role):
            raise RejectedError(
                Rejection(
                    code='forbidden',
                    detail=f'{operator.name} has not the role {self.role}',
                )
            )
        request[OPERATOR] = operator
        return await self.handler(request)


def read_secret(request: web.Request) -> str:
    """Return the operator key that came as Bearer or Basic password."""
    shown = request.headers.get(KEY_HEADER, '')
    if shown.startswith(KEY_SCHEME):
        return shown.removeprefix(KEY_SCHEME)
    if not shown.startswith(BASIC_SCHEME):
        return ''
    try:
        decoded = base64.b64decode(shown.removeprefix(BASIC_SCHEME))
    except (binascii.Error, ValueError):
        return ''
    return decoded.decode(errors='replace').partition(':')[2]


@web.middleware
async def translate_errors(
    request: web.Request, handler: Handler
) -> web.StreamResponse:
    """Turn errors into the documented JSON form."""
    try:
        return await handler(request)
    except CurrantspurError as error:
        return encode_rejection(describe_error(error))


def describe_error(error: CurrantspurError) -> Rejection:
    """Return the rejection that an error stands for, or raise the error."""
    if isinstance(error, RejectedError):
        return error.rejection
    if isinstance(error, SettingsError):
        return Rejection(
            code='findings',
            detail='the configuration has findings',
            findings=error.findings,
        )
    for kind, code in CODES:
        if isinstance(error, kind):
            return Rejection(code=code, detail=str(error))
    raise error
