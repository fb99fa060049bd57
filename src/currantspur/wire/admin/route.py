"""Describe the routes for operators."""

from collections.abc import Awaitable, Callable

from aiohttp import web

from currantspur.messages import Message, Role
from currantspur.wire.admin.form import Field

RouteHandler = Callable[[web.Request], Awaitable[web.StreamResponse]]


class AdminRoute(Message):
    """Say who may call a route, what it takes and what it does."""

    __slots__ = (
        'form',
        'handler',
        'method',
        'path',
        'query',
        'role',
        'summary',
    )

    def __init__(
        self,
        method: str,
        path: str,
        handler: RouteHandler,
        *,
        summary: str,
        role: Role | None = 'read',
        form: tuple[Field, ...] = (),
        query: tuple[Field, ...] = (),
    ) -> None:
        """Take the role that is needed; None: anybody may call."""
        self.method = method
        self.path = path
        self.handler = handler
        self.summary = summary
        self.role = role
        self.form = form
        self.query = query
