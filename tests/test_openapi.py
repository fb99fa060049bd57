import re
from contextlib import AsyncExitStack
from pathlib import Path

import orjson
import pytest

from currantspur.wire.admin.openapi import describe_api
from tests.operators import AdminInstance, open_instance

PAGE = Path(__file__).parent.parent / 'docs/operators/openapi.json'
COMMITTED = orjson.loads(PAGE.read_bytes())
OPERATIONS = [
    (path, method, operation)
    for path, methods in COMMITTED['paths'].items()
    for method, operation in methods.items()
]


@pytest.fixture
async def served():
    async with AsyncExitStack() as stack:
        yield await open_instance(stack)


async def test_committed_description_is_current():
    async with AsyncExitStack() as stack:
        routes = AdminInstance(stack).listener.routes()
    assert describe_api(routes) == COMMITTED


async def test_every_route_is_described():
    async with AsyncExitStack() as stack:
        application = AdminInstance(stack).listener.application()
    served = {
        (route.method.lower(), route.resource.canonical)
        for route in application.router.routes()
    }
    described = {(method, path) for path, method, _ in OPERATIONS}
    assert served == described


@pytest.mark.parametrize(('path', 'method', 'operation'), OPERATIONS)
async def test_description_holds(served, path, method, operation):
    url = re.sub(r'\{\w+\}', 'none', path)
    status, _ = await served.call(method, url, None, None)
    is_guarded = 'security' in operation
    assert (status == 401) == is_guarded
    assert str(status) in operation['responses']
    body = operation.get('requestBody')
    if body is None:
        return
    schema = body['content']['application/json']['schema']
    status, answer = await served.call(method, url, {'other': 1})
    blamed = {one['path'] for one in answer['error']['findings']}
    assert status == 400
    assert blamed == {'other', *schema['required']}
    role = operation.get('x-role')
    status, _ = await served.call(method, url, {}, 'reader')
    assert status == {'read': 400}.get(role, 403)
