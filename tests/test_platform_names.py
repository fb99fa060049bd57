import re
from pathlib import Path

import pytest

SOURCE = Path(__file__).parent.parent / 'src' / 'currantspur'
# What only the adapter, and the stand-ins that take the platform's place, say.
NAMES = re.compile(
    r'rows-tx|rows-feed|rows-get|resource_list|capacity_slots|seed_nodes|'
    r'X-Server|X-Not-Executed|X-Expect-Instance|X-Tenant|X-Affinity|'
    r'X-Request-Deadline|session_affinity|weighted_split|api_keys|/-/resolve'
)
ROOMS = ('platform', 'standins')
FILES = [
    file
    for file in sorted(SOURCE.rglob('*.py'))
    if file.relative_to(SOURCE).parts[0] not in {*ROOMS, 'demo.py'}
]


@pytest.mark.parametrize(
    'file', FILES, ids=lambda file: str(file.relative_to(SOURCE))
)
def test_only_the_adapter_knows_the_platform(file):
    assert not NAMES.findall(file.read_text(encoding='utf-8'))


@pytest.mark.parametrize(
    'file',
    sorted((SOURCE / 'decisions').glob('*.py')),
    ids=lambda one: one.name,
)
def test_decisions_have_no_clock_socket_or_task(file):
    found = re.findall(
        r'^(?:import|from) (?:asyncio|time|socket|aiohttp)',
        file.read_text(encoding='utf-8'),
        re.MULTILINE,
    )
    assert not found
