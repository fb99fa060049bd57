"""Read the description of a load run."""

from currantspur.load.messages import Allowance, LoadSpec, Mix
from currantspur.settings.document import Cursor, Document, is_address

LONGEST_RUN_S = 3600.0
MOST_REQUESTS = 10_000_000
MOST_A_SECOND = 100_000.0
USUAL_COUNT = 100_000
USUAL_TIMEOUT_S = 10.0
LONGEST_TIMEOUT_S = 600.0
SMALLEST = 0.001


def read_load(text: str, *, file: str) -> LoadSpec:
    """Parse a load run; raise SettingsError with all findings."""
    document = Document(text, file=file)
    root = document.root
    spec = LoadSpec(
        entries=tuple(_read_addresses(root, 'entries')),
        targets=tuple(_read_addresses(root, 'targets')),
        mixes=tuple(_read_mix(member) for member in root.each('mixes')),
        allowances=tuple(
            _read_allowance(member) for member in root.each('allowances')
        ),
        rate=root.number('rate', low=SMALLEST, high=MOST_A_SECOND),
        duration_s=root.number('duration_s', low=0.1, high=LONGEST_RUN_S),
        count=int(root.number('count', USUAL_COUNT, low=1, high=MOST_REQUESTS)),
        seed=int(root.number('seed', 1)),
        doubled=root.number('doubled', 0.0, high=1.0),
        timeout_s=root.number(
            'timeout_s', USUAL_TIMEOUT_S, low=0.1, high=LONGEST_TIMEOUT_S
        ),
    )
    root.finish()
    for name, members in (('entries', spec.entries), ('mixes', spec.mixes)):
        if not members:
            root.child(name).blame('expected at least one')
    document.close()
    return spec


def _read_addresses(root: Cursor, name: str) -> list[str]:
    addresses = []
    for member in root.each(name):
        text = str(member.node.value) if member.node else ''
        if not is_address(text):
            member.blame('expected an IP number and port')
        addresses.append(text)
    return addresses


def _read_mix(cursor: Cursor) -> Mix:
    mix = Mix(
        name=cursor.text('name'),
        path=cursor.text('path'),
        weight=cursor.number('weight', 1.0, low=SMALLEST),
        method=cursor.choice('method', ('GET', 'POST'), 'GET'),
        team=cursor.text('team', '') or None,
        key=cursor.text('key', '') or None,
        submission=cursor.flag('submission', default=False),
    )
    cursor.finish()
    return mix


def _read_allowance(cursor: Cursor) -> Allowance:
    allowance = Allowance(
        team=cursor.text('team'),
        rate=cursor.number('rate'),
        burst=cursor.number('burst'),
    )
    cursor.finish()
    return allowance
