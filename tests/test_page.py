from contextlib import AsyncExitStack
from html.parser import HTMLParser

import pytest
from aiohttp import encode_basic_auth

from currantspur.messages import (
    Configuration,
    Decision,
    Drain,
    Head,
    Instance,
    Part,
    Region,
    Team,
)
from currantspur.messages.operators import LimitUse, MemberStatus, Snapshot
from currantspur.wire.admin.page import PageModel, print_page
from currantspur.wire.admin.readings import LABELS_LIMIT, print_readings
from tests.operators import SECRETS, open_instance

HOSTILE = '<script>alert("&\'")</script>'
MEMBER = Instance(
    name=HOSTILE, address='a', peer='b', availability_zone=HOSTILE
)
HEAD = Head(version=7, sections={}, author=HOSTILE, change_id='c')


def describe(name=HOSTILE, count=1):
    teams = [
        Team(name=f'{name}{index}', rate=10.0, burst=5.0)
        for index in range(count)
    ]
    return Snapshot(
        head=HEAD,
        configuration=Configuration(
            teams=tuple(teams),
            regions=(
                Region(
                    name=name,
                    availability_zones=(name,),
                    intake_rate=100.0,
                    intake_burst=1.0,
                ),
            ),
            drains=(Drain(drain_id=name, scope='target', name=name),),
        ),
        fresh_age_s=0.25,
        members=(MEMBER,),
        parts={},
        unix_s=1_000_000.0,
    )


USE = LimitUse(
    limit=f'team/{HOSTILE}0',
    part=Part(rate=4.0, burst=2.0),
    level=1.5,
    lent=0.5,
    demand=3.9,
)


class Reader(HTMLParser):
    def __init__(self):
        super().__init__()
        self.tags = []
        self.cells = []

    def handle_starttag(self, tag, attrs):
        self.tags.append(tag)
        assert not any(name.startswith('on') for name, _ in attrs)

    def handle_data(self, data):
        self.cells.append(data)


@pytest.mark.parametrize(
    'shown',
    [HOSTILE, f'{HOSTILE}0', '10', '4', '1.5', '3.9', '100', 'unknown'],
)
def test_page(shown):
    decision = Decision(
        at_s=1.0,
        instance=HOSTILE,
        kind='shift',
        subject=HOSTILE,
        action=HOSTILE,
        reason=HOSTILE,
    )
    reader = Reader()
    reader.feed(
        print_page(
            PageModel(
                instance=HOSTILE,
                snapshot=describe(),
                members=[MemberStatus(instance=MEMBER)],
                uses=(USE,),
                decisions=[decision],
            )
        )
    )
    assert shown in reader.cells
    assert 'script' not in reader.tags
    assert reader.tags.count('h2') == 5


@pytest.mark.parametrize(
    'line',
    [
        'currantspur_version_in_force 7.0',
        'currantspur_freshness_age_seconds 0.25',
        'currantspur_members{state="live"} 1.0',
        'currantspur_limit_total_rate{limit="region/a"} 100.0',
        'currantspur_limit_total_burst{limit="team/a0"} 5.0',
        'currantspur_limit_part_rate{limit="team/a0"} 4.0',
        'currantspur_limit_level{limit="team/a0"} 1.5',
        'currantspur_limit_lent{limit="team/a0"} 0.5',
        'currantspur_limit_demand{limit="team/a0"} 3.9',
    ],
)
def test_readings(line):
    use = LimitUse(
        limit='team/a0',
        part=USE.part,
        level=USE.level,
        lent=USE.lent,
        demand=USE.demand,
    )
    stray = LimitUse(limit='team/gone', part=USE.part, level=0.0)
    printed = print_readings(describe('a'), (use, stray)).decode()
    assert line in printed.splitlines()
    assert 'gone' not in printed


def test_labels_are_bounded():
    printed = print_readings(describe('a', LABELS_LIMIT * 3)).decode()
    assert printed.count('currantspur_limit_total_rate{') == LABELS_LIMIT


@pytest.mark.parametrize(
    ('operator', 'status'), [('reader', 200), ('stranger', 401)]
)
async def test_page_in_a_browser(operator, status):
    async with AsyncExitStack() as stack:
        served = await open_instance(stack)
        shown = encode_basic_auth('anybody', SECRETS[operator])
        headers = {'Authorization': shown}
        async with served.session.get('/', headers=headers) as response:
            body = await response.text()
            assert response.status == status
            is_challenged = 'WWW-Authenticate' in response.headers
    assert is_challenged == (status == 401)
    assert ('<h1>' in body) == (status == 200)
