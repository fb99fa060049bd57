"""Compare the rows of a table with those that peers have."""

# Peers learn of a change at about the same time; a follower that still lacks it
# after this time asks again by a new call.
STALE_AFTER_S = 0.4
# A change passes up to two relays, each of which may delay it.
RELAYED_STALE_AFTER_S = 0.9


class PeerRevisions:
    """The newest row revision of peers, and since when it is missing here."""

    __slots__ = ('behind_since', 'newest', 'peer', 'stale_after_s')

    def __init__(self) -> None:
        self.newest = -1
        # The peer that has it.
        self.peer = ''
        # In monotonic seconds; None while nothing is missing.
        self.behind_since: float | None = None
        self.stale_after_s = STALE_AFTER_S

    def record(self, revision: int, *, peer: str, is_outage: bool) -> None:
        """Record what a peer reports.

        While calls fail, the peer heard last is the one to ask: the first that
        had the revision may be out of reach too.
        """
        is_newer = revision > self.newest
        if is_newer or (is_outage and revision == self.newest):
            self.newest = revision
            self.peer = peer

    def update(self, at: float, *, is_behind: bool) -> None:
        """Note the time if rows begin to be missing, or drop it if none is."""
        if not is_behind:
            self.behind_since = None
        elif self.behind_since is None:
            self.behind_since = at

    def is_stale_call(self, started_at: float, now: float) -> bool:
        """Tell whether a call should have returned what is missing.

        A call that began later may be in the middle of a long transfer.
        """
        since = self.behind_since
        if since is None:
            return False
        return started_at <= since and now - since > self.stale_after_s
