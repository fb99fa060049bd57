"""Assemble the routes for operators."""

from collections.abc import Callable
from http import HTTPStatus

from aiohttp import web
from prometheus_client import CONTENT_TYPE_LATEST, generate_latest

from currantspur.wire.admin.access import Guard, translate_errors
from currantspur.wire.admin.encoding import encode_json
from currantspur.wire.admin.openapi import describe_api
from currantspur.wire.admin.orders import Orders
from currantspur.wire.admin.proposals import Proposals
from currantspur.wire.admin.queries import Queries
from currantspur.wire.admin.readings import print_readings
from currantspur.wire.admin.route import AdminRoute
from currantspur.wire.admin.services import AdminServices
from currantspur.wire.telemetry import Metrics

BODY_LIMIT_BYTES = 67_108_864


class AdminListener:
    """Translate between HTTP and what operators ask."""

    __slots__ = (
        'is_ready',
        'metrics',
        'orders',
        'proposals',
        'queries',
        'services',
    )

    def __init__(
        self,
        *,
        services: AdminServices,
        metrics: Metrics,
        is_ready: Callable[[], bool],
    ) -> None:
        self.services = services
        self.metrics = metrics
        self.is_ready = is_ready
        self.queries = Queries(services)
        self.orders = Orders(services)
        self.proposals = Proposals(services)

    def application(self) -> web.Application:
        """Return the application that serves operators."""
        application = web.Application(
            middlewares=[translate_errors], client_max_size=BODY_LIMIT_BYTES
        )
        for route in self.routes():
            handler = route.handler
            if route.role is not None:
                ring = self.services.administration
                handler = Guard(handler, role=route.role, ring=ring).run
            application.router.add_route(route.method, route.path, handler)
        return application

    def routes(self) -> list[AdminRoute]:
        """List every route."""
        return [
            AdminRoute(
                'GET',
                '/metrics',
                self.show_metrics,
                summary='Prometheus metrics.',
                role=None,
            ),
            AdminRoute(
                'GET',
                '/live',
                self.show_live,
                summary='Whether the process serves.',
                role=None,
            ),
            AdminRoute(
                'GET',
                '/ready',
                self.show_ready,
                summary='Whether a version is in force.',
                role=None,
            ),
            AdminRoute(
                'GET',
                '/v1/openapi.json',
                self.show_api,
                summary='This description.',
                role=None,
            ),
            *self.queries.routes(),
            *self.orders.routes(),
            *self.proposals.routes(),
        ]

    async def show_metrics(self, _request: web.Request) -> web.Response:
        """Print the metrics."""
        snapshot = await self.queries.ask_snapshot()
        body = generate_latest(self.metrics.registry)
        body += print_readings(snapshot, await self.queries.ask_uses())
        headers = {'Content-Type': CONTENT_TYPE_LATEST}
        return web.Response(body=body, headers=headers)

    async def show_api(self, _request: web.Request) -> web.Response:
        """Describe the routes as OpenAPI."""
        return encode_json(describe_api(self.routes()))

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
