"""Metrics in Prometheus' text format."""

import collections
import os
import resource
from dataclasses import dataclass

from aioprometheus import Counter, Gauge, Histogram, Registry, render

from limpetusher.fleet.process.load_shedding import LoadShedder
from limpetusher.fleet.process.placement import Placement
from limpetusher.fleet.request.scheduler_client import SchedulerClient
from limpetusher_router.process.port_activity import PortActivity
from limpetusher_router.process.rounds import PollerRounds

LATENCY_BUCKETS_SECONDS = (0.0005, 0.001, 0.002, 0.003, 0.005, 0.01, 0.02, 0.05, 0.1, 0.3, 1.0)
WAIT_BUCKETS_SECONDS = (0.001, 0.003, 0.01, 0.03, 0.1, 0.3, 1.0, 3.0, 10.0, 30.0, 60.0, 120.0)
MAXIMUM_LABEL_SETS = 256
OTHER_LABEL = "other"
PAGE_BYTES = os.sysconf("SC_PAGE_SIZE")


def resident_bytes() -> int:
    """Return the resident memory of this process."""
    with open("/proc/self/statm", encoding="ascii") as source:
        return int(source.read().split()[1]) * PAGE_BYTES


@dataclass(slots=True)
class TrafficCounter:
    """Messages and bytes in one direction."""

    messages: int = 0
    bytes: int = 0

    def count_message(self, size: int) -> None:
        """Count a message."""
        self.messages += 1
        self.bytes += size


