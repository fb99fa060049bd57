"""Answer what operators ask."""

from typing import Any

from aiohttp import web

from currantspur.decisions.difference import blame, compare
from currantspur.decisions.drains import name_state
from currantspur.decisions.forecast import foresee
from currantspur.errors import RejectedError
from currantspur.messages import Configuration, Head, Question
from currantspur.messages.operators import DrainQuery, Snapshot, SnapshotQuery
from currantspur.platform.history import (
    has_configuration,
    read_past,
    read_recent,
    select_changes,
)
from currantspur.platform.versions import read_section
from currantspur.settings import (
    print_configuration,
    read_configuration,
    to_plain,
)
from currantspur.tasks.overview import ask_members
from currantspur.wire.admin.encoding import encode_head, encode_json
from currantspur.wire.admin.form import (
    TEXT_LIMIT,
    WHOLE_LIMIT,
    Field,
    Form,
    check_member,
    malformed,
    read_form,
)
from currantspur.wire.admin.page import PageModel, print_page
from currantspur.wire.admin.route import AdminRoute
from currantspur.wire.admin.services import AdminServices

HISTORY_LIMIT = 256
PAGE_DECISIONS = 50
PAGE_POLICY = "default-src 'none'; style-src 'unsafe-inline'"
TEXT = Field('text', limit=TEXT_LIMIT)
FILE = Field('file', default='configuration')
LIMIT = Field('limit', 'whole', default=HISTORY_LIMIT)
LATEST_S = 4_102_444_800
SINCE = Field('since_s', 'whole', default=0)
UNTIL = Field('until_s', 'whole', default=LATEST_S)
EXPLAIN_QUERY = (
    Field('subject', default=''),
    Field('team', default=''),
    Field('request_id', default=''),
    SINCE,
    UNTIL,
    LIMIT,
)


