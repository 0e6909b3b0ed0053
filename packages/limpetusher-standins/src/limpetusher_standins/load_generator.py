"""Command `load`: seeded load from many customers, with a check of every answer."""

import asyncio
import contextlib
import random
import statistics
import time
from collections import Counter, defaultdict
from dataclasses import dataclass, field

from limpetusher_standins.caller import Caller, CallResult, Outcome
from limpetusher_standins.deployment import CustomerPlan, DeploymentPlan

PROMPT_TOKEN_COST = 0.25
ROUTER_WEIGHT_EXPONENT = 1.2
"""A customer chooses its n-th preferred router with weight n to the power of minus this exponent."""
FILLER_SENTENCE = "The supervisor reads the history of this case before the next call. "
PERCENTILES = (50, 90, 95, 99)


@dataclass(frozen=True, slots=True, kw_only=True)
class LoadSettings:
    """Shape and bounds of the load."""

    seed: int = 1
    seconds: float = 10.0
    open_loop_rate: float = 0.0
    """Requests a second of each customer; 0: closed loop."""
    workers: int = 4
    """Requests that a customer has open at once in a closed loop."""
    workers_by_share: bool = False
    """Whether a customer has `workers` for each unit of its share."""
    flood_factor: float = 10.0
    """Load of the flooding customer as a multiple of that of the others; 1: no customer floods."""
    flooding_customer: int = -1
    """Position of the flooding customer in the deployment."""
    application_fraction: float = 0.2
    stream_fraction: float = 0.7
    least_tokens: int = 10
    most_tokens: int = 80
    most_prompt_sentences: int = 40
    maximum_requests: int = 50_000
    maximum_open: int = 2_000
    """Open requests of all customers; arrivals of an open loop beyond it are counted and not sent."""
    answer_seconds: float = 120.0
    abandon_open: bool = False
    """Whether callers of a closed loop disconnect at the end instead of waiting for their answers."""


@dataclass(slots=True)
class LoadRun:
    """Results of a run; `skipped_arrivals` counts the arrivals that were not sent.

    `abandoned` holds the requests that were still open when their callers disconnected.
    """

    results: list[CallResult] = field(default_factory=list)
    abandoned: list[CallResult] = field(default_factory=list)
    started_requests: int = 0
    open_requests: int = 0
    skipped_arrivals: int = 0
    seconds: float = 0.0


class CustomerLoad:
    """Load of one customer, drawn from a random generator of its own.

    Parameters
    ----------
    plan
        Deployment that the load is for.
    customer
        Customer that sends.
    routers
        Addresses for callers; each customer has its own order of preference.
    settings
        Shape of the load.
    run
        Collects the results of all customers.
    """

    def __init__(
        self,
        plan: DeploymentPlan,
        customer: CustomerPlan,
        routers: list[str],
        settings: LoadSettings,
        run: LoadRun,
    ):
        self.plan = plan
        self.customer = customer
        self.settings = settings
        self.run = run
        self.rng = random.Random(f"{settings.seed}/{customer.customer_id}")
        self.routers = self.rng.sample(routers, len(routers))
        self.weights = [1 / (rank + 1) ** ROUTER_WEIGHT_EXPONENT for rank in range(len(routers))]
        self.request_count = 0

    async def send_request(self) -> None:
        """Send one request and record its result."""
        self.request_count += 1
        self.run.started_requests += 1
        self.run.open_requests += 1
        address = self.rng.choices(self.routers, self.weights)[0]
        abandoned_result = CallResult(self.customer.customer_id, "", detail="abandoned")
        caller = Caller(address, self.customer.customer_id, self.customer.authorization)
        try:
            request = self.draw_request(caller)
            self.run.results.append(await asyncio.wait_for(request, self.settings.answer_seconds))
        except TimeoutError:
            timed_out = CallResult(self.customer.customer_id, "", detail="no answer in time")
            self.run.results.append(timed_out)
        except asyncio.CancelledError:
            abandoned_result.seconds = time.monotonic() - abandoned_result.started
            self.run.abandoned.append(abandoned_result)
            raise
        finally:
            self.run.open_requests -= 1

    def draw_request(self, caller: Caller):
        """Return the coroutine of a random request."""
        name = f"{self.settings.seed}/{self.customer.customer_id}/{self.request_count}"
        if self.rng.random() < self.settings.application_fraction:
            return self.draw_application_call(caller, name)
        sentences = self.rng.randrange(self.settings.most_prompt_sentences + 1)
        content = FILLER_SENTENCE * sentences + f"Request {name}."
        body = {
            "model": self.rng.choice(self.plan.models),
            "messages": [{"role": "user", "content": content}],
            "max_tokens": self.rng.randint(self.settings.least_tokens, self.settings.most_tokens),
            "stream": self.rng.random() < self.settings.stream_fraction,
        }
        return caller.complete_chat(body)

    def draw_application_call(self, caller: Caller, name: str):
        """Return the coroutine of a random application call; calls that are not idempotent have a key."""
        route = self.rng.choice(self.plan.application_routes)
        key = None if route.idempotent else f"key/{name}"
        return caller.call_application(
            self.plan.application_service, route.method, route.path_prefix, name, idempotency_key=key
        )

    async def send_closed_loop(self, deadline: float) -> None:
        """Send one request after the other; after a refusal, wait for its retry-after time first."""
        while time.monotonic() < deadline and self.run.started_requests < self.settings.maximum_requests:
            await self.send_request()
            last = self.run.results[-1]
            if last.outcome in (Outcome.REFUSED, Outcome.NO_CONNECTION):
                await asyncio.sleep(min(last.retry_after or 0.1, max(0.0, deadline - time.monotonic())))

    async def send_open_loop(self, rate: float, deadline: float) -> None:
        """Send requests at random times, whether or not earlier ones are answered."""
        async with asyncio.TaskGroup() as group:
            while time.monotonic() < deadline and self.run.started_requests < self.settings.maximum_requests:
                await asyncio.sleep(self.rng.expovariate(rate))
                if self.run.open_requests < self.settings.maximum_open:
                    group.create_task(self.send_request())
                else:
                    self.run.skipped_arrivals += 1


