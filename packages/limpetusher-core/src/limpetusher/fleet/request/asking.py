"""Requests of this router at the schedulers of their pools."""

from collections.abc import Callable
from dataclasses import dataclass, field

from limpetusher.fleet.messages import (
    Ask,
    Ended,
    Granted,
    Message,
    Opened,
    Outcome,
    Progress,
    Reading,
    Refused,
)
from limpetusher.fleet.model import Pool, PromptPart
from limpetusher.fleet.process.pools import Pools


@dataclass(slots=True, eq=False)
class Asked:
    """A request that waits for its scheduler, or is open at a target. Times are monotonic readings."""

    request_id: str
    service: str
    session: str
    customer: str
    goal_seconds: float
    queued_at: float
    """When the request began to wait for its present attempt."""
    give_up_at: float
    prompt_tokens: int
    output_tokens: int
    parts: tuple[PromptPart, ...]
    attempt: int = 0
    """Number of the present question; answers to earlier ones are ignored."""
    excluded: set[str] = field(default_factory=set)
    """Targets that have failed this request."""
    is_repeat: bool = False
    pool: Pool | None = None
    scheduler: str = ""
    tried: frozenset[Pool] = frozenset()
    """Pools that have refused the present attempt."""
    granted: Granted | None = None
    """The scheduler's answer while the request is open at a target."""
    has_output: bool = False


