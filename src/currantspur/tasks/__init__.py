"""Run tasks that own their state and talk by messages."""

from currantspur.tasks.administration import AdministrationTask
from currantspur.tasks.admission import AdmissionTask
from currantspur.tasks.attempts import Attempts, TargetPort
from currantspur.tasks.blocks import BlockLoader
from currantspur.tasks.body import BodySource, RequestBody
from currantspur.tasks.changes import ChangeTask
from currantspur.tasks.claim_sweep import ClaimSweep
from currantspur.tasks.claims import ClaimTask
from currantspur.tasks.clock import Clock, SystemClock
from currantspur.tasks.committer import (
    Committer,
    DirectCommitter,
    QuorumCommitter,
)
from currantspur.tasks.control import Control
from currantspur.tasks.decisions import DecisionWriter
from currantspur.tasks.exchange import Exchange
from currantspur.tasks.health import HealthPort, HealthTask
from currantspur.tasks.journal import Journal
from currantspur.tasks.limits import Limits
from currantspur.tasks.mailbox import Letter, Mailbox
from currantspur.tasks.peers import PeerPort
from currantspur.tasks.steering import SteeringTask
from currantspur.tasks.targets import TargetPool
from currantspur.tasks.task import Task

__all__ = (
    'AdministrationTask',
    'AdmissionTask',
    'Attempts',
    'BlockLoader',
    'BodySource',
    'ChangeTask',
    'ClaimSweep',
    'ClaimTask',
    'Clock',
    'Committer',
    'Control',
    'DecisionWriter',
    'DirectCommitter',
    'Exchange',
    'HealthPort',
    'HealthTask',
    'Journal',
    'Letter',
    'Limits',
    'Mailbox',
    'PeerPort',
    'QuorumCommitter',
    'RequestBody',
    'SteeringTask',
    'SystemClock',
    'TargetPool',
    'TargetPort',
    'Task',
)
