"""Answer requests as a back end would, and count how often each ran."""

import asyncio
from collections import Counter
from hashlib import sha256

import orjson
from aiohttp import web

BODY_LIMIT_BYTES = 67_108_864


class TargetStandin:
    """Run requests for one target and remember what it saw."""

    __slots__ = ('delay_s', 'headers_seen', 'name', 'runs')

    def __init__(self, *, name: str, delay_s: float = 0.0) -> None:
        self.name = name
        self.delay_s = delay_s
        self.runs: Counter[str] = Counter()
        self.headers_seen: set[str] = set()

    def application(self) -> web.Application:
        """Return the application that serves as the target."""
        application = web.Application(client_max_size=BODY_LIMIT_BYTES)
        application.router.add_get('/-/runs', self.list_runs)
        application.router.add_route('*', '/{path:.*}', self.run)
        return application

    async def run(self, request: web.Request) -> web.Response:
        """Run a request and say what came with it."""
        body = await request.read()
        self.headers_seen.update(
            f'{name}: {line}' for name, line in request.headers.items()
        )
        request_id = request.headers.get('X-Request-Id', '')
        self.runs[request.headers.get('Idempotency-Key', request_id)] += 1
        await asyncio.sleep(self.delay_s)
        answer = {
            'target': self.name,
            'method': request.method,
            'path': request.raw_path,
            'request_id': request_id,
            'digest': sha256(body).hexdigest(),
        }
        return web.Response(
            body=orjson.dumps(answer), content_type='application/json'
        )

    async def list_runs(self, _request: web.Request) -> web.Response:
        """List how often each request ran."""
        return web.Response(body=orjson.dumps(self.runs))
