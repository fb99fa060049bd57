"""Collect the parts of a configuration with the places they come from."""

import inspect
import re
import sys
from collections.abc import Iterable
from functools import partial
from types import MappingProxyType
from typing import Any, Final

from currantspur.authoring.place import Place, find_place
from currantspur.decisions.difference import IDENTITIES
from currantspur.errors import SettingsError
from currantspur.messages import (
    Block,
    Configuration,
    Drain,
    Key,
    Link,
    Message,
    Operator,
    Region,
    Route,
    Steering,
    Target,
    Team,
)
from currantspur.settings import (
    Finding,
    print_configuration,
    read_configuration,
)

STEERING = 'steering'
SECTIONS: Final = MappingProxyType(
    {
        Block: 'blocks',
        Drain: 'drains',
        Key: 'keys',
        Link: 'links',
        Operator: 'operators',
        Region: 'regions',
        Route: 'routes',
        Target: 'targets',
        Team: 'teams',
    }
)
MEMBER_PATTERN = re.compile(r'(\w+)\[(\d+)\]')
EXIT_FINDINGS = 1


class Part(Message):
    """Hold a part of a configuration and where it was added."""

    __slots__ = ('message', 'place')

    def __init__(self, *, message: Message, place: Place) -> None:
        self.message = message
        self.place = place


class Draft:
    """Hold a configuration that is being written."""

    __slots__ = ('findings', 'parts', 'steering')

    def __init__(self) -> None:
        self.parts: dict[str, list[Part]] = {}
        self.steering: Part | None = None
        self.findings: list[Finding] = []

    def add(self, *messages: Message) -> None:
        """Add parts; the place of the call is kept for findings."""
        frame = inspect.currentframe()
        place = find_place(frame.f_back if frame else None)
        for message in messages:
            self._add(message, place)

    def configuration(self) -> Configuration:
        """Return the configuration or raise SettingsError with its places."""
        try:
            configuration = read_configuration(self._print(), file='')
        except SettingsError as error:
            findings = [self._place(finding) for finding in error.findings]
            raise SettingsError([*self.findings, *findings]) from error
        if self.findings:
            raise SettingsError(self.findings)
        return configuration

    def text(self) -> str:
        """Return the configuration as YAML; equal drafts give equal bytes."""
        return print_configuration(self.configuration())

    def write(self) -> None:
        """Print the configuration, or its findings and exit 1."""
        try:
            sys.stdout.write(self.text())
        except SettingsError as error:
            sys.stderr.write(f'{error}\n')
            sys.exit(EXIT_FINDINGS)

    def _add(self, message: Message, place: Place) -> None:
        part = Part(message=message, place=place)
        section = SECTIONS.get(type(message))
        if section:
            self.parts.setdefault(section, []).append(part)
        elif isinstance(message, Steering):
            self._steer(part)
        else:
            kind = type(message).__name__
            self.findings.append(place.blame('', f'not a part: {kind}'))

    def _steer(self, part: Part) -> None:
        if self.steering is None:
            self.steering = part
        else:
            self.findings.append(part.place.blame(STEERING, 'given twice'))

    def _print(self) -> str:
        sections: dict[str, Any] = {}
        for section, parts in self.parts.items():
            parts.sort(key=partial(_read_identity, IDENTITIES[section]))
            sections[section] = tuple(part.message for part in parts)
        steering: Any = self.steering.message if self.steering else None
        return print_configuration(Configuration(**sections, steering=steering))

    def _place(self, finding: Finding) -> Finding:
        matched = MEMBER_PATTERN.match(finding.path)
        if matched:
            section, index = matched.groups()
            part = self.parts[section][int(index)]
        elif self.steering and finding.path.startswith(STEERING):
            part = self.steering
        else:
            return finding
        return part.place.blame(finding.path, finding.text)


def _read_identity(names: Iterable[str], part: Part) -> tuple[str, ...]:
    return tuple(str(getattr(part.message, name)) for name in names)
