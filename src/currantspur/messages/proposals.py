"""Define proposals: changes that wait for another operator."""

from currantspur.messages.base import Message


class Proposal(Message):
    """Hold a text that an operator proposes on top of a base version."""

    __slots__ = (
        'at_s',
        'author',
        'base_version',
        'note',
        'proposal_id',
        'stored_as',
    )

    def __init__(
        self,
        *,
        proposal_id: str,
        author: str,
        base_version: int,
        stored_as: str,
        note: str = '',
        at_s: float = 0.0,
    ) -> None:
        """Take the name of the object that holds the text."""
        self.proposal_id = proposal_id
        self.author = author
        self.base_version = base_version
        self.stored_as = stored_as
        self.note = note
        self.at_s = at_s
