"""Run tasks that own their state and talk by messages."""

from currantspur.tasks.admission import AdmissionTask
from currantspur.tasks.blocks import BlockLoader
from currantspur.tasks.clock import Clock, SystemClock
from currantspur.tasks.committer import Committer, DirectCommitter
from currantspur.tasks.exchange import Exchange, TargetPort
from currantspur.tasks.journal import Journal
from currantspur.tasks.ledger import Ledger
from currantspur.tasks.mailbox import Letter, Mailbox
from currantspur.tasks.peers import PeerPort
from currantspur.tasks.platform_link import PlatformLink
from currantspur.tasks.steering import SteeringTask
from currantspur.tasks.targets import TargetPool
from currantspur.tasks.task import Task

__all__ = (
    'AdmissionTask',
    'BlockLoader',
    'Clock',
    'Committer',
    'DirectCommitter',
    'Exchange',
    'Journal',
    'Ledger',
    'Letter',
    'Mailbox',
    'PeerPort',
    'PlatformLink',
    'SteeringTask',
    'SystemClock',
    'TargetPool',
    'TargetPort',
    'Task',
)
