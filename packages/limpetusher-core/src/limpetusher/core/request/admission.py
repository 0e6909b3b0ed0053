"""Admission of arriving requests to the queue, and the refusals for those that are not admitted."""

from dataclasses import dataclass

from limpetusher.core.context import Context
from limpetusher.core.inputs import RequestArrived
from limpetusher.core.process.routes import Routes
from limpetusher.core.refusals import Ran, RefusalCode
from limpetusher.core.request.queue import RequestQueue
from limpetusher.core.request.record import Bucket

UNREADY_RETRY_SECONDS = 1.0
NO_TARGET_RETRY_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class Refusal:
    """The contents of the error answer to a refused request."""

    status: int
    code: RefusalCode
    message: str
    ran: Ran = Ran.NO
    retry_after_seconds: float | None = None


class Admission:
    """Checks requests on arrival.

    Parameters
    ----------
    context
        Shared state of the decision core.
    queue
        Waiting requests.
    routes
        Targets by service.
    """

    def __init__(self, context: Context, queue: RequestQueue, routes: Routes):
        self.context = context
        self.queue = queue
        self.routes = routes

    def check(self, request: RequestArrived) -> Refusal | None:
        """Return the refusal of a request that can't be admitted, None when it can."""
        if self.context.stopping:
            return stopping_refusal()
        configuration = self.context.rollout.configuration
        if configuration is None or not self.context.ready:
            text = "the router has no configuration or host list yet"
            return Refusal(503, RefusalCode.NOT_READY, text, retry_after_seconds=UNREADY_RETRY_SECONDS)
        customer = configuration.customers.get(request.customer)
        known = request.service in configuration.services
        if customer is None or not known or request.service not in customer.services:
            text = f"service {request.service!r} is not available to customer {request.customer!r}"
            return Refusal(404, RefusalCode.UNKNOWN_SERVICE, text)
        return self.check_queue(request, customer.queue_limit)

    def check_queue(self, request: RequestArrived, limit: int) -> Refusal | None:
        """Return the refusal of a request that can't join the queue, None when it can."""
        now = self.context.now
        bucket = Bucket(request.customer, request.service)
        if not self.routes.targets(request.service):
            text = f"no target for service {request.service!r} is in service"
            return Refusal(503, RefusalCode.NO_CAPACITY, text, retry_after_seconds=NO_TARGET_RETRY_SECONDS)
        if self.queue.customer_count(request.customer) >= limit:
            text = f"customer {request.customer!r} has {limit} waiting requests, its limit at this router"
            retry_after = self.queue.retry_after(bucket, now)
            return Refusal(429, RefusalCode.QUEUE_FULL, text, retry_after_seconds=retry_after)
        wait = self.queue.estimated_wait(bucket, now)
        if wait is not None and wait > request.patience_seconds:
            return no_capacity_refusal(self.queue.retry_after(bucket, now))
        return None


def stopping_refusal() -> Refusal:
    """Return the refusal of a router that is stopping."""
    return Refusal(503, RefusalCode.STOPPING, "the router is stopping", retry_after_seconds=0.0)


def no_capacity_refusal(retry_after: float) -> Refusal:
    """Return the refusal of a request that can't be served before its deadline."""
    text = "at the present rate the request would not be served within its patience"
    return Refusal(503, RefusalCode.NO_CAPACITY, text, retry_after_seconds=retry_after)


def deadline_refusal(retry_after: float) -> Refusal:
    """Return the refusal of a request that has waited for all of its patience."""
    text = "the request was not served within its patience"
    return Refusal(504, RefusalCode.DEADLINE, text, retry_after_seconds=retry_after)
