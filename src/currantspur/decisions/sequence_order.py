"""Order the messages of a sender that numbers them anew at each start."""


class SequenceOrder:
    """Tell which messages of one sender are newer than all before.

    An incarnation is a random number that the sender draws at its start, and
    its sequence numbers grow by one with each message.
    """

    __slots__ = ('incarnation', 'previous_incarnation', 'sequence_number')

    def __init__(self, incarnation: int, sequence_number: int) -> None:
        """Start with the first message that was received."""
        self.incarnation = incarnation
        self.sequence_number = sequence_number
        self.previous_incarnation: int | None = None

    def advance(self, incarnation: int, sequence_number: int) -> bool:
        """Record a message and return True, or False if it is not newer.

        Late messages of the previous incarnation are not newer.
        """
        if incarnation == self.incarnation:
            if sequence_number <= self.sequence_number:
                return False
        elif incarnation == self.previous_incarnation:
            return False
        else:
            self.previous_incarnation = self.incarnation
        self.incarnation = incarnation
        self.sequence_number = sequence_number
        return True
