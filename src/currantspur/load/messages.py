"""Define what a load run sends and what came of it."""

from currantspur.messages.base import Message


class Mix(Message):
    """Describe one kind of request and its share of the load."""

    __slots__ = (
        'key',
        'method',
        'name',
        'path',
        'submission',
        'team',
        'weight',
    )

    def __init__(
        self,
        *,
        name: str,
        path: str,
        weight: float = 1.0,
        method: str = 'GET',
        team: str | None = None,
        key: str | None = None,
        submission: bool = False,
    ) -> None:
        self.name = name
        self.path = path
        self.weight = weight
        self.method = method
        self.team = team
        self.key = key
        self.submission = submission


class Allowance(Message):
    """State a team's rate (requests a second) and burst, to be checked."""

    __slots__ = ('burst', 'rate', 'team')

    def __init__(self, *, team: str, rate: float, burst: float) -> None:
        self.team = team
        self.rate = rate
        self.burst = burst


class LoadSpec(Message):
    """Describe a bounded load run."""

    __slots__ = (
        'allowances',
        'count',
        'doubled',
        'duration_s',
        'entries',
        'mixes',
        'rate',
        'seed',
        'targets',
        'timeout_s',
    )

    def __init__(
        self,
        *,
        entries: tuple[str, ...],
        mixes: tuple[Mix, ...],
        rate: float,
        duration_s: float,
        count: int = 100_000,
        seed: int = 1,
        doubled: float = 0.0,
        timeout_s: float = 10.0,
        targets: tuple[str, ...] = (),
        allowances: tuple[Allowance, ...] = (),
    ) -> None:
        """Take requests a second in all, and the share of doubled ones."""
        self.entries = entries
        self.mixes = mixes
        self.rate = rate
        self.duration_s = duration_s
        self.count = count
        self.seed = seed
        self.doubled = doubled
        self.timeout_s = timeout_s
        self.targets = targets
        self.allowances = allowances


class Shot(Message):
    """Plan one request: when, what and where."""

    __slots__ = ('at_s', 'entry', 'mix', 'path', 'request_id', 'submission')

    def __init__(
        self,
        *,
        at_s: float,
        mix: Mix | None = None,
        entry: str = '',
        request_id: str = '',
        path: str = '',
        submission: str | None = None,
    ) -> None:
        """Take the time as seconds since the start of the run."""
        self.at_s = at_s
        self.mix = mix
        self.entry = entry
        self.request_id = request_id
        self.path = path
        self.submission = submission


class Hit(Message):
    """Note what came of a shot."""

    __slots__ = (
        'code',
        'ended_s',
        'is_right',
        'not_run',
        'sent_s',
        'shot',
        'status',
    )

    def __init__(
        self,
        *,
        shot: Shot,
        sent_s: float,
        ended_s: float,
        status: int = 0,
        code: str = '',
        not_run: bool = False,
        is_right: bool = True,
    ) -> None:
        """Take times since the start; status 0 means that no answer came."""
        self.shot = shot
        self.sent_s = sent_s
        self.ended_s = ended_s
        self.status = status
        self.code = code
        self.not_run = not_run
        self.is_right = is_right


class Violation(Message):
    """Name a broken promise with an example."""

    __slots__ = ('example', 'promise')

    def __init__(self, *, promise: str, example: str) -> None:
        self.promise = promise
        self.example = example
