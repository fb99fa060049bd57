"""Typed access to YAML documents that collects all findings."""

import math
from collections.abc import Iterable, Iterator
from ipaddress import IPv6Address, ip_address
from itertools import chain
from typing import TypeVar

import yaml

from currantspur.errors import SettingsError
from currantspur.settings.findings import Finding

_Scalar = TypeVar('_Scalar', str, float)

MAX_DOCUMENT_CHARACTERS = 67_108_864
MAX_DEPTH = 24
MAX_PORT = 65535
MAX_PORT_DIGITS = 5
# Stands in findings for a key that is a mapping or a sequence.
NON_SCALAR_KEY = '?'
_TEXT_TAG = 'tag:yaml.org,2002:str'
_FLAG_TAG = 'tag:yaml.org,2002:bool'
_TRUE_WORDS = frozenset(('on', 'true', 'yes'))
_NULL_TAG = 'tag:yaml.org,2002:null'
_NUMBER_TAGS = frozenset(
    (
        'tag:yaml.org,2002:int',
        'tag:yaml.org,2002:float',
    )
)


class Document:
    """A parsed YAML file and the findings about it.

    The constructor raises nothing: if the text is too long, is not YAML, has
    aliases or is nested too deeply, it adds a finding and the root is absent.
    """

    __slots__ = ('file', 'findings', 'root')

    def __init__(self, text: str, *, file: str) -> None:
        self.file = file
        self.findings: list[Finding] = []
        self.root = NodeReader(self, _compose(self, text), path='')

    def add_finding(self, node: yaml.Node | None, path: str, text: str) -> None:
        """Add a finding at the start of a node, or of the file for None."""
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
        """Raise SettingsError with all findings if there are any."""
        if self.findings:
            raise SettingsError(self.findings)


class NodeReader:
    """Read typed values from the mapping at one node.

    A missing or wrong value adds a finding to the document and reads as an
    empty string or the lowest allowed number, so that one pass finds all
    mistakes. Null counts as missing.
    """

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
        """Add a finding at this node, or at its parent if it is missing."""
        self.document.add_finding(self.node or self.parent, self.path, text)

    def child(self, key: str) -> 'NodeReader':
        """Return a reader of the value of a key, absent if the key is."""
        self.requested_keys.add(key)
        path = f'{self.path}.{key}' if self.path else key
        for key_node, node in self._pairs():
            if key_node.value == key:
                return NodeReader(self.document, node, path=path)
        return NodeReader(self.document, None, path=path, parent=self.node)

    def list_keys(self) -> list[str]:
        """Return the keys in the order of the file, duplicates included."""
        return [_read_key(key_node) for key_node, _ in self._pairs()]

    @property
    def is_absent(self) -> bool:
        """Whether the value is missing or null."""
        return self.node is None or self.node.tag == _NULL_TAG

    def text(self, key: str, default: str | None = None) -> str:
        """Return the string of a key, which is required without a default."""
        member = self.child(key)
        if member.is_absent:
            return member.default_or_finding(default, '')
        if member.node is None or member.node.tag != _TEXT_TAG:
            member.add_finding('expected a string')
            return ''
        return str(member.node.value)

    def number(
        self,
        key: str,
        default: float | None = None,
        *,
        low: float = 0.0,
        high: float = math.inf,
    ) -> float:
        """Return the finite number of a key, from low to high."""
        member = self.child(key)
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

    def flag(self, key: str, *, default: bool) -> bool:
        """Return the true or false of a key."""
        member = self.child(key)
        if member.is_absent:
            return default
        if member.node is None or member.node.tag != _FLAG_TAG:
            member.add_finding('expected true or false')
            return default
        return member.node.value.lower() in _TRUE_WORDS

    def address(self, key: str, default: str | None = None) -> str:
        """Return an IP address and port, as 127.0.0.1:8080 or [::1]:8080."""
        text = self.text(key, default)
        if text and not is_address(text):
            self.child(key).add_finding(
                'expected an IP address and port, such as 127.0.0.1:8080',
            )
        return text

    def default_or_finding(
        self, default: _Scalar | None, fallback: _Scalar
    ) -> _Scalar:
        """Return the default, or add a finding and return the fallback."""
        if default is None:
            self.add_finding('missing')
            return fallback
        return default

    def check_keys(self) -> None:
        """Add a finding for each key that is duplicate or was not requested."""
        seen: set[str] = set()
        for key_node, _ in self._pairs():
            key = _read_key(key_node)
            path = f'{self.path}.{key}' if self.path else key
            if key not in self.requested_keys:
                self.document.add_finding(key_node, path, 'unknown key')
            if key in seen:
                self.document.add_finding(key_node, path, 'duplicate key')
            seen.add(key)

    def _pairs(self) -> list[tuple[yaml.Node, yaml.Node]]:
        if isinstance(self.node, yaml.MappingNode):
            pairs: list[tuple[yaml.Node, yaml.Node]] = self.node.value
            return pairs
        return []