class Queries:
    """Answer the routes that change nothing."""

    __slots__ = ('services',)

    def __init__(self, services: AdminServices) -> None:
        self.services = services

    def routes(self) -> list[AdminRoute]:
        """List the routes."""
        return [
            AdminRoute(
                'GET',
                '/',
                self.show_page,
                summary='Page with regions, teams, drains and decisions.',
            ),
            AdminRoute(
                'GET',
                '/v1/status',
                self.show_status,
                summary='Version in force on each instance, with its age.',
            ),
            AdminRoute(
                'GET',
                '/v1/configuration',
                self.show_configuration,
                summary='A configuration as YAML; the one in force if no'
                ' version is named.',
                query=(Field('version', 'whole', default=0),),
            ),
            AdminRoute(
                'GET',
                '/v1/history',
                self.show_history,
                summary='Changes of the configuration, the newest first.',
                query=(LIMIT,),
            ),
            AdminRoute(
                'GET',
                '/v1/blame',
                self.show_blame,
                summary='Which change and author set each value of a path.',
                query=(Field('path'),),
            ),
            AdminRoute(
                'GET',
                '/v1/explain',
                self.explain,
                summary='Automatic decisions, the oldest first.',
                query=EXPLAIN_QUERY,
            ),
            AdminRoute(
                'GET',
                '/v1/drains',
                self.show_drains,
                summary='Drains, and how far each is.',
            ),
            AdminRoute(
                'POST',
                '/v1/diff',
                self.compare,
                summary='Values in which a text differs from what is in force.',
                form=(TEXT, FILE),
            ),
            AdminRoute(
                'POST',
                '/v1/dry-run',
                self.foresee,
                summary='What a text would move, and which limits it nears.',
                form=(TEXT, FILE),
            ),
        ]

    async def show_status(self, _request: web.Request) -> web.Response:
        """Show the version in force on each instance."""
        services = self.services
        snapshot = await self.ask_snapshot()
        members = await ask_members(services.peers, snapshot, services.instance)
        return encode_json(
            {
                'instance': services.instance.name,
                'in_force': encode_head(snapshot.head)
                if snapshot.head
                else None,
                'fresh_age_s': snapshot.fresh_age_s,
                'members': [
                    {
                        'instance': one.instance.name,
                        'availability_zone': one.instance.availability_zone,
                        'state': one.instance.state,
                        'version': one.version,
                        'fresh_age_s': one.fresh_age_s,
                    }
                    for one in members
                ],
            }
        )

    async def show_page(self, _request: web.Request) -> web.Response:
        """Print the operators' page."""
        services = self.services
        snapshot = await self.ask_snapshot()
        model = PageModel(
            instance=services.instance.name,
            snapshot=snapshot,
            members=await ask_members(
                services.peers, snapshot, services.instance
            ),
            uses=(),
            decisions=await services.journal.ask(
                Question(limit=PAGE_DECISIONS)
            ),
        )
        return web.Response(
            text=print_page(model),
            content_type='text/html',
            headers={'Content-Security-Policy': PAGE_POLICY},
        )

    async def show_configuration(self, request: web.Request) -> web.Response:
        """Show a configuration as YAML."""
        version = read_query(request, 'version', 'whole', 0)
        if version:
            head, configuration = await read_past(
                self.services.platform, version
            )
        else:
            snapshot = await self.ask_snapshot()
            head = snapshot.head or Head(
                version=0, sections={}, author='', change_id=''
            )
            configuration = snapshot.configuration
        return encode_json(
            {**encode_head(head), 'text': print_configuration(configuration)}
        )

    async def show_history(self, request: web.Request) -> web.Response:
        """List the changes."""
        limit = read_query(request, 'limit', 'whole', HISTORY_LIMIT)
        heads = await read_recent(self.services.platform, limit=HISTORY_LIMIT)
        changes = select_changes(heads)[:limit]
        return encode_json([encode_head(head) for head in changes])

    async def show_blame(self, request: web.Request) -> web.Response:
        """Say who set the values of a path."""
        path = read_query(request, 'path', 'text', None)
        platform = self.services.platform
        heads = await read_recent(platform, limit=HISTORY_LIMIT)
        versions: list[tuple[Head, Configuration]] = [
            (head, await read_section(platform, head))
            for head in select_changes(heads)
            if has_configuration(head)
        ]
        return encode_json([to_plain(one) for one in blame(versions, path)])

    async def explain(self, request: web.Request) -> web.Response:
        """List automatic decisions."""
        limit = read_query(request, 'limit', 'whole', HISTORY_LIMIT)
        decisions = await self.services.journal.ask(
            Question(
                subject=request.query.get('subject') or None,
                team=request.query.get('team') or None,
                request_id=request.query.get('request_id') or None,
                since_s=read_time(request, SINCE),
                until_s=read_time(request, UNTIL),
                limit=max(1, min(limit, HISTORY_LIMIT)),
            )
        )
        return encode_json([to_plain(decision) for decision in decisions])

    async def show_drains(self, _request: web.Request) -> web.Response:
        """List the drains."""
        snapshot = await self.ask_snapshot()
        told = await self.services.steering.ask(DrainQuery())
        progress = {one.drain_id: to_plain(one) for one in told}
        return encode_json(
            [
                {
                    **to_plain(drain),
                    'state': name_state(drain, snapshot.unix_s),
                    **progress.get(drain.drain_id, {}),
                }
                for drain in snapshot.configuration.drains
            ]
        )

    async def compare(self, request: web.Request) -> web.Response:
        """Compare a text with what is in force."""
        form = read_form(await request.read(), (TEXT, FILE))
        snapshot = await self.ask_snapshot()
        return encode_json(encode_differences(snapshot, read_text(form)))

    async def foresee(self, request: web.Request) -> web.Response:
        """Say what a text would move."""
        form = read_form(await request.read(), (TEXT, FILE))
        snapshot = await self.ask_snapshot()
        proposed = read_text(form)
        effects = foresee(snapshot.configuration, proposed)
        return encode_json(
            {
                **encode_differences(snapshot, proposed),
                'effects': [to_plain(effect) for effect in effects],
            }
        )

    async def ask_snapshot(self) -> Snapshot:
        """Return what is in force here."""
        snapshot: Snapshot = await self.services.administration.ask(
            SnapshotQuery()
        )
        return snapshot


def read_text(form: Form) -> Configuration:
    """Return the configuration of a form; raise SettingsError."""
    return read_configuration(form.text('text'), file=form.text('file'))


def encode_differences(
    snapshot: Snapshot, proposed: Configuration
) -> dict[str, Any]:
    """Return the documented JSON form of a comparison."""
    differences = compare(snapshot.configuration, proposed)
    return {
        'base_version': snapshot.head.version if snapshot.head else 0,
        'differences': [to_plain(one) for one in differences],
    }


def read_query(request: web.Request, name: str, kind: Any, default: Any) -> Any:
    """Return a member of the query; raise RejectedError if it is wrong."""
    shown: Any = request.query.get(name, default)
    if kind == 'whole' and isinstance(shown, str):
        is_number = shown.isascii() and shown.isdecimal()
        shown = float(shown) if is_number else shown
        shown = int(shown) if is_number and shown <= WHOLE_LIMIT else shown
    problem = check_member(Field(name, kind, limit=TEXT_LIMIT), shown)
    if problem is not None:
        raise RejectedError(malformed(f'{name}: {problem}'))
    return shown


def read_time(request: web.Request, field: Field) -> int:
    """Return Unix seconds of the query; raise RejectedError if wrong."""
    shown = read_query(request, field.name, field.kind, field.default)
    return int(shown)
