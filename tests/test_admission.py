import pytest

from currantspur.decisions.allowance import Allowance
from currantspur.decisions.freshness import Freshness
from currantspur.decisions.identity import KeyRing, mint_key
from currantspur.decisions.routing import RouteTable
from currantspur.messages import Arrival, Part, Proof, Route
from currantspur.pipelines import AdmissionState, assemble_admission

FRESH_S = 1.5
SECRET, KEPT = mint_key('team-1')
OTHER_SECRET, _ = mint_key('team-1')


def open_state(*, proven_at: float = 10.0, level: float = 1.0):
    state = AdmissionState(freshness=Freshness(limit_s=FRESH_S))
    state.version = 3
    state.freshness.accept(Proof(version=3, proven_at=proven_at))
    state.keys = KeyRing([KEPT])
    state.routes = RouteTable(
        [
            Route(prefix='/status', service='status', deadline_s=2),
            Route(prefix='/wording', service='wording', access='open'),
        ]
    )
    state.holdings.version = 3
    state.holdings.allowances = {
        'team/team-1': Allowance(Part(rate=0, burst=1), at=10, level=level),
    }
    return state


@pytest.mark.parametrize(
    ('path', 'key', 'at', 'level', 'code'),
    [
        ('/status/7', SECRET, 10.0, 1, None),
        ('/status/7?a=b', SECRET, 11.5, 1, None),
        ('/status/7', SECRET, 11.6, 1, 'not_fresh'),
        ('/status/7', SECRET, 10.0, 0, 'rate_exceeded'),
        ('/status/7', None, 10.0, 1, 'key_missing'),
        ('/status/7', OTHER_SECRET, 10.0, 1, 'key_unknown'),
        ('/status/7', 'ck_x', 10.0, 1, 'key_unknown'),
        ('/statuses', SECRET, 10.0, 1, 'route_unknown'),
        ('/wording', None, 99.0, 0, None),
        ('/', None, 10.0, 1, 'route_unknown'),
    ],
)
def test_admission(path, key, at, level, code):
    state = open_state(level=level)
    arrival = Arrival(request_id='r', at=at, method='GET', path=path, key=key)
    passage = next(assemble_admission(state).run([arrival]))
    found = passage.refusal.code if passage.refusal else None
    assert found == code
    assert passage.refusal is None or passage.refusal.not_run


def test_key_leaves_the_passage():
    arrival = Arrival(
        request_id='r', at=10, method='GET', path='/status', key=SECRET
    )
    passage = next(assemble_admission(open_state()).run([arrival]))
    assert passage.team == 'team-1'
    assert SECRET not in repr(passage)


@pytest.mark.parametrize(
    ('proofs', 'version', 'fresh'),
    [
        ([(3, 10.0)], 3, True),
        ([(3, 10.0), (2, 99.0)], 3, True),
        ([(3, 10.0), (4, 10.0)], 3, False),
        ([(3, 8.0), (3, 9.9)], 3, True),
        ([(3, 8.0)], 3, False),
        ([], 3, False),
    ],
)
def test_freshness(proofs, version, fresh):
    freshness = Freshness(limit_s=FRESH_S)
    for proven, proven_at in proofs:
        freshness.accept(Proof(version=proven, proven_at=proven_at))
    assert freshness.is_fresh(11.0, version=version) is fresh
