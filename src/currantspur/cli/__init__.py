"""Command line; each module registers one command."""

from currantspur.cli import (
    checking,
    daemons,
    demonstrating,
    experimenting,
    explaining,
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
    'soaking',
)
