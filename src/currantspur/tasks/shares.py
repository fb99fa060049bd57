"""Share team limits equally among the live instances."""

from collections.abc import Iterable

from currantspur.messages import (
    Configuration,
    InForce,
    Instance,
    Membership,
    Part,
    Parts,
    name_team_limit,
)
from currantspur.tasks.mailbox import Letter, Mailbox
from currantspur.tasks.task import Task


class EqualShares(Task):
    """Tell admission its parts whenever version or members change."""

    __slots__ = ('admission', 'configuration', 'members')

    def __init__(self, *, admission: Mailbox) -> None:
        super().__init__()
        self.admission = admission
        self.configuration = Configuration()
        self.members: tuple[Instance, ...] = ()

    def receive(self, letters: Iterable[Letter]) -> None:
        """Note versions and members, then share anew."""
        for letter in letters:
            if isinstance(letter.message, InForce):
                self.configuration = letter.message.configuration
            elif isinstance(letter.message, Membership):
                self.members = letter.message.instances
        live = [one for one in self.members if one.state == 'live']
        count = max(1, len(live))
        parts = {
            name_team_limit(team.name): Part(
                rate=team.rate / count, burst=team.burst / count
            )
            for team in self.configuration.teams
        }
        self.admission.post(Parts(by_limit=parts))
