"""Documents of other programs with one odd value in them."""

import json

from hypothesis import strategies as st

ODD_VALUES = (
    None,
    True,
    '',
    'x',
    'nan',
    'inf',
    '-1',
    '1e999',
    '9' * 400,
    '\x00\r\n',
    'ñ',
    '\ud800',
    '\U0001f600' * 300,
    0,
    -1,
    0.5,
    2**31,
    2**53,
    2**63,
    2**64 - 1,
    10**30,
    10**400,
    1e308,
    -1e308,
    1e-308,
    float('nan'),
    float('inf'),
    float('-inf'),
    [],
    [[]],
    [None],
    {},
    {'': None},
    {'x': {'x': []}},
)
odd_values = st.sampled_from(ODD_VALUES) | st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats()
    | st.text(max_size=8),
    lambda children: (
        st.lists(children, max_size=3)
        | st.dictionaries(st.text(max_size=8), children, max_size=3)
    ),
    max_leaves=6,
)


def list_paths(document, path=()):
    """Yield the path of each value in a document, also of containers."""
    yield path
    if isinstance(document, dict):
        parts = document.items()
    elif isinstance(document, list | tuple):
        parts = enumerate(document)
    else:
        parts = ()
    for key, part in parts:
        yield from list_paths(part, (*path, key))


def replace_at(document, path, odd_value):
    """Return a copy of a document with another value at a path."""
    if not path:
        return odd_value
    copy = dict(document) if isinstance(document, dict) else list(document)
    copy[path[0]] = replace_at(copy[path[0]], path[1:], odd_value)
    return copy


def odd_documents(document):
    """Return a strategy for encoded documents with one odd value."""
    return st.builds(
        lambda path, odd_value: json.dumps(
            replace_at(document, path, odd_value)
        ).encode(),
        st.sampled_from(sorted(list_paths(document), key=str)),
        odd_values,
    )
