"""Lifecycle of the requests of this router's callers, from arrival to the end of the answer."""

from limpetusher.core.actions import CancelDispatch, Dispatch, Refuse
from limpetusher.core.context import Context
from limpetusher.core.inputs import Outcome, RequestArrived, ResponseEnded, ResponseProgress
from limpetusher.core.process.dispatcher import Dispatcher
from limpetusher.core.process.offers import Offers
from limpetusher.core.process.routes import Routes
from limpetusher.core.refusals import Ran, RefusalCode
from limpetusher.core.request.admission import (
    Admission,
    Refusal,
    deadline_refusal,
    no_capacity_refusal,
    stopping_refusal,
)
from limpetusher.core.request.explanation import Step
from limpetusher.core.request.keyed_requests import KeyedRequests
from limpetusher.core.request.prefix_targets import PrefixTargets
from limpetusher.core.request.queue import RequestQueue
from limpetusher.core.request.record import Bucket, RequestRecord, RequestState, UsedGrant
from limpetusher.errors import InvalidInputError
from limpetusher.events import Event
from limpetusher.wire.messages import Grant, GrantRelease, GrantReturn, HeldGrant


class RequestLifecycle:
    """Moves each request through key registration, queueing, dispatch, retries and completion.

    Parameters
    ----------
    context
        Shared state of the decision core.
    queue
        Waiting requests.
    routes
        Targets by service and owner.
    offers
        Sends the demand of waiting requests to the owners of targets.
    dispatcher
        Grants the slots of the targets that this router owns.
    """

    def __init__(
        self,
        context: Context,
        queue: RequestQueue,
        routes: Routes,
        offers: Offers,
        dispatcher: Dispatcher,
    ):
        self.context = context
        self.queue = queue
        self.routes = routes
        self.offers = offers
        self.dispatcher = dispatcher
        self.admission = Admission(context, queue, routes)
        self.prefixes = PrefixTargets()
        self.keyed_requests = KeyedRequests(
            context, self.admit_registered, self.refuse_rejected, self.forget_replayed
        )
        self.records: dict[str, RequestRecord] = {}
        self.running: dict[str, RequestRecord] = {}
        dispatcher.use_grant = self.dispatch

    # Arrival and waiting

    def handle_arrival(self, request: RequestArrived) -> None:
        """Check a new request, then register its key or queue it."""
        context = self.context
        if request.request_id in self.records:
            raise InvalidInputError(f"request {request.request_id!r} has arrived before")
        context.explanations.begin(request, context.now)
        record = RequestRecord(request, context.now, context.now + request.patience_seconds)
        refusal = self.admission.check(request)
        if refusal is not None:
            self.refuse(record, refusal)
            return
        self.records[request.request_id] = record
        if record.requires_registration:
            record.state = RequestState.REGISTERING
            self.keyed_requests.register(record)
        else:
            self.enqueue(record)

    def enqueue(self, record: RequestRecord, *, at_front: bool = False) -> None:
        """Queue a request; `at_front` puts a request that was queued before in front of the others."""
        record.state = RequestState.WAITING
        record.preferred = self.prefixes.preferred(
            record.request.prefix, self.routes.targets(record.bucket.service)
        )
        self.queue.add(record, self.context.now, at_front=at_front)
        self.context.explain(record.request_id, Step.QUEUED)
        self.offers.offer(record)

    def admit_registered(self, request_id: str) -> None:
        """Queue a request whose key has been registered with a majority of its witnesses."""
        record = self.records.get(request_id)
        if record is None or record.state is not RequestState.REGISTERING:
            return
        self.context.explain(request_id, Step.REGISTERED)
        refusal = self.admission.check(record.request)
        if refusal is not None and not self.context.stopping:
            self.refuse(record, refusal)
        else:
            self.enqueue(record)

    def refuse_rejected(self, request_id: str, refusal: Refusal) -> None:
        """Refuse a request that is not running after the key protocol has rejected it."""
        record = self.records.get(request_id)
        if record is not None and record.state is not RequestState.RUNNING:
            self.remove_from_queue(record)
            self.refuse(record, refusal)

    def forget_replayed(self, request_id: str) -> None:
        """Drop a request that was answered with the kept answer of an earlier attempt."""
        self.records.pop(request_id, None)
        self.context.explain(request_id, Step.REPLAYED)

    def remove_from_queue(self, record: RequestRecord) -> None:
        """Remove a request from the queue and withdraw its demand, without dispatching it."""
        if self.queue.remove(record.request_id) is not None:
            self.offers.on_request_removed(record)

    def refuse_expired(self) -> None:
        """Refuse the requests whose deadline has passed."""
        now = self.context.now
        for record in self.queue.remove_expired(now):
            self.offers.on_request_removed(record)
            self.refuse(record, deadline_refusal(self.queue.retry_after(record.bucket, now)))

    def refuse_unmeetable_deadlines(self) -> None:
        """Refuse the newest requests that can't be served before their deadline at the present rate."""
        now = self.context.now
        for record in self.queue.remove_unmeetable(now):
            self.offers.on_request_removed(record)
            self.refuse(record, no_capacity_refusal(self.queue.retry_after(record.bucket, now)))

    def refuse_unservable(self) -> None:
        """Refuse waiting requests whose customer or service is no longer in the configuration."""
        for record in list(self.queue.records.values()):
            configuration = self.context.rollout.configuration
            customer = configuration.customers.get(record.bucket.customer)
            if customer is None or record.bucket.service not in customer.services:
                self.remove_from_queue(record)
                text = f"service {record.bucket.service!r} is no longer available to the customer"
                self.refuse(record, Refusal(404, RefusalCode.UNKNOWN_SERVICE, text))

    def refuse(self, record: RequestRecord, refusal: Refusal) -> None:
        """Answer the caller with an error and drop the request."""
        context = self.context
        self.records.pop(record.request_id, None)
        # An earlier attempt may have run if the request was waiting for a retry.
        ran = Ran.UNKNOWN if record.may_have_run and refusal.ran is Ran.NO else refusal.ran
        self.keyed_requests.end_without_answer(record, ran)
        if record.caller_gone:
            return
        context.explain(record.request_id, Step.REFUSED, reason=f"{refusal.status} {refusal.code}")
        context.actions.append(
            Refuse(
                record.request_id,
                refusal.status,
                refusal.code,
                refusal.message,
                ran,
                refusal.retry_after_seconds,
            )
        )
        context.log(
            Event.REQUEST_REFUSED,
            request_id=record.request_id,
            customer=record.bucket.customer,
            code=refusal.code.value,
            ran=ran.value,
        )

    # Grants

    def handle_grant(self, owner: str, grant: Grant) -> None:
        """Dispatch a waiting request under a grant from another router, or return the grant."""
        context = self.context
        bucket = Bucket(grant.customer, grant.service)
        sent_at = context.peers.sent_at(owner, grant.echo)
        send_before = sent_at + grant.valid_seconds if sent_at is not None else context.now
        used = UsedGrant(grant.grant_id, grant.target_id, owner, send_before)
        self.offers.sender.received_grant(owner, grant.number)
        if not self.dispatch(bucket, used):
            # The owner counts the grant as in transit until the next demand, so it is not reissued at once.
            context.send(owner, GrantReturn(grant.grant_id, grant.target_id))

    def dispatch(self, bucket: Bucket, grant: UsedGrant) -> bool:
        """Dispatch a waiting request of the bucket under the grant; return False when none may be sent."""
        context, now = self.context, self.context.now
        if not self.routes.serves(grant.target_id, bucket.service):
            return False
        record = self.queue.next_for(bucket, grant.target_id)
        if record is None:
            return False
        send_before = min(grant.send_before, record.deadline, self.keyed_requests.send_before(record))
        if now >= send_before:
            return False
        self.queue.take_granted(record.request_id, now)
        self.offers.on_request_removed(record, granted_by=grant.owner)
        record.state = RequestState.RUNNING
        record.grant = grant
        record.attempt += 1
        record.progress_cost = 0.0
        self.running[record.request_id] = record
        self.keyed_requests.record_dispatch(record)
        context.explain(record.request_id, Step.DISPATCHED, grant.target_id, f"granted by {grant.owner}")
        address = context.membership.target(grant.target_id).address
        context.actions.append(
            Dispatch(record.request_id, record.attempt, grant.target_id, address, send_before)
        )
        return True

    def held(self) -> list[tuple[str, HeldGrant]]:
        """Return the grants in use, each paired with a router that keeps it in its ledger.

        A grant is listed for the router that issued it and for the present owner of the target, which takes
        it over.
        """
        held = []
        for record in self.running.values():
            grant = record.grant
            customer, service = record.bucket
            entry = HeldGrant(grant.grant_id, grant.target_id, customer, service, record.progress_cost)
            held.extend((owner, entry) for owner in self.ledger_routers(grant))
        return held

    def ledger_routers(self, grant: UsedGrant) -> tuple[str, ...]:
        """Return the routers that keep the grant in their ledgers: its issuer and the owner of the target."""
        owner = self.routes.owner_of.get(grant.target_id, grant.owner)
        return (grant.owner,) if owner == grant.owner else (grant.owner, owner)

    # Attempts

    def running_attempt(self, request_id: str, attempt: int) -> RequestRecord | None:
        """Return the running request, None if this attempt of it is not running."""
        record = self.running.get(request_id)
        return record if record is not None and record.attempt == attempt else None

    def record_first_byte(self, request_id: str, attempt: int) -> None:
        """Record that the first byte of the answer was passed on to the caller."""
        record = self.running_attempt(request_id, attempt)
        if record is not None:
            record.output_started = True
            self.context.explain(request_id, Step.STARTED, record.grant.target_id)

    def record_progress(self, message: ResponseProgress) -> None:
        """Record the cost of a streamed answer so far."""
        record = self.running_attempt(message.request_id, message.attempt)
        if record is not None:
            cost = record.request.prompt_cost + message.generated_cost
            record.progress_cost = max(record.progress_cost, cost)

    def end_attempt(self, message: ResponseEnded) -> None:
        """Handle the end of an attempt: release its slot, then finish, retry or refuse the request."""
        record = self.running_attempt(message.request_id, message.attempt)
        if record is None:
            return
        del self.running[record.request_id]
        context = self.context
        context.explain(record.request_id, Step.ENDED, record.grant.target_id, message.outcome.value)
        late = context.now >= record.grant.send_before
        self.release_grant(record, message, late=late)
        if message.outcome is not Outcome.NOT_SENT:
            record.sent_attempts += 1
            record.may_have_run |= message.outcome is not Outcome.REJECTED_NOT_RUN
        self.keyed_requests.record_attempt_end(record, message)
        if message.outcome is Outcome.COMPLETE:
            self.complete(record, message)
        elif record.caller_gone or message.outcome is Outcome.CANCELLED:
            self.records.pop(record.request_id, None)
            self.keyed_requests.end_without_answer(record, ran_after(record, message))
        elif message.outcome is Outcome.NOT_SENT:
            self.requeue(record)
        elif self.may_retry(record, message):
            context.explain(record.request_id, Step.RETRIED)
            context.log(Event.REQUEST_RETRIED, request_id=record.request_id, outcome=message.outcome.value)
            self.requeue(record)
        else:
            self.refuse_failed(record, message)

    def complete(self, record: RequestRecord, message: ResponseEnded) -> None:
        """Finish a request whose whole answer has arrived."""
        context = self.context
        del self.records[record.request_id]
        context.retries.completed(record.bucket.customer)
        self.prefixes.record_answer(record.request.prefix, record.grant.target_id)
        context.log(
            Event.REQUEST_FINISHED,
            request_id=record.request_id,
            customer=record.bucket.customer,
            target=record.grant.target_id,
            seconds=context.now - record.arrived_at,
        )

    def release_grant(self, record: RequestRecord, message: ResponseEnded, *, late: bool) -> None:
        """Return an unused grant, or release a used one, at the routers that keep it in their ledgers."""
        grant = record.grant
        payload: GrantReturn | GrantRelease
        if message.outcome is Outcome.NOT_SENT:
            failed = not late and not record.caller_gone
            payload = GrantReturn(grant.grant_id, grant.target_id, failed)
        else:
            complete = message.outcome is Outcome.COMPLETE
            failed = message.outcome in (Outcome.CUT_BEFORE_OUTPUT, Outcome.CUT_AFTER_OUTPUT)
            payload = GrantRelease(grant.grant_id, grant.target_id, message.cost, complete, failed)
        for owner in self.ledger_routers(grant):
            if owner != self.context.own_id:
                self.context.send(owner, payload)
            elif isinstance(payload, GrantReturn):
                self.dispatcher.accept_return(payload)
            else:
                self.dispatcher.accept_release(payload)

    def requeue(self, record: RequestRecord) -> None:
        """Queue a request again, in front of the others, after an attempt that may be repeated."""
        now = self.context.now
        record.grant = None
        if now >= record.deadline:
            self.refuse(record, deadline_refusal(self.queue.retry_after(record.bucket, now)))
        elif not self.routes.targets(record.bucket.service):
            text = f"no target for service {record.bucket.service!r} is in service"
            self.refuse(record, Refusal(503, RefusalCode.NO_CAPACITY, text, retry_after_seconds=1.0))
        else:
            self.enqueue(record, at_front=True)

    def may_retry(self, record: RequestRecord, message: ResponseEnded) -> bool:
        """Return whether a failed attempt may be repeated, and charge the retry budgets if so."""
        settings = self.context.settings
        return (
            record.request.idempotent
            and message.outcome in (Outcome.REJECTED_NOT_RUN, Outcome.CUT_BEFORE_OUTPUT)
            and not record.output_started
            and record.sent_attempts < settings.maximum_attempts
            and self.context.now < record.deadline
            and self.context.retries.try_spend(record.bucket.customer)
        )

    def refuse_failed(self, record: RequestRecord, message: ResponseEnded) -> None:
        """Refuse a request whose last attempt failed."""
        now = self.context.now
        ran = ran_after(record, message)
        if message.outcome is Outcome.REJECTED_NOT_RUN:
            text = "the target did not accept the request"
            retry_after = self.queue.retry_after(record.bucket, now)
            refusal = Refusal(503, RefusalCode.NO_CAPACITY, text, ran, retry_after)
        elif message.outcome is Outcome.CUT_BEFORE_OUTPUT:
            text = "the connection to the target broke before the answer began"
            refusal = Refusal(502, RefusalCode.TARGET_FAILED, text, ran)
        else:
            self.context.log(Event.ANSWER_CUT, request_id=record.request_id, target=record.grant.target_id)
            text = "the connection to the target broke within the answer"
            refusal = Refusal(502, RefusalCode.ANSWER_CUT, text, ran)
        self.refuse(record, refusal)

    def handle_caller_gone(self, request_id: str) -> None:
        """Drop a waiting request, or cancel a running one, whose caller closed its connection."""
        record = self.records.get(request_id)
        if record is None or record.caller_gone:
            return
        record.caller_gone = True
        self.context.explain(request_id, Step.CALLER_GONE)
        if record.state is RequestState.RUNNING:
            self.context.actions.append(CancelDispatch(request_id, record.attempt))
            return
        self.remove_from_queue(record)
        self.records.pop(request_id, None)
        self.keyed_requests.end_without_answer(record, Ran.NO)

    # Stop

    def end_remaining_requests(self) -> None:
        """Cancel running and refuse waiting requests when the grace time of a stop is over."""
        for record in list(self.records.values()):
            if record.state is RequestState.RUNNING:
                self.cancel_running(record)
            else:
                self.remove_from_queue(record)
                self.refuse(record, stopping_refusal())

    def cancel_running(self, record: RequestRecord) -> None:
        """Cancel a running request and answer its caller with an error."""
        del self.running[record.request_id]
        self.context.actions.append(CancelDispatch(record.request_id, record.attempt))
        ended = ResponseEnded(record.request_id, record.attempt, Outcome.CANCELLED)
        self.release_grant(record, ended, late=False)
        self.keyed_requests.record_attempt_end(record, ended)
        ran = Ran.YES if record.output_started else Ran.UNKNOWN
        self.refuse(record, Refusal(503, RefusalCode.STOPPING, "the router stopped", ran))


def ran_after(record: RequestRecord, message: ResponseEnded) -> Ran:
    """Return what is known about whether the request ran, after an attempt has ended."""
    if message.outcome is Outcome.COMPLETE:
        return Ran.YES
    if record.output_started:
        failed_status = message.status is not None and message.status >= 500
        return Ran.UNKNOWN if failed_status else Ran.YES
    return Ran.UNKNOWN if record.may_have_run else Ran.NO
