"""Traces: a span for the request, its wait in the queue and each attempt, written as JSON log lines."""

import logging
from collections.abc import Sequence

import msgspec
from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import ReadableSpan, TracerProvider
from opentelemetry.sdk.trace.export import SimpleSpanProcessor, SpanExporter, SpanExportResult
from opentelemetry.sdk.trace.id_generator import RandomIdGenerator
from opentelemetry.trace import NonRecordingSpan, Span, SpanContext, TraceFlags
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

NANOSECONDS = 1_000_000_000

logger = logging.getLogger("limpetusher.trace")
propagator = TraceContextTextMapPropagator()


class LogExporter(SpanExporter):
    """Writes finished spans to the log."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write one line for each span."""
        for span in spans:
            context = span.get_span_context()
            line = {
                "span": span.name,
                "trace_id": f"{context.trace_id:032x}",
                "span_id": f"{context.span_id:016x}",
                "parent_id": f"{span.parent.span_id:016x}" if span.parent else None,
                "start": span.start_time / NANOSECONDS,
                "seconds": (span.end_time - span.start_time) / NANOSECONDS,
                "attributes": dict(span.attributes or {}),
            }
            logger.info("span %s", msgspec.json.encode(line).decode())
        return SpanExportResult.SUCCESS


class Tracing:
    """Makes the spans of requests.

    Parameters
    ----------
    host_id
        Name of this router.
    output
        Whether spans are written. Without that, only `traceparent` is passed on.
    """

    def __init__(self, host_id: str, *, output: bool):
        self.identifiers = RandomIdGenerator()
        self.tracer = None
        if output:
            provider = TracerProvider(
                resource=Resource({"service.name": "limpetusher-router", "service.instance.id": host_id}),
                shutdown_on_exit=False,
            )
            provider.add_span_processor(SimpleSpanProcessor(LogExporter()))
            self.tracer = provider.get_tracer("limpetusher_router")

    def begin(self, headers: dict[str, str], request_id: str) -> "RequestTrace":
        """Begin the trace of a request, or go on with the one that the caller's header names."""
        context = propagator.extract(headers)
        if self.tracer is not None:
            root = self.tracer.start_span("request", context=context)
            root.set_attribute("request_id", request_id)
            return RequestTrace(self.tracer, root)
        remote = trace.get_current_span(context).get_span_context()
        trace_id = remote.trace_id if remote.is_valid else self.identifiers.generate_trace_id()
        own = SpanContext(
            trace_id,
            self.identifiers.generate_span_id(),
            is_remote=False,
            trace_flags=remote.trace_flags if remote.is_valid else TraceFlags.get_default(),
        )
        return RequestTrace(None, NonRecordingSpan(own))


class RequestTrace:
    """The spans of one request. Without a tracer, no span but the outer one's identifiers exists."""

    __slots__ = ("attempt", "queue", "root", "tracer")

    def __init__(self, tracer: trace.Tracer | None, root: Span):
        self.tracer = tracer
        self.root = root
        self.queue: Span | None = None
        self.attempt: Span | None = None

    def child(self, name: str) -> Span | None:
        """Begin a span within the request's span."""
        if self.tracer is None:
            return None
        return self.tracer.start_span(name, context=trace.set_span_in_context(self.root))

    def begin_queue(self) -> None:
        """Begin the span of the wait for a target."""
        self.queue = self.child("queue wait")

    def begin_attempt(self, target_id: str) -> str:
        """End the wait, begin the span of an attempt and return the `traceparent` for the target."""
        self.end_queue()
        self.attempt = self.child("target attempt")
        if self.attempt is not None:
            self.attempt.set_attribute("target_id", target_id)
        carrier: dict[str, str] = {}
        propagator.inject(carrier, trace.set_span_in_context(self.attempt or self.root))
        return carrier["traceparent"]

    def end_queue(self) -> None:
        """End the span of the wait."""
        if self.queue is not None:
            self.queue.end()
            self.queue = None

    def end_attempt(self, outcome: str) -> None:
        """End the span of an attempt."""
        if self.attempt is not None:
            self.attempt.set_attribute("outcome", outcome)
            self.attempt.end()
            self.attempt = None

    def end(self, status: int) -> None:
        """End the span of the request."""
        self.end_queue()
        self.end_attempt("abandoned")
        if self.tracer is not None:
            self.root.set_attribute("http.response.status_code", status)
            self.root.end()
