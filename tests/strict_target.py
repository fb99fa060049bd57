"""A target that takes exactly the bytes that each head announces."""

import asyncio
import re

from currantspur.standins.fleet import find_free_address
from currantspur.standins.target import TargetStandin

REQUEST_LINE = re.compile(r'[A-Z]+ /\S* HTTP/1\.1')
# Longer than an instance takes to send the next request on the connection.
LATE_READ_S = 0.05
# Parts of a path by which a request is answered before its body is read.
SHED_EARLY, FAIL_EARLY = 'shed-early', 'fail-early'


class StrictTarget(TargetStandin):
    """Record what arrives; report bytes that no head announces.

    Some paths are answered at once; their bodies are read later, on the same
    connection.
    """

    __slots__ = ('cut', 'violations', 'whole')

    def __init__(self, name='strict'):
        super().__init__(name=name, address=find_free_address())
        self.forget()

    def forget(self):
        """Drop the records of requests so far."""
        # By request id: method, path and body, or what came of the body.
        self.whole = {}
        self.cut = {}
        self.violations = []

    async def serve(self, reader, writer):
        while head := await self.read_head(reader):
            await self.exchange(head, reader, writer)

    async def read_head(self, reader):
        """Return the request line and the headers; None if there is none."""
        try:
            head = await reader.readuntil(b'\r\n\r\n')
        except asyncio.IncompleteReadError as error:
            if error.partial:
                self.violations.append(error.partial)
            return None
        start, *lines = head.decode('latin-1')[:-4].split('\r\n')
        if not REQUEST_LINE.fullmatch(start):
            self.violations.append(head)
            return None
        pairs = (line.partition(':') for line in lines)
        return start, {name.lower(): text.strip() for name, _, text in pairs}

    async def exchange(self, head, reader, writer):
        start, headers = head
        method, path, _ = start.split(' ')
        request_id = headers['x-request-id']
        is_early = SHED_EARLY in path or FAIL_EARLY in path
        if is_early:
            self.answer(writer, request_id, path)
            await asyncio.sleep(LATE_READ_S)
        length = int(headers.get('content-length', '0'))
        if 'transfer-encoding' in headers:
            self.violations.append(f'{request_id} comes in chunks')
        try:
            body = await reader.readexactly(length)
        except asyncio.IncompleteReadError as error:
            self.cut[request_id] = (method, path, error.partial)
            raise
        self.whole[request_id] = (method, path, body)
        if not is_early:
            self.answer(writer, request_id, path)

    def answer(self, writer, request_id, path):
        status, extra = 200, ''
        if SHED_EARLY in path:
            status, extra = 503, 'X-Not-Executed: 1\r\n'
        elif FAIL_EARLY in path:
            status = 500
        writer.write(
            f'HTTP/1.1 {status} Answer\r\nX-Request-Id: {request_id}\r\n'
            f'X-Server-Stamp: {self.name}\r\n{extra}'
            'Content-Length: 0\r\n\r\n'.encode()
        )
