"""Tasks of an instance and the mailboxes between them."""

from currantspur.tasks.admission import AdmissionTask
from currantspur.tasks.clock import Clock, SystemClock
from currantspur.tasks.dispatcher import Dispatcher
from currantspur.tasks.failover_store import FailoverStore, RelayPort
from currantspur.tasks.follower_group import FollowerGroup
from currantspur.tasks.forwarder import RequestForwarder
from currantspur.tasks.journal import Journal, LineSink
from currantspur.tasks.mailbox import Envelope, Mailbox
from currantspur.tasks.membership import Membership
from currantspur.tasks.ports import (
    BodySource,
    HeartbeatPort,
    Store,
    TargetPort,
)
from currantspur.tasks.registrar import Registrar
from currantspur.tasks.route_explainer import RouteExplainer
from currantspur.tasks.row_relay import RowRelay
from currantspur.tasks.table_follower import TableFollower
from currantspur.tasks.task import Task

__all__ = (
    'AdmissionTask',
    'BodySource',
    'Clock',
    'Dispatcher',
    'Envelope',
    'FailoverStore',
    'FollowerGroup',
    'HeartbeatPort',
    'Journal',
    'LineSink',
    'Mailbox',
    'Membership',
    'Registrar',
    'RelayPort',
    'RequestForwarder',
    'RouteExplainer',
    'RowRelay',
    'Store',
    'SystemClock',
    'TableFollower',
    'TargetPort',
    'Task',
)
