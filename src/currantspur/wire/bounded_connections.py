"""Client connections that end when a peer sends too much besides its answer."""

import asyncio
from functools import partial
from http import HTTPStatus
from typing import Any, cast

import aiohttp
from aiohttp.client_proto import ResponseHandler
from aiohttp.http import RawResponseMessage

# Heads, interim responses, chunk framing and trailers of one response. A head
# alone may have 128 fields of 8 KiB; real ones stay below 16 KiB.
MAX_OVERHEAD_BYTES = 131_072
# Framing of a body in chunks of one byte: size, two line ends and the byte.
MAX_FRAMING_PER_BODY_BYTE = 6


class BoundedResponseHandler(ResponseHandler):
    """Close a connection on bytes that are neither head nor body.

    That is after a bounded number of them in a response, and at once after
    its end, so that no later request takes them as its response.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        super().__init__(loop)
        self.body_stream: aiohttp.StreamReader | None = None
        self.is_final = False
        self.received_bytes = 0

    def set_response_params(self, **options: Any) -> None:
        """Prepare for the response to the next request."""
        self.body_stream = None
        self.is_final = False
        self.received_bytes = 0
        super().set_response_params(**options)

    def feed_data(
        self,
        response: tuple[RawResponseMessage, aiohttp.StreamReader],
        size: int = 0,
    ) -> None:
        """Queue a parsed head and its body; drop a second response."""
        if self._is_complete():
            self.abort()
            return
        head, stream = response
        self.body_stream = stream
        self.is_final = head.code >= HTTPStatus.OK
        super().feed_data(response, size)

    def data_received(self, data: bytes) -> None:
        """Parse received bytes; end the connection beyond the bound."""
        # aiohttp passes no bytes when it resumes reading.
        if data and self._is_complete():
            self.abort()
            return
        super().data_received(data)
        self.received_bytes += len(data)
        body_bytes = self.body_stream.total_bytes if self.body_stream else 0
        allowed = MAX_OVERHEAD_BYTES + MAX_FRAMING_PER_BODY_BYTE * body_bytes
        if self.received_bytes > allowed:
            self._fail()

    def _is_complete(self) -> bool:
        stream = self.body_stream
        return self.is_final and stream is not None and stream.is_eof()

    def _fail(self) -> None:
        error = aiohttp.ClientPayloadError('too many bytes besides the body')
        if self.body_stream is not None and not self.body_stream.is_eof():
            self.body_stream.set_exception(error)
        if self.transport is not None:
            self.transport.abort()
        self.set_exception(error)


class BoundedConnector(aiohttp.TCPConnector):
    """Open connections with a BoundedResponseHandler."""

    def __init__(self, **options: Any) -> None:
        super().__init__(limit=0, use_dns_cache=False, **options)
        # aiohttp has no public option for the class of its protocol.
        self._factory = cast(
            'partial[ResponseHandler]',
            partial(BoundedResponseHandler, asyncio.get_running_loop()),
        )