async def run_load(
    plan: DeploymentPlan, customers: list[CustomerPlan], routers: list[str], settings: LoadSettings
) -> LoadRun:
    """Send load to routers until the time is over and all requests are answered."""
    run, began = LoadRun(), time.monotonic()
    deadline = began + settings.seconds
    flooding = customers[settings.flooding_customer]
    work = []
    for customer in customers:
        load = CustomerLoad(plan, customer, routers, settings, run)
        factor = settings.flood_factor if customer is flooding else 1.0
        if settings.open_loop_rate:
            work.append(load.send_open_loop(settings.open_loop_rate * factor, deadline))
        else:
            share = customer.share if settings.workers_by_share else 1.0
            count = round(settings.workers * share * factor)
            work += [load.send_closed_loop(deadline) for _ in range(count)]
    all_callers = asyncio.gather(*work)
    if settings.abandon_open:
        await asyncio.wait([all_callers], timeout=settings.seconds)
        all_callers.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await all_callers
    else:
        await all_callers
    run.seconds = time.monotonic() - began
    return run


def summarise(run: LoadRun, customers: list[CustomerPlan]) -> dict:
    """Return the report of a run as a JSON document; times in seconds."""
    whole = [result for result in run.results if result.outcome == Outcome.WHOLE]
    failed = [result for result in run.results if result.outcome != Outcome.WHOLE]
    service = defaultdict(float)
    for result in run.results:
        service[result.customer] += result.generated_tokens + PROMPT_TOKEN_COST * result.prompt_tokens
    answers = Counter(result.customer for result in whole)
    errors = Counter(f"{result.outcome} {result.code or result.status} ran={result.ran}" for result in failed)
    return {
        "seconds": round(run.seconds, 3),
        "requests": len(run.results),
        "skipped": run.skipped_arrivals,
        "outcomes": dict(Counter(result.outcome for result in run.results)),
        "errors": dict(errors),
        "first_byte_seconds": percentiles([r.first_byte_seconds for r in whole if r.first_byte_seconds]),
        "answer_seconds": percentiles([result.seconds for result in whole]),
        "generated_tokens_per_second": round(sum(r.generated_tokens for r in whole) / run.seconds, 1),
        "customers": {
            customer.customer_id: {
                "share": customer.share,
                "answers": answers[customer.customer_id],
                "service": round(service[customer.customer_id], 1),
                "service_per_share": round(service[customer.customer_id] / customer.share, 1),
            }
            for customer in customers
        },
    }


def percentiles(values: list[float]) -> dict[str, float]:
    """Return percentiles and the maximum of values."""
    if len(values) < 2:
        return {f"p{percentile}": value for percentile in PERCENTILES for value in values}
    cuts = statistics.quantiles(values, n=100, method="inclusive")
    named = {f"p{percentile}": round(cuts[percentile - 1], 5) for percentile in PERCENTILES}
    return {**named, "maximum": round(max(values), 5)}
