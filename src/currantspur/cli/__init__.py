"""Offer the command line: one module for each group of commands."""

from currantspur.cli import changes, checking, daemons, drains, keys, review
from currantspur.cli.application import app, main

__all__ = (
    'app',
    'changes',
    'checking',
    'daemons',
    'drains',
    'keys',
    'main',
    'review',
)
from currantspur.cli import checking, daemons, loading
from currantspur.cli.application import app, main

__all__ = ('app', 'checking', 'daemons', 'loading', 'main')
