"""Write structured log lines to standard output without blocking."""

import asyncio
import os
from collections import deque
from typing import Any

import orjson
from loguru import logger

from currantspur.tasks.clock import Clock
from currantspur.tasks.journal import LineSink
from currantspur.wire.metrics import Metrics

# Lines buffered for a slow reader; further lines are dropped and counted.
MAX_BUFFERED_LINES = 2000


class NonBlockingOutput:
    """Write lines to a file descriptor as fast as its reader accepts them."""

    __slots__ = ('buffered_lines', 'descriptor', 'metrics')

    def __init__(self, descriptor: int, metrics: Metrics) -> None:
        self.descriptor = descriptor
        self.metrics = metrics
        self.buffered_lines: deque[bytes] = deque()
        os.set_blocking(descriptor, False)

    def write(self, text: str) -> None:
        """Write or buffer a line; drop and count it if the buffer is full."""
        if len(self.buffered_lines) >= MAX_BUFFERED_LINES:
            self.metrics.lines_lost.inc()
            return
        was_empty = not self.buffered_lines
        self.buffered_lines.append(text.encode())
        if was_empty:
            self.flush()

    def flush(self) -> None:
        """Write the buffered lines that the reader accepts now.

        For the rest, the event loop calls this method again as soon as the
        descriptor is writable.
        """
        loop = asyncio.get_running_loop()
        while self.buffered_lines:
            line = self.buffered_lines.popleft()
            try:
                written = os.write(self.descriptor, line)
            except BlockingIOError:
                written = 0
            except OSError:
                # There is no reader any more: the buffered lines are lost.
                self.metrics.lines_lost.inc(1 + len(self.buffered_lines))
                self.buffered_lines.clear()
                break
            if written < len(line):
                self.buffered_lines.appendleft(line[written:])
                loop.add_writer(self.descriptor, self.flush)
                return
        loop.remove_writer(self.descriptor)


class JsonLineSink(LineSink):
    """Write each line as one JSON object through loguru."""

    __slots__ = ('clock', 'instance', 'metrics')

    def __init__(
        self, *, instance: str, clock: Clock, metrics: Metrics
    ) -> None:
        self.metrics = metrics
        self.instance = instance
        self.clock = clock

    def write(self, kind: str, fields: dict[str, Any]) -> None:
        """Write a line; it is lost, and counted, if the reader is too slow.

        `at` is Unix time and `now` is monotonic, both in seconds.
        """
        line = {
            'at': round(self.clock.unix(), 3),
            'now': round(self.clock.now(), 3),
            'instance': self.instance,
            'kind': kind,
            **fields,
        }
        logger.bind(line=orjson.dumps(line).decode()).info(kind)

    def count_outcome(self, kind: str, outcome: str) -> None:
        """Count an attempt by outcome; the request handler counts refusals."""
        if kind == 'exchange':
            self.metrics.exchanges.labels(outcome).inc()


def configure_logging(output: NonBlockingOutput) -> None:
    """Make an output the only destination of the lines of loguru."""
    logger.remove()
    logger.add(output.write, format=_format, diagnose=False, backtrace=False)


def _format(record: Any) -> str:
    if 'line' in record['extra']:
        return '{extra[line]}\n'
    return '{{"kind": "{level.name}", "text": "{message}"}}\n'