def is_address(text: str) -> bool:
    """Return whether a text is an IP address, a colon and a port above 0.

    As in a URL, IPv6 addresses are in brackets; they have no zone.
    """
    host, separator, port = text.rpartition(':')
    if not separator or not text.isascii() or not _is_port(port):
        return False
    has_brackets = host.startswith('[') and host.endswith(']')
    try:
        address = ip_address(host[1:-1] if has_brackets else host)
    except ValueError:
        return False
    is_ipv6 = isinstance(address, IPv6Address)
    return has_brackets == is_ipv6 and '%' not in host


def _is_port(text: str) -> bool:
    # The length is checked first: long digit strings take long to convert.
    is_number = len(text) <= MAX_PORT_DIGITS and text.isdecimal()
    return is_number and 0 < int(text) <= MAX_PORT


def split_address(text: str) -> tuple[str, int]:
    """Return the IP address, without brackets, and the port."""
    host, _, port = text.rpartition(':')
    return host.strip('[]'), int(port)


def _read_key(node: yaml.Node) -> str:
    if isinstance(node, yaml.ScalarNode):
        return str(node.value)
    return NON_SCALAR_KEY


def _parse_number(node: yaml.Node | None) -> float | None:
    if node is None or node.tag not in _NUMBER_TAGS:
        return None
    try:
        number = float(str(node.value).replace('_', ''))
    except ValueError:
        return None
    return number if math.isfinite(number) else None


def _compose(document: Document, text: str) -> yaml.Node | None:
    if len(text) > MAX_DOCUMENT_CHARACTERS:
        document.add_finding(
            None, '', f'longer than {MAX_DOCUMENT_CHARACTERS} characters'
        )
        return None
    try:
        node = yaml.compose(text, Loader=yaml.CSafeLoader)
    except (yaml.YAMLError, ValueError, RecursionError) as error:
        _add_syntax_error(document, error)
        return None
    if not isinstance(node, yaml.MappingNode):
        document.add_finding(node, '', 'expected a mapping of keys to values')
        return node
    # Only the first forbidden node is reported.
    for forbidden, problem in _find_forbidden_nodes(node):
        document.add_finding(forbidden, '', problem)
        return None
    return node


def _add_syntax_error(document: Document, error: Exception) -> None:
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


def _find_forbidden_nodes(root: yaml.Node) -> Iterator[tuple[yaml.Node, str]]:
    """Yield nodes that are nested too deeply or used twice.

    Aliases are not allowed since nested ones expand exponentially.
    """
    seen: set[int] = set()
    pending = [(root, 0)]
    while pending:
        node, depth = pending.pop()
        if id(node) in seen:
            yield node, 'aliases are not allowed'
        elif depth > MAX_DEPTH:
            yield node, f'nested more than {MAX_DEPTH} levels deep'
        seen.add(id(node))
        pending.extend((child, depth + 1) for child in _list_children(node))


def _list_children(node: yaml.Node) -> Iterable[yaml.Node]:
    if isinstance(node, yaml.MappingNode):
        return chain.from_iterable(node.value)
    return node.value if isinstance(node, yaml.SequenceNode) else ()
