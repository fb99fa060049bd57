"""Serve operators over HTTP: metrics, readiness, decisions."""

from collections.abc import Callable
from http import HTTPStatus

import orjson
from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from currantspur.messages import Question
from currantspur.settings import to_plain
from currantspur.tasks import Mailbox
from currantspur.wire.telemetry import Metrics


class AdminListener:
    """Translate between HTTP and what operators ask."""

    __slots__ = ('is_ready', 'journal', 'metrics')

    def __init__(
        self,
        *,
        metrics: Metrics,
        journal: Mailbox,
        is_ready: Callable[[], bool],
    ) -> None:
        self.metrics = metrics
        self.journal = journal
        self.is_ready = is_ready

    def application(self) -> web.Application:
        """Return the application that serves operators."""
        application = web.Application()
        application.router.add_get('/metrics', self.show_metrics)
        application.router.add_get('/explain', self.explain)
        application.router.add_get('/live', self.show_live)
        application.router.add_get('/ready', self.show_ready)
        return application

    async def show_metrics(self, _request: web.Request) -> web.Response:
        """Print the metrics."""
        body = generate_latest(self.metrics.registry)
        headers = {'Content-Type': CONTENT_TYPE_LATEST}
        return web.Response(body=body, headers=headers)

    async def explain(self, request: web.Request) -> web.Response:
        """List the decisions about a subject, team or request."""
        decisions = await self.journal.ask(
            Question(
                subject=request.query.get('subject'),
                team=request.query.get('team'),
                request_id=request.query.get('request_id'),
            )
        )
        body = orjson.dumps([to_plain(decision) for decision in decisions])
        return web.Response(body=body, content_type='application/json')

    async def show_live(self, _request: web.Request) -> web.Response:
        """Say that the process serves."""
        return web.Response(text='live\n')

    async def show_ready(self, _request: web.Request) -> web.Response:
        """Say whether a version is in force."""
        if self.is_ready():
            return web.Response(text='ready\n')
        return web.Response(
            status=HTTPStatus.SERVICE_UNAVAILABLE,
            text='no version in force yet\n',
        )
