import re
from pathlib import Path

import pytest

SOURCE = Path(__file__).parent.parent / 'src' / 'currantspur'
# Names that only the adapter, the stand-ins for the platform and demo.py may
# use.
PLATFORM_NAMES = re.compile(
    r'rows-tx|rows-feed|rows-get|resource_list|capacity_slots|seed_nodes|'
    r'X-Server|X-Not-Executed|X-Expect-Instance|X-Tenant|X-Affinity|'
    r'X-Request-Deadline|session_affinity|weighted_split|api_keys|/-/resolve'
)
PLATFORM_FOLDERS = ('platform', 'standins')
OTHER_MODULES = [
    file
    for file in sorted(SOURCE.rglob('*.py'))
    if file.relative_to(SOURCE).parts[0] not in {*PLATFORM_FOLDERS, 'demo.py'}
]


@pytest.mark.parametrize(
    'file', OTHER_MODULES, ids=lambda file: str(file.relative_to(SOURCE))
)
def test_other_modules_do_not_name_the_platform(file):
    assert not PLATFORM_NAMES.findall(file.read_text(encoding='utf-8'))


@pytest.mark.parametrize(
    'file',
    sorted((SOURCE / 'decisions').glob('*.py')),
    ids=lambda file: file.name,
)
def test_decisions_import_no_clock_socket_or_loop(file):
    forbidden_imports = re.findall(
        r'^(?:import|from) (?:asyncio|time|socket|aiohttp)',
        file.read_text(encoding='utf-8'),
        re.MULTILINE,
    )
    assert not forbidden_imports
