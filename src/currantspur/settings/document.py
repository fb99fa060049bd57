"""Read YAML as nodes that know their place and collect findings."""

import math
from collections.abc import Iterable, Iterator
from ipaddress import ip_address
from itertools import chain
from typing import TypeVar

import yaml

from currantspur.errors import SettingsError
from currantspur.settings.findings import Finding

_Plain = TypeVar('_Plain', str, float)

SIZE_LIMIT_BYTES = 67_108_864
DEPTH_LIMIT = 24
PORT_LIMIT = 65535
NOT_A_NAME = '?'
_TEXT_TAG = 'tag:yaml.org,2002:str'
_NULL_TAG = 'tag:yaml.org,2002:null'
_NUMBER_TAGS = frozenset(
    (
        'tag:yaml.org,2002:int',
        'tag:yaml.org,2002:float',
    )
)


class Document:
    """Hold a parsed file and the findings about it."""

    __slots__ = ('file', 'findings', 'root')

    def __init__(self, text: str, *, file: str) -> None:
        self.file = file
        self.findings: list[Finding] = []
        self.root = NodeReader(self, _compose(self, text), path='')

    def add_finding(self, node: yaml.Node | None, path: str, text: str) -> None:
        """Add a finding at the place of a node."""
        mark = node.start_mark if node else None
        self.findings.append(
            Finding(
                file=self.file,
                line=mark.line + 1 if mark else 1,
                column=mark.column + 1 if mark else 1,
                path=path,
                text=text,
            )
        )

    def raise_findings(self) -> None:
        """Raise SettingsError with every finding, if there are any."""
        if self.findings:
            raise SettingsError(self.findings)


class NodeReader:
    """Read typed values below one node; a wrong one becomes a finding."""

    __slots__ = ('document', 'node', 'parent', 'path', 'requested_keys')

    def __init__(
        self,
        document: Document,
        node: yaml.Node | None,
        *,
        path: str,
        parent: yaml.Node | None = None,
    ) -> None:
        self.document = document
        self.node = node
        self.parent = parent
        self.path = path
        self.requested_keys: set[str] = set()

    def add_finding(self, text: str) -> None:
        """Add a finding at this place."""
        self.document.add_finding(self.node or self.parent, self.path, text)

    def child(self, name: str) -> 'NodeReader':
        """Return the value under a name; a missing one has no node."""
        self.requested_keys.add(name)
        path = f'{self.path}.{name}' if self.path else name
        for key, node in self._pairs():
            if key.value == name:
                return NodeReader(self.document, node, path=path)
        return NodeReader(self.document, None, path=path, parent=self.node)

    def list_keys(self) -> list[str]:
        """List the names of a mapping."""
        return [_read_name(key) for key, _ in self._pairs()]

    @property
    def is_absent(self) -> bool:
        """Tell whether nothing was written here."""
        return self.node is None or self.node.tag == _NULL_TAG

    def text(self, name: str, default: str | None = None) -> str:
        """Return a text; a missing one without default is a finding."""
        member = self.child(name)
        if member.is_absent:
            return member.default_or_finding(default, '')
        if member.node is None or member.node.tag != _TEXT_TAG:
            member.add_finding('expected a text')
            return ''
        return str(member.node.value)

    def number(
        self,
        name: str,
        default: float | None = None,
        *,
        low: float = 0.0,
        high: float = math.inf,
    ) -> float:
        """Return a finite number within bounds."""
        member = self.child(name)
        if member.is_absent:
            return member.default_or_finding(default, low)
        number = _parse_number(member.node)
        if number is None:
            member.add_finding('expected a number')
            return low
        if not low <= number <= high:
            member.add_finding(f'expected a number from {low:g} to {high:g}')
            return low
        return number

    def address(self, name: str, default: str | None = None) -> str:
        """Return an IP number with a port, as 127.0.0.1:8080 or [::1]:8080."""
        text = self.text(name, default)
        if text and not is_address(text):
            self.child(name).add_finding(
                'expected an IP number and port, such as 127.0.0.1:8080',
            )
        return text

    def default_or_finding(
        self, default: _Plain | None, fallback: _Plain
    ) -> _Plain:
        """Return the default; blame its absence."""
        if default is None:
            self.add_finding('missing')
            return fallback
        return default

    def check_keys(self) -> None:
        """Blame every name that nobody asked for, and names given twice."""
        seen: set[str] = set()
        for key, _ in self._pairs():
            name = _read_name(key)
            path = f'{self.path}.{name}' if self.path else name
            if name not in self.requested_keys:
                self.document.add_finding(key, path, 'unknown name')
            if name in seen:
                self.document.add_finding(key, path, 'given twice')
            seen.add(name)

    def _pairs(self) -> list[tuple[yaml.Node, yaml.Node]]:
        if isinstance(self.node, yaml.MappingNode):
            pairs: list[tuple[yaml.Node, yaml.Node]] = self.node.value
            return pairs
        return []


def is_address(text: str) -> bool:
    """Tell whether a text is an IP number with a port."""
    host, separator, port = text.rpartition(':')
    if not separator or not port.isdecimal() or int(port) > PORT_LIMIT:
        return False
    try:
        ip_address(host.strip('[]'))
    except ValueError:
        return False
    return True


def split_address(text: str) -> tuple[str, int]:
    """Split an address into its IP number and port."""
    host, _, port = text.rpartition(':')
    return host.strip('[]'), int(port)


def _read_name(key: yaml.Node) -> str:
    if isinstance(key, yaml.ScalarNode):
        return str(key.value)
    return NOT_A_NAME


def _parse_number(node: yaml.Node | None) -> float | None:
    if node is None or node.tag not in _NUMBER_TAGS:
        return None
    try:
        number = float(str(node.value).replace('_', ''))
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def _compose(document: Document, text: str) -> yaml.Node | None:
    if len(text) > SIZE_LIMIT_BYTES:
        document.add_finding(None, '', f'larger than {SIZE_LIMIT_BYTES} bytes')
        return None
    try:
        node = yaml.compose(text, Loader=yaml.CSafeLoader)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        _add_syntax(document, error)
        return None
    if not isinstance(node, yaml.MappingNode):
        document.add_finding(node, '', 'expected names with values')
        return node
    for blamed, problem in _find_misuse(node):
        document.add_finding(blamed, '', problem)
        return None
    return node


def _add_syntax(document: Document, error: Exception) -> None:
    mark = getattr(error, 'problem_mark', None)
    problem = getattr(error, 'problem', None) or str(error)
    document.findings.append(
        Finding(
            file=document.file,
            line=mark.line + 1 if mark else 1,
            column=mark.column + 1 if mark else 1,
            path='',
            text=f'not YAML: {problem}',
        )
    )


def _find_misuse(root: yaml.Node) -> Iterator[tuple[yaml.Node, str]]:
    """Yield nodes nested too deep or used twice; aliases grow without end."""
    seen: set[int] = set()
    waiting = [(root, 0)]
    while waiting:
        node, depth = waiting.pop()
        if id(node) in seen:
            yield node, 'aliases are not allowed'
        elif depth > DEPTH_LIMIT:
            yield node, f'nested more than {DEPTH_LIMIT} levels'
        seen.add(id(node))
        waiting.extend((child, depth + 1) for child in _list_children(node))


def _list_children(node: yaml.Node) -> Iterable[yaml.Node]:
    if isinstance(node, yaml.MappingNode):
        return chain.from_iterable(node.value)
    return node.value if isinstance(node, yaml.SequenceNode) else ()
