"""Define the tasks of an instance and the mailboxes between them."""

from currantspur.tasks.admission import AdmissionTask
from currantspur.tasks.carrier import Carrier
from currantspur.tasks.clock import Clock, SystemClock
from currantspur.tasks.dispatcher import Dispatcher
from currantspur.tasks.feed import Feed
from currantspur.tasks.journal import Journal, LineSink
from currantspur.tasks.mailbox import Letter, Mailbox
from currantspur.tasks.membership import Membership
from currantspur.tasks.ports import (
    BodySource,
    HeartbeatPort,
    Store,
    TargetPort,
)
from currantspur.tasks.registrar import Registrar
from currantspur.tasks.row_relay import RowRelay
from currantspur.tasks.sources import RelayPort, Sources
from currantspur.tasks.task import Task

__all__ = (
    'AdmissionTask',
    'BodySource',
    'Carrier',
    'Clock',
    'Dispatcher',
    'Feed',
    'HeartbeatPort',
    'Journal',
    'Letter',
    'LineSink',
    'Mailbox',
    'Membership',
    'Registrar',
    'RelayPort',
    'RowRelay',
    'Sources',
    'Store',
    'SystemClock',
    'TargetPort',
    'Task',
)
