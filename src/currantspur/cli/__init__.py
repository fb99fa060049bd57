"""Offer the command line: one module for each group of commands."""

from currantspur.cli import (
    changes,
    checking,
    daemons,
    drains,
    experiments,
    keys,
    loading,
    proposals,
    review,
)
from currantspur.cli.application import app, main

__all__ = (
    'app',
    'changes',
    'checking',
    'daemons',
    'drains',
    'experiments',
    'keys',
    'loading',
    'main',
    'proposals',
    'review',
)
