"""Request tracing: spans of the request, its queue wait and each attempt, written as JSON log lines."""

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

NANOSECONDS_PER_SECOND = 1_000_000_000

logger = logging.getLogger("limpetusher.trace")
propagator = TraceContextTextMapPropagator()


class LogExporter(SpanExporter):
    """Writes finished spans to the log."""

    def export(self, spans: Sequence[ReadableSpan]) -> SpanExportResult:
        """Write one log line per span."""
        for span in spans:
            context = span.get_span_context()
            line = {
                "span": span.name,
                "trace_id": f"{context.trace_id:032x}",
                "span_id": f"{context.span_id:016x}",
                "parent_id": f"{span.parent.span_id:016x}" if span.parent else None,
                "start": span.start_time / NANOSECONDS_PER_SECOND,
                "seconds": (span.end_time - span.start_time) / NANOSECONDS_PER_SECOND,
                "attributes": dict(span.attributes or {}),
            }
            logger.info("span %s", msgspec.json.encode(line).decode())
        return SpanExportResult.SUCCESS


class Tracing:
    """Creates the spans of requests.

    Parameters
    ----------
    host_id
        Name of this router.
    write_spans
        Whether spans are written to the log. If not, only the `traceparent` header is propagated.
    """

    def __init__(self, host_id: str, *, write_spans: bool):
        self.id_generator = RandomIdGenerator()
        self.tracer = None
        if write_spans:
            provider = TracerProvider(
                resource=Resource({"service.name": "limpetusher-router", "service.instance.id": host_id}),
                shutdown_on_exit=False,
            )
            provider.add_span_processor(SimpleSpanProcessor(LogExporter()))
            self.tracer = provider.get_tracer("limpetusher_router")

    def start_trace(self, headers: dict[str, str], request_id: str) -> "RequestTrace":
        """Start the trace of a request, or continue the one in the `traceparent` header of the caller."""
        context = propagator.extract(headers)
        if self.tracer is not None:
            request_span = self.tracer.start_span("request", context=context)
            request_span.set_attribute("request_id", request_id)
            return RequestTrace(self.tracer, request_span)
        parent_context = trace.get_current_span(context).get_span_context()
        trace_id = (
            parent_context.trace_id if parent_context.is_valid else self.id_generator.generate_trace_id()
        )
        span_context = SpanContext(
            trace_id,
            self.id_generator.generate_span_id(),
            is_remote=False,
            trace_flags=parent_context.trace_flags if parent_context.is_valid else TraceFlags.get_default(),
        )
        return RequestTrace(None, NonRecordingSpan(span_context))


class RequestTrace:
    """The spans of one request. Without a tracer, only the identifiers of the request span exist."""

    __slots__ = ("attempt_span", "queue_span", "request_span", "tracer")

    def __init__(self, tracer: trace.Tracer | None, request_span: Span):
        self.tracer = tracer
        self.request_span = request_span
        self.queue_span: Span | None = None
        self.attempt_span: Span | None = None

    def start_child_span(self, name: str) -> Span | None:
        """Start a child span of the request span."""
        if self.tracer is None:
            return None
        return self.tracer.start_span(name, context=trace.set_span_in_context(self.request_span))

    def start_queue_span(self) -> None:
        """Start the span of the queue wait."""
        self.queue_span = self.start_child_span("queue wait")

    def start_attempt_span(self, target_id: str) -> str:
        """End the queue wait, start the span of an attempt and return its `traceparent` header value."""
        self.end_queue_span()
        self.attempt_span = self.start_child_span("target attempt")
        if self.attempt_span is not None:
            self.attempt_span.set_attribute("target_id", target_id)
        carrier: dict[str, str] = {}
        propagator.inject(carrier, trace.set_span_in_context(self.attempt_span or self.request_span))
        return carrier["traceparent"]

    def end_queue_span(self) -> None:
        """End the span of the queue wait."""
        if self.queue_span is not None:
            self.queue_span.end()
            self.queue_span = None

    def end_attempt(self, outcome: str) -> None:
        """End the span of an attempt."""
        if self.attempt_span is not None:
            self.attempt_span.set_attribute("outcome", outcome)
            self.attempt_span.end()
            self.attempt_span = None

    def end(self, status: int) -> None:
        """End the span of the request."""
        self.end_queue_span()
        self.end_attempt("abandoned")
        if self.tracer is not None:
            self.request_span.set_attribute("http.response.status_code", status)
            self.request_span.end()