class Metrics:
    """All metrics of the router process, in their own registry."""

    def __init__(self):
        registry = Registry()
        self.registry = registry

        def counter(name: str, help_text: str) -> Counter:
            return Counter(f"limpetusher_{name}", help_text, registry=registry)

        def gauge(name: str, help_text: str) -> Gauge:
            return Gauge(f"limpetusher_{name}", help_text, registry=registry)

        def histogram(name: str, help_text: str, buckets: tuple[float, ...]) -> Histogram:
            return Histogram(f"limpetusher_{name}", help_text, registry=registry, buckets=buckets)

        self.answers = counter("answers_total", "Answers to callers by status code")
        self.truncated_answers = counter("cut_answers_total", "Answers cut off after a part was passed on")
        self.attempts = counter("attempts_total", "Attempts at targets by outcome")
        self.waiting_gauge = gauge("requests_waiting", "Requests that wait for a target")
        self.running_gauge = gauge("requests_running", "Requests that run at a target")
        self.queue_wait = histogram(
            "queue_wait_seconds", "Time from arrival to dispatch", WAIT_BUCKETS_SECONDS
        )
        self.added_latency = histogram(
            "added_latency_seconds", "Time from arrival to the first byte sent", LATENCY_BUCKETS_SECONDS
        )
        self.peer_messages = counter("peer_messages_total", "Messages of peers by direction")
        self.peer_bytes = counter("peer_bytes_total", "Bytes of messages of peers by direction")
        self.dropped_peer_messages = counter(
            "peer_messages_dropped_total", "Dropped messages by direction and reason"
        )
        self.waiting_requests = self.running_requests = 0
        self.body_bytes_gauge = gauge("request_body_bytes", "Bytes of request bodies that are held")
        self.held_body_bytes = 0
        # The library's counters encode their labels in each call, which is too expensive per peer message.
        self.received_traffic, self.sent_traffic = TrafficCounter(), TrafficCounter()
        self.unrequested_answers = counter("unrequested_answers_total", "Answers without a request")
        self.handler_errors = counter("handler_errors_total", "Exceptions within handlers")
        self.outcomes = counter("requests_total", "Requests by outcome and route")
        self.failures = counter("attempts_failed_total", "Failed attempts by target and reason")
        self.refusals = counter("refusals_total", "Refused requests by customer and reason")
        self.stream_takeups = counter(
            "stream_takeups_total", "Streams taken up again, by how the version that began them is known"
        )
        self.engine_choices = counter(
            "engine_choices_total",
            "Requests sent to engines, by how the engine gets the shared prompt parts and its rank",
        )
        self.first_output = histogram(
            "first_output_seconds", "Time from a request to its first event", WAIT_BUCKETS_SECONDS
        )
        self.pending_counts: dict[str, tuple[Counter, collections.Counter[tuple[tuple[str, str], ...]]]] = {}
        """Labelled counts, passed to the library only when the metrics page is rendered."""
        self.processor_seconds = counter("process_cpu_seconds_total", "Processor time of the process")
        self.placement_runs_counter = counter("placement_runs_total", "Placement runs of this scheduler")
        self.placement_seconds_counter = counter("placement_seconds_total", "Time spent on placement runs")
        self.placement_runs = 0
        self.placement_seconds = 0.0
        self.engine_rate = gauge(
            "engine_prefill_rate", "Measured prefill rate by engine, in tokens per second"
        )
        self.engine_weight = gauge(
            "engine_session_weight", "Part of the sessions by engine, relative to others"
        )
        self.slow_engines = gauge("engines_slow", "Engines in a slow spell, as this scheduler knows")
        self.spells_counter = counter("engine_spells_total", "Slow spells of engines found by this scheduler")
        self.pool_backlog = gauge("pool_backlog_seconds", "Backlog by pool, as last told by its scheduler")
        self.second_pools = counter(
            "second_pools_total", "Choices of a pool after a refusal, by what has decided"
        )
        self.ignored_backlogs = counter("pool_backlogs_ignored_total", "Invalid backlogs of pools")
        self.scheduler_client: SchedulerClient | None = None
        """Source of the metrics of pools, None in a process without them."""
        self.placement: Placement | None = None
        """Source of the metrics of engines, None in a process without a scheduler."""
        self.caller_connections = gauge("caller_connections", "Open connections of callers by port")
        self.caller_connections_limit = gauge("caller_connections_limit", "Limit of open connections by port")
        self.caller_events = counter(
            "caller_connections_total", "Accepted connections of callers by port, and what became of some"
        )
        self.unread_listener = counter(
            "caller_listener_unread_seconds_total", "Time for which pending connections were not accepted"
        )
        self.rounds_counter = counter("rounds_total", "Rounds of the event loop")
        self.round_seconds = counter("round_seconds_total", "Time of rounds of the event loop by part")
        self.longest_round = gauge("longest_round_seconds", "Longest round of the last seconds")
        self.ports: list[PortActivity] = []
        self.rounds: PollerRounds | None = None
        self.shed_requests = counter(
            "overload_requests_total", "New requests by what became of them while the host was overloaded"
        )
        self.shedding_gauge = gauge("shedding", "Whether the host sheds new requests")
        self.load_gauge = gauge("load_percent", "Load of the event loop as other hosts learn it")
        self.request_seconds_gauge = gauge("request_processor_seconds", "Learned time of an admitted request")
        self.shedder: LoadShedder | None = None
        self.resident_memory = gauge("process_resident_memory_bytes", "Resident memory of the process")

    def increment_labelled(self, counter: Counter, **labels: str) -> None:
        """Increment a labelled counter. Label sets beyond the limit are counted under one common label."""
        _counter, counts = self.pending_counts.setdefault(counter.name, (counter, collections.Counter()))
        key = tuple(labels.items())
        if key not in counts and len(counts) >= MAXIMUM_LABEL_SETS:
            key = tuple((name, OTHER_LABEL) for name in labels)
        counts[key] += 1

    def count_answer(self, status: int) -> None:
        """Count an answer to a caller."""
        self.increment_labelled(self.answers, code=str(status))

    def count_received_peer_message(self, size: int) -> None:
        """Count a message received from a peer."""
        self.received_traffic.count_message(size)

    def count_sent_peer_message(self, size: int) -> None:
        """Count a message sent to a peer."""
        self.sent_traffic.count_message(size)

    def count_dropped_peer_message(self, direction: str, reason: str) -> None:
        """Count a dropped peer message."""
        self.dropped_peer_messages.inc({"direction": direction, "reason": reason})

    def set_port_metrics(self) -> None:
        """Set the metrics of the ports for callers."""
        for activity in self.ports:
            port = {"port": activity.port}
            self.caller_connections.set(port, len(activity.connections))
            self.caller_connections_limit.set(port, activity.limit)
            counts = activity.counts
            for event in ("accepted", "refused", "closed_for_room", "failed", "abandoned"):
                self.caller_events.set({**port, "event": event}, getattr(counts, event))
            self.unread_listener.set(port, counts.unread_seconds)

    def set_engine_metrics(self) -> None:
        """Set the metrics of the engines that this scheduler has measured."""
        if self.placement is None:
            return
        rates, weights = self.placement.rates.from_intervals.by_target, self.placement.rate_steps.weights
        # Engines that are gone must not keep their last value.
        self.engine_rate.values.clear()
        self.engine_weight.values.clear()
        for target_id in sorted(rates)[:MAXIMUM_LABEL_SETS]:
            self.engine_rate.set({"target": target_id}, rates[target_id])
            self.engine_weight.set({"target": target_id}, weights.get(target_id, 1.0))
        self.slow_engines.set({}, len(self.placement.spells.slow))
        self.spells_counter.set({}, self.placement.spells.begun)

    def set_pool_metrics(self) -> None:
        """Set the metrics of the pools whose backlogs this router knows."""
        client = self.scheduler_client
        if client is None:
            return
        self.pool_backlog.values.clear()
        for pool, (seconds, _at) in list(client.backlogs.known.items())[:MAXIMUM_LABEL_SETS]:
            self.pool_backlog.set({"pool": str(pool)}, seconds)
        for basis, count in client.second_pools.items():
            self.second_pools.set({"basis": basis}, count)
        self.ignored_backlogs.set({}, client.backlogs.ignored)

    def set_round_metrics(self) -> None:
        """Set the metrics of the rounds of the event loop."""
        if self.rounds is None:
            return
        self.rounds_counter.set({}, self.rounds.count)
        for part in ("accepts", "sockets", "messages"):
            self.round_seconds.set({"part": part}, getattr(self.rounds.totals, part))
        self.longest_round.set({}, self.rounds.longest.total)

    def set_shedding_metrics(self) -> None:
        """Set the metrics of load shedding."""
        shedder = self.shedder
        if shedder is None:
            return
        for event in ("shed", "refused", "kept"):
            self.shed_requests.set({"event": event}, getattr(shedder.counts, event))
        self.shedding_gauge.set({}, int(shedder.is_shedding))
        self.load_gauge.set({}, shedder.load(self.rounds.began_at))
        self.request_seconds_gauge.set({}, shedder.request_seconds)

    def render(self) -> tuple[bytes, str]:
        """Return all metrics in the text format, and the content type."""
        self.waiting_gauge.set({}, self.waiting_requests)
        self.running_gauge.set({}, self.running_requests)
        self.body_bytes_gauge.set({}, self.held_body_bytes)
        for counter, counts in self.pending_counts.values():
            for labels, count in counts.items():
                counter.set(dict(labels), count)
        for direction, traffic in (("received", self.received_traffic), ("sent", self.sent_traffic)):
            self.peer_messages.set({"direction": direction}, traffic.messages)
            self.peer_bytes.set({"direction": direction}, traffic.bytes)
        self.placement_runs_counter.set({}, self.placement_runs)
        self.placement_seconds_counter.set({}, self.placement_seconds)
        usage = resource.getrusage(resource.RUSAGE_SELF)
        self.processor_seconds.set({}, usage.ru_utime + usage.ru_stime)
        self.resident_memory.set({}, resident_bytes())
        self.set_port_metrics()
        self.set_engine_metrics()
        self.set_pool_metrics()
        self.set_round_metrics()
        self.set_shedding_metrics()
        text, headers = render(self.registry, ["text/plain"])
        return text, headers["Content-Type"]
