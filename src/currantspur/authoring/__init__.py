"""Write a configuration in Python and print it as YAML."""

from currantspur.authoring.draft import Draft
from currantspur.messages import (
    Block,
    Drain,
    Key,
    Link,
    Operator,
    Region,
    Route,
    Steering,
    Target,
    Team,
)

__all__ = (
    'Block',
    'Draft',
    'Drain',
    'Key',
    'Link',
    'Operator',
    'Region',
    'Route',
    'Steering',
    'Target',
    'Team',
)