class Asking:
    """Asks the schedulers and keeps them informed; moves to others when schedulers change.

    Parameters
    ----------
    pools
        Knows the pools and their schedulers.
    send
        Sends a message to the router with an address, which may be this one.
    unusable
        Returns the targets that this router can't use now.
    """

    def __init__(
        self,
        pools: Pools,
        *,
        send: Callable[[str, Message], None],
        unusable: Callable[[str, float], set[str]],
    ):
        self.pools = pools
        self.send = send
        self.unusable = unusable
        self.asked: dict[str, Asked] = {}
        self.may_repeat: dict[Pool, bool] = {}
        """Whether the pool's scheduler had a budget for repeated sends when it last answered."""

    @property
    def own(self) -> str:
        """Return the address of this router."""
        return self.pools.members.own.address

    def ask(self, asked: Asked, now: float) -> None:
        """Ask for a target, for a new request or another attempt."""
        self.asked[asked.request_id] = asked
        asked.attempt += 1
        asked.granted = None
        asked.has_output = False
        asked.tried = frozenset()
        self.choose(asked, now)

    def choose(self, asked: Asked, now: float) -> None:
        """Send the question to the scheduler of the request's pool, to this router if there is none."""
        pool = self.pools.choose(asked.service, asked.session, now, tried=asked.tried)
        asked.pool = pool or Pool(asked.service)
        asked.scheduler = (pool and self.pools.scheduler(pool, now)) or self.own
        self.tell(asked, now)

    def tell(self, asked: Asked, now: float) -> None:
        """Tell the scheduler of a request that waits or is open."""
        pool = asked.pool
        granted = asked.granted
        if granted is not None:
            opened = Opened(
                asked.request_id,
                asked.attempt,
                pool.service,
                pool.data_centre,
                granted.target_id,
                0 if asked.has_output else granted.unread_tokens,
                granted.memory_tokens,
            )
            self.send(asked.scheduler, opened)
            return
        message = Ask(
            request_id=asked.request_id,
            attempt=asked.attempt,
            service=pool.service,
            data_centre=pool.data_centre,
            customer=asked.customer,
            goal_seconds=asked.goal_seconds,
            waited_seconds=round(now - asked.queued_at, 4),
            left_seconds=round(asked.give_up_at - now, 4),
            prompt_tokens=asked.prompt_tokens,
            output_tokens=asked.output_tokens,
            parts=tuple((part.part_id, part.tokens) for part in asked.parts),
            excluded=tuple(asked.excluded | self.unusable(asked.service, now)),
            caller_data_centre=self.pools.members.own.data_centre,
            is_repeat=asked.is_repeat,
        )
        self.send(asked.scheduler, message)

    def find(self, answer: Granted | Refused, scheduler: str) -> Asked | None:
        """Return the waiting request that an answer is about, None if the answer is out of date."""
        asked = self.asked.get(answer.request_id)
        if asked is None or asked.granted is not None:
            return None
        if asked.attempt != answer.attempt or asked.scheduler != scheduler:
            return None
        return asked

    def take_grant(self, answer: Granted, scheduler: str) -> Asked | None:
        """Note that a request may be sent; return it, None if it no longer waits for this answer."""
        asked = self.find(answer, scheduler)
        if asked is not None:
            asked.granted = answer
            self.may_repeat[asked.pool] = answer.may_repeat
        return asked

    def take_refusal(self, answer: Refused, scheduler: str, now: float) -> Asked | None:
        """Note a refusal; return the request, None if another pool is asked or the answer is out of date."""
        asked = self.find(answer, scheduler)
        if asked is None:
            return None
        if answer.without_budget:
            self.may_repeat[asked.pool] = False
        else:
            asked.tried = asked.tried | {asked.pool}
            other = self.pools.choose(asked.service, asked.session, now, tried=asked.tried)
            if other is not None and len(asked.tried) < 2 and now - asked.queued_at < asked.goal_seconds:
                self.choose(asked, now)
                return None
        del self.asked[asked.request_id]
        return asked

    def reading(self, request_id: str) -> None:
        """Tell that the first output of a request has come."""
        asked = self.asked.get(request_id)
        if asked is not None and asked.granted is not None and not asked.has_output:
            asked.has_output = True
            self.send(asked.scheduler, Reading(request_id, asked.attempt))

    def progress(self, request_id: str, needed_speedup: float) -> None:
        """Tell how many times as fast a stream has to come to end in time."""
        asked = self.asked.get(request_id)
        if asked is not None and asked.granted is not None:
            self.send(asked.scheduler, Progress(request_id, asked.attempt, round(needed_speedup, 2)))

    def end(self, request_id: str, outcome: Outcome) -> None:
        """Tell that a request is over, or that its present attempt is."""
        asked = self.asked.pop(request_id, None)
        if asked is not None:
            self.send(asked.scheduler, Ended(request_id, asked.attempt, int(outcome)))

    def review(self, now: float) -> None:
        """Move requests whose pool has got another scheduler, or none that is in reach."""
        self.pools.review(now)
        for asked in list(self.asked.values()):
            if asked.granted is None:
                self.review_waiting(asked, now)
            else:
                scheduler = self.pools.scheduler(asked.pool, now)
                if scheduler is not None and scheduler != asked.scheduler:
                    self.move(asked, scheduler, now)

    def review_waiting(self, asked: Asked, now: float) -> None:
        """Move a waiting request if its scheduler is no longer the right one."""
        scheduler = self.pools.scheduler(asked.pool, now)
        if scheduler is None and asked.scheduler != self.own:
            self.send(asked.scheduler, Ended(asked.request_id, asked.attempt, int(Outcome.WITHDRAWN)))
            self.choose(asked, now)
        elif scheduler is not None and scheduler != asked.scheduler:
            self.move(asked, scheduler, now)

    def move(self, asked: Asked, scheduler: str, now: float) -> None:
        """Tell another scheduler of a request, and the old one that it is not concerned any more."""
        self.send(asked.scheduler, Ended(asked.request_id, asked.attempt, int(Outcome.WITHDRAWN)))
        asked.scheduler = scheduler
        self.tell(asked, now)

    def tell_again(self, scheduler: str, now: float) -> None:
        """Tell a scheduler that has lost what it knew of all requests that concern it."""
        for asked in self.asked.values():
            if asked.scheduler == scheduler:
                self.tell(asked, now)

    def schedulers(self) -> dict[str, bool]:
        """Return the addresses of the schedulers of all requests, with whether a request waits for them."""
        found: dict[str, bool] = {}
        for asked in self.asked.values():
            found[asked.scheduler] = found.get(asked.scheduler, False) or asked.granted is None
        return found
