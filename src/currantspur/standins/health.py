"""Serve the health report of a target, or a faulty one."""

import asyncio
from typing import Literal

import orjson
from aiohttp import web

from currantspur.messages.health import ReportedState
from currantspur.wire.health import HEALTH_PATH

HealthFault = Literal['lagging', 'missing', 'frozen', 'lying']
LAG_S = 5.0


class HealthStandin:
    """Report for one target; faults are set by hand."""

    __slots__ = ('fault', 'name', 'sequence', 'state')

    def __init__(self, *, name: str) -> None:
        self.name = name
        self.state: ReportedState = 'serving'
        self.sequence = 0
        self.fault: HealthFault | None = None

    def add_routes(self, application: web.Application) -> None:
        """Serve the report beside what an application serves."""
        application.router.add_get(HEALTH_PATH, self.report)

    async def report(self, _request: web.Request) -> web.Response:
        """Return the report."""
        if self.fault == 'missing':
            raise web.HTTPServiceUnavailable
        if self.fault == 'lagging':
            await asyncio.sleep(LAG_S)
        if self.fault != 'frozen':
            self.sequence += 1
        state = 'serving' if self.fault == 'lying' else self.state
        body = orjson.dumps(
            {'target': self.name, 'sequence': self.sequence, 'state': state}
        )
        return web.Response(body=body, content_type='application/json')
