"""Answer requests as a back end would, and count how often each ran."""

import asyncio
from collections import Counter
from hashlib import sha256

import orjson
from aiohttp import web

from currantspur.standins.health import HealthStandin
from currantspur.standins.target_faults import FAULTS

BODY_LIMIT_BYTES = 67_108_864
FAULT_HEADER = 'X-Standin-Fault'


class TargetStandin:
    """Run requests for one target and remember what it saw."""

    __slots__ = (
        'cold_s',
        'cold_until_runs',
        'delay_s',
        'fault',
        'headers_seen',
        'health',
        'most_running',
        'name',
        'running',
        'runs',
    )

    def __init__(
        self,
        *,
        name: str,
        delay_s: float = 0.0,
        cold_s: float = 0.0,
        cold_until_runs: int = 0,
    ) -> None:
        """Take how much longer the first runs take."""
        self.name = name
        self.health = HealthStandin(name=name)
        self.delay_s = delay_s
        self.cold_s = cold_s
        self.cold_until_runs = cold_until_runs
        self.fault: str | None = None
        self.runs: Counter[str] = Counter()
        self.headers_seen: set[str] = set()
        self.running = 0
        self.most_running = 0

    def application(self) -> web.Application:
        """Return the application that serves as the target."""
        application = web.Application(client_max_size=BODY_LIMIT_BYTES)
        application.router.add_get('/-/runs', self.list_runs)
        self.health.add_routes(application)
        application.router.add_route('*', '/{path:.*}', self.receive)
        return application

    async def receive(self, request: web.Request) -> web.StreamResponse:
        """Run a request, or do what the fault set or asked for does."""
        asked = request.headers.get(FAULT_HEADER, self.fault)
        self.running += 1
        self.most_running = max(self.most_running, self.running)
        try:
            if asked is None:
                return await self.run(request)
            return await FAULTS[asked].answer(
                request, lambda: self.run(request)
            )
        finally:
            self.running -= 1

    async def run(self, request: web.Request) -> web.Response:
        """Run a request and say what came with it."""
        body = await request.read()
        self.headers_seen.update(
            f'{name}: {line}' for name, line in request.headers.items()
        )
        request_id = request.headers.get('X-Request-Id', '')
        self.runs[request.headers.get('Idempotency-Key', request_id)] += 1
        is_cold = self.runs.total() <= self.cold_until_runs
        await asyncio.sleep(self.delay_s + self.cold_s * is_cold)
        answer = {
            'target': self.name,
            'method': request.method,
            'path': request.raw_path,
            'request_id': request_id,
            'digest': sha256(body).hexdigest(),
        }
        return web.Response(
            body=orjson.dumps(answer),
            content_type='application/json',
            headers={'X-Request-Id': request_id},
        )

    async def list_runs(self, _request: web.Request) -> web.Response:
        """List how often each request ran."""
        return web.Response(body=orjson.dumps(self.runs))
