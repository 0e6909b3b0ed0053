"""Load with a request that comes again and again and crashes the targets that run it."""

import itertools

from builders_peers import APPLICATION, STEP_SECONDS, FleetInMemory, RouterInMemory

DEADLY_DIGEST = "deadly"
STABLE_WINDOW_SECONDS = 3.0
CALLER_RETRY_SECONDS = 0.3
"""Time after which a caller sends a request again that has failed."""


class RepeatedLoad:
    """Sound requests at random routers, and a deadly one that is repeated.

    Parameters
    ----------
    fleet
        Fleet that gets the requests.
    service
        Services of the deadly request, in turn.
    sound_per_second
        Number of sound requests per second, of the first service.
    deadly_per_second
        Number of deadly requests per second. Each is sent once more by its caller.
    options
        Fields of all requests.
    """

    def __init__(
        self,
        fleet: FleetInMemory,
        *services: str,
        sound_per_second: float = 40.0,
        deadly_per_second: float = 1.0,
        **options: object,
    ):
        self.fleet = fleet
        self.services = services or (APPLICATION,)
        self.per_second = {False: sound_per_second, True: deadly_per_second}
        self.options = options
        self.sound_options: dict[str, object] = {}
        self.numbers = itertools.count()
        self.begun_at = fleet.clock.monotonic()
        self.asked = {False: 0, True: 0}
        self.sound_at: dict[str, float] = {}
        """Times at which sound requests came."""
        self.caller_retries: list[float] = []

    def arrive(self) -> None:
        """Let the requests come that are due."""
        now = self.fleet.clock.monotonic()
        for is_deadly in (False, True):
            while self.asked[is_deadly] < self.per_second[is_deadly] * (now - self.begun_at):
                self.asked[is_deadly] += 1
                self.ask(is_deadly=is_deadly)
        while self.caller_retries and self.caller_retries[0] <= now:
            self.caller_retries.pop(0)
            self.ask(is_deadly=True, is_caller_retry=True)

    def ask(self, *, is_deadly: bool, is_caller_retry: bool = False) -> None:
        """Let one request come."""
        number = next(self.numbers)
        now = self.fleet.clock.monotonic()
        if is_deadly:
            service = self.services[number % len(self.services)]
            self.random_router().request_target(
                f"w{number}", service=service, digest=DEADLY_DIGEST, **self.options
            )
            if not is_caller_retry:
                self.caller_retries.append(now + CALLER_RETRY_SECONDS)
            return
        options = {"session": f"s{self.fleet.rng.randrange(12)}", **self.options, **self.sound_options}
        self.sound_at[f"w{number}"] = now
        self.random_router().request_target(f"w{number}", service=self.services[0], **options)

    def random_router(self) -> RouterInMemory:
        """Return a router that runs."""
        return self.fleet.rng.choice(
            [router for router in self.fleet.routers.values() if not router.is_frozen]
        )

    def run(self, seconds: float) -> None:
        """Let time pass with the load."""
        until = self.fleet.clock.monotonic() + seconds
        while self.fleet.clock.monotonic() < until:
            self.fleet.run(STEP_SECONDS, self.arrive)

    def run_until_crashes(self, count: int, *, seconds: float = 20.0) -> None:
        """Let time pass until targets have crashed so often, or for so many seconds."""
        until = self.fleet.clock.monotonic() + seconds
        while len(self.fleet.crashes) < count and self.fleet.clock.monotonic() < until:
            self.fleet.run(STEP_SECONDS, self.arrive)

    def late_sends(self) -> int:
        """Return how often the deadly request has reached targets too long after its third crash."""
        if len(self.fleet.crashes) < 3:
            return 0
        since = self.fleet.crashes[2][0] + STABLE_WINDOW_SECONDS
        return sum(send.digest == DEADLY_DIGEST and send.at > since for send in self.fleet.sends)

    def served_share(self, since: float, until: float) -> float:
        """Return the share of the sound requests of some time that were answered."""
        asked = [request_id for request_id, at in self.sound_at.items() if since <= at < until]
        answered = set().union(*(router.answered for router in self.fleet.routers.values()))
        return sum(request_id in answered for request_id in asked) / len(asked)
