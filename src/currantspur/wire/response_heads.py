"""Check the heads of responses from targets, and pass them on unchanged."""

import asyncio
import re
from collections.abc import Iterable
from http import HTTPStatus
from typing import Final

from aiohttp import StreamReader, web
from aiohttp.abc import AbstractStreamWriter
from aiohttp.http import RawRequestMessage, StreamWriter
from multidict import CIMultiDict

from currantspur.encoding import is_utf8

# The highest valid status (RFC 9110, 15).
MAX_STATUS: Final = 599
# The HTTP client library accepts these in names and values of headers, the
# server library refuses to write them (RFC 9110, 5.5).
_CONTROL_CHARACTERS: Final = re.compile(r'[\x00-\x08\x0a-\x1f\x7f]')


def find_head_fault(
    status: int, headers: Iterable[tuple[str, str]]
) -> str | None:
    """Return why a head is not one of a final response; None if it is."""
    if not HTTPStatus.OK <= status <= MAX_STATUS:
        # No request asks for an upgrade, and other interim responses are
        # skipped by the client library. Statuses outside 100 to 599 are
        # invalid.
        return f'status {status} is not final'
    for name, text in headers:
        if _CONTROL_CHARACTERS.search(name + text):
            return 'control character in the head'
    return None


class ExactHeadWriter(StreamWriter):
    """Write headers byte for byte as they were received.

    aiohttp decodes bytes that are not UTF-8 as surrogates, which it leaves out
    or refuses to write.
    """

    async def write_headers(
        self, status_line: str, headers: CIMultiDict[str]
    ) -> None:
        """Write the head as aiohttp does if it is UTF-8, else unchanged."""
        if all(map(is_utf8, headers.values())):
            await super().write_headers(status_line, headers)
            return
        lines = (f'{name}: {text}' for name, text in headers.items())
        head = '\r\n'.join((status_line, *lines, '', ''))
        self._headers_written = False
        self._headers_buf = head.encode(errors='surrogateescape')


def make_request(
    message: RawRequestMessage,
    payload: StreamReader,
    protocol: web.RequestHandler,
    _writer: AbstractStreamWriter,
    task: 'asyncio.Task[None]',
) -> web.BaseRequest:
    """Return a request whose response has an exact head."""
    loop = asyncio.get_running_loop()
    writer = ExactHeadWriter(protocol, loop)
    return web.BaseRequest(message, payload, protocol, writer, task, loop)
