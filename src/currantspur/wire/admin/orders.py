"""Carry operators' changes out."""

from http import HTTPStatus
from typing import Any, get_args

from aiohttp import web

from currantspur.decisions.edits import (
    CancelDrain,
    Edit,
    IssueKey,
    IssueOperatorKey,
    PauseDrain,
    Replace,
    StartDrain,
    WithdrawKey,
)
from currantspur.errors import RejectedError
from currantspur.messages import Drain, Key, Operator, Role
from currantspur.messages.operators import Order, Rejection
from currantspur.platform.history import read_past
from currantspur.settings import Finding
from currantspur.wire.admin.access import OPERATOR
from currantspur.wire.admin.encoding import encode_head, encode_json
from currantspur.wire.admin.form import Field, Form, malformed, read_form
from currantspur.wire.admin.queries import FILE, TEXT, read_text
from currantspur.wire.admin.route import AdminRoute, RouteHandler
from currantspur.wire.admin.services import AdminServices

SCOPES = ('target', 'availability_zone', 'region')
CHANGE = (Field('change_id'), Field('note', default=''))
BASE = (*CHANGE, Field('base_version', 'whole'))
APPLY = (*BASE, TEXT, FILE)
RESTORE = (*BASE, Field('version', 'whole'))
DIGEST = (*CHANGE, Field('key_id'), Field('digest'))
ISSUE = (*DIGEST, Field('team'))
ADMIT = (*DIGEST, Field('name'), Field('role'))
START = (
    *CHANGE,
    Field('drain_id'),
    Field('scope'),
    Field('name'),
    Field('start_s', 'number', default=0.0),
    Field('pace', 'number', default=1.0),
)
HEXADECIMAL = frozenset('0123456789abcdef')
DIGITS = (('key_id', 16), ('digest', 64))


