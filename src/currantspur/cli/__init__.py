"""Command line; importing a module registers its command."""

from currantspur.cli import (
    checking,
    daemons,
    demonstrating,
    experimenting,
    explaining,
    routing,
    soaking,
)
from currantspur.cli.application import app, main

__all__ = (
    'app',
    'checking',
    'daemons',
    'demonstrating',
    'experimenting',
    'explaining',
    'main',
    'routing',
    'soaking',
)
