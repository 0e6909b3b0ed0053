"""A model of a host for tests of load shedding: requests arrive at rates and take processor time."""

from collections import Counter, deque
from dataclasses import dataclass, field

from limpetusher.fleet.process.load_shedding import LoadShedder, LoadSheddingSettings, Verdict

REFUSAL_SECONDS = 0.00005
IDLE_POLL_SECONDS = 0.01
READS_PER_ROUND = 64
LISTEN_BACKLOG = 1024


@dataclass
class HostModel:
    """Host whose event loop accepts and processes a bounded number of waiting requests in each round.

    `rates` are requests per second by customer; `spare` is what other hosts can take, in seconds of this
    host's processor time per second. A name that ends with ` returning` stands for the requests of a customer
    that were tried before.
    """

    rates: dict[str, float]
    request_seconds: float = 0.002
    spare: float = 100.0
    settings: LoadSheddingSettings = field(default_factory=LoadSheddingSettings)
    unrecorded_seconds: float = 0.0
    """Part of the time of a refusal that the event loop can't attribute to it."""
    now: float = 0.0

    def __post_init__(self):
        self.shedder = LoadShedder(self.settings, spare=lambda _now: self.spare, now=self.now)
        self.received_until = self.now
        self.waiting: deque[tuple[float, str]] = deque()
        self.admitted: Counter[str] = Counter()
        self.shed: Counter[str] = Counter()
        self.refused: Counter[str] = Counter()
        self.rounds: list[float] = []

    def run(self, seconds: float) -> None:
        """Run the event loop for some time; counts and rounds are those of this time only."""
        self.admitted, self.shed, self.refused, self.rounds = Counter(), Counter(), Counter(), []
        end = self.now + seconds
        while self.now < end:
            if not self.run_round():
                self.now += IDLE_POLL_SECONDS

    def run_round(self) -> bool:
        """Run one round, and return whether it had something to do."""
        began_at = self.now
        reads = 0.0
        self.receive(began_at)
        if not self.waiting:
            return False
        self.shedder.record_unread(began_at - self.waiting[0][0])
        for _ in range(min(len(self.waiting), READS_PER_ROUND)):
            _, name = self.waiting.popleft()
            customer, _, suffix = name.partition(" ")
            verdict = self.shedder.decide(customer, bool(suffix), self.now)
            if verdict is Verdict.ADMITTED:
                self.admitted[name] += 1
                self.now += self.request_seconds
            else:
                counter = self.shed if verdict is Verdict.SHED else self.refused
                counter[name] += 1
                self.now += REFUSAL_SECONDS
                self.shedder.record_refusal(REFUSAL_SECONDS - self.unrecorded_seconds)
                reads += REFUSAL_SECONDS
        self.rounds.append(self.now - began_at)
        self.shedder.record_round(self.now - began_at, self.now, read_seconds=reads)
        return True

    def receive(self, now: float) -> None:
        """Queue the requests that have arrived; callers of those that find no room give up."""
        since, self.received_until = self.received_until, now
        arrivals = []
        for name, rate in self.rates.items():
            first, end = int(since * rate), int(now * rate)
            arrivals += [(number / rate, name) for number in range(first, end)]
        self.waiting.extend(sorted(arrivals)[: max(0, LISTEN_BACKLOG - len(self.waiting))])