class Orders:
    """Answer the routes that change the configuration."""

    __slots__ = ('services',)

    def __init__(self, services: AdminServices) -> None:
        self.services = services

    def routes(self) -> list[AdminRoute]:
        """List the routes."""
        return [
            _post(
                '/v1/changes',
                self.apply,
                summary='Apply a text on top of a base version.',
                role='change',
                form=APPLY,
            ),
            _post(
                '/v1/restore',
                self.restore,
                summary='Apply the content of an older version as a new one.',
                role='change',
                form=RESTORE,
            ),
            _post(
                '/v1/keys',
                self.issue_key,
                summary='Add a key of a team by its digest.',
                role='change',
                form=ISSUE,
            ),
            _post(
                '/v1/operators',
                self.issue_operator_key,
                summary='Add a key of an operator by its digest.',
                role='change',
                form=ADMIT,
            ),
            _post(
                '/v1/keys/{key_id}/withdraw',
                self.withdraw_key,
                summary='Withdraw the key of a team or an operator.',
                role='change',
                form=CHANGE,
            ),
            *self._drain_routes(),
        ]

    async def apply(self, request: web.Request) -> web.Response:
        """Apply a text."""
        form = read_form(await request.read(), APPLY)
        edit = Replace(
            configuration=read_text(form),
            change_id=form.text('change_id'),
            base_version=form.whole('base_version'),
            note=form.text('note'),
        )
        return await self._order(request, edit)

    async def restore(self, request: web.Request) -> web.Response:
        """Apply an older content."""
        form = read_form(await request.read(), RESTORE)
        version = form.whole('version')
        _, configuration = await read_past(self.services.platform, version)
        edit = Replace(
            configuration=configuration,
            change_id=form.text('change_id'),
            base_version=form.whole('base_version'),
            note=form.text('note') or f'content of version {version}',
        )
        return await self._order(request, edit)

    async def issue_key(self, request: web.Request) -> web.Response:
        """Add a team's key."""
        form = read_form(await request.read(), ISSUE)
        check_digest(form)
        key = Key(
            key_id=form.text('key_id'),
            team=form.text('team'),
            digest=form.text('digest'),
        )
        return await self._order(request, IssueKey(key=key, **_change(form)))

    async def issue_operator_key(self, request: web.Request) -> web.Response:
        """Add an operator's key."""
        form = read_form(await request.read(), ADMIT)
        check_digest(form)
        role: Any = check_choice(form, 'role', get_args(Role))
        operator = Operator(
            name=form.text('name'),
            role=role,
            key_id=form.text('key_id'),
            digest=form.text('digest'),
        )
        edit = IssueOperatorKey(operator=operator, **_change(form))
        return await self._order(request, edit)

    async def withdraw_key(self, request: web.Request) -> web.Response:
        """Remove a key."""
        form = read_form(await request.read(), CHANGE)
        key_id = request.match_info['key_id']
        edit = WithdrawKey(key_id=key_id, **_change(form))
        return await self._order(request, edit)

    async def start_drain(self, request: web.Request) -> web.Response:
        """Plan a drain."""
        form = read_form(await request.read(), START)
        scope: Any = check_choice(form, 'scope', SCOPES)
        if not 0 < form.number('pace') <= 1:
            raise RejectedError(blame_member('pace', 'expected up to 1'))
        drain = Drain(
            drain_id=form.text('drain_id'),
            scope=scope,
            name=form.text('name'),
            start_s=form.number('start_s'),
            pace=form.number('pace'),
        )
        edit = StartDrain(drain=drain, **_change(form))
        return await self._order(request, edit)

    async def pause_drain(self, request: web.Request) -> web.Response:
        """Pause a drain."""
        return await self._set_paused(request, paused=True)

    async def resume_drain(self, request: web.Request) -> web.Response:
        """Let a drain go on."""
        return await self._set_paused(request, paused=False)

    async def cancel_drain(self, request: web.Request) -> web.Response:
        """Remove a drain."""
        form = read_form(await request.read(), CHANGE)
        drain_id = request.match_info['drain_id']
        edit = CancelDrain(drain_id=drain_id, **_change(form))
        return await self._order(request, edit)

    def _drain_routes(self) -> tuple[AdminRoute, ...]:
        return (
            _post(
                '/v1/drains',
                self.start_drain,
                summary='Plan a drain.',
                role='drain',
                form=START,
            ),
            _post(
                '/v1/drains/{drain_id}/pause',
                self.pause_drain,
                summary='Pause a drain.',
                role='drain',
                form=CHANGE,
            ),
            _post(
                '/v1/drains/{drain_id}/resume',
                self.resume_drain,
                summary='Let a paused drain go on.',
                role='drain',
                form=CHANGE,
            ),
            _post(
                '/v1/drains/{drain_id}/cancel',
                self.cancel_drain,
                summary='Cancel a drain.',
                role='drain',
                form=CHANGE,
            ),
        )

    async def _set_paused(
        self, request: web.Request, *, paused: bool
    ) -> web.Response:
        form = read_form(await request.read(), CHANGE)
        edit = PauseDrain(
            drain_id=request.match_info['drain_id'],
            paused=paused,
            **_change(form),
        )
        return await self._order(request, edit)

    async def _order(self, request: web.Request, edit: Edit) -> web.Response:
        order = Order(edit=edit, operator=request[OPERATOR])
        outcome = await self.services.changes.ask(order)
        if isinstance(outcome, Rejection):
            raise RejectedError(outcome)
        return encode_json(encode_head(outcome), HTTPStatus.OK)


def check_digest(form: Form) -> None:
    """Raise RejectedError where a key id or digest is not hexadecimal."""
    for name, digits in DIGITS:
        text = form.text(name)
        if len(text) != digits or not set(text) <= HEXADECIMAL:
            wanted = f'expected {digits} hexadecimal digits'
            raise RejectedError(blame_member(name, wanted))


def check_choice(form: Form, name: str, choices: tuple[str, ...]) -> str:
    """Return one of the texts named or raise RejectedError."""
    chosen = form.text(name)
    if chosen not in choices:
        wanted = f'expected one of {", ".join(choices)}'
        raise RejectedError(blame_member(name, wanted))
    return chosen


def blame_member(name: str, text: str) -> Rejection:
    """Return the rejection of one member of a body."""
    finding = Finding(file='body', line=1, column=1, path=name, text=text)
    return malformed(f'{name}: {text}', [finding])


def _post(
    path: str,
    handler: RouteHandler,
    *,
    summary: str,
    role: Role,
    form: tuple[Field, ...],
) -> AdminRoute:
    return AdminRoute(
        'POST', path, handler, summary=summary, role=role, form=form
    )


def _change(form: Form) -> dict[str, str]:
    return {'change_id': form.text('change_id'), 'note': form.text('note')}
