"""Counters and latency histograms of the gateway."""

from __future__ import annotations

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram, generate_latest

__all__ = ["GatewayMetrics"]

TIME_BUCKETS = (0.025, 0.05, 0.1, 0.2, 0.35, 0.5, 1.0, 2.0, 4.0, 5.0, 10.0, 25.0)
"""Upper bounds in seconds; they include the latency targets of the declared routes."""


class GatewayMetrics:
    """Prometheus metrics of one process."""

    def __init__(self) -> None:
        self._registry = CollectorRegistry(auto_describe=False)
        self.answers = Counter(
            "sapphireledge_answers",
            "Ended requests by end and cause.",
            ["end", "cause"],
            registry=self._registry,
        )
        """Finished requests, by how they ended and why."""

        self.attempts = Counter(
            "sapphireledge_attempts",
            "Sends to backend servers by outcome.",
            ["outcome"],
            registry=self._registry,
        )
        """Attempts at backend servers, by outcome."""

        self.resumes = Counter(
            "sapphireledge_resumes",
            "Streams that went on at another engine, by what they went on from.",
            ["source"],
            registry=self._registry,
        )
        """Streams resumed on another engine, by whether from a replica or from the prompt."""

        self.continuations = Counter(
            "sapphireledge_continuations",
            "Streams that were to go on at the version that began them, by place and result.",
            ["place", "result"],
            registry=self._registry,
        )
        """Streams that were to go on at the version that began them: within their answer or taken
        up by their caller, and whether they did."""

        self.stream_copies = Counter(
            "sapphireledge_stream_copies",
            "Copies of running streams on request by step and result.",
            ["step", "result"],
            registry=self._registry,
        )
        """Copies of running streams on request: made or refreshed, and whether that failed."""

        self.placements = Counter(
            "sapphireledge_placements",
            "Placements of streams by decision.",
            ["decision"],
            registry=self._registry,
        )
        """Placements of streams: started on time or late, waited, or refused."""

        self.admitted_share = Gauge(
            "sapphireledge_admitted_share",
            "Share of a service's plain requests that are forwarded.",
            ["service"],
            registry=self._registry,
        )
        """Share of a service's plain requests that are forwarded, 1 without overload."""

        self.prompt_tokens = Counter(
            "sapphireledge_prompt_tokens",
            "Prompt tokens of started streams by what the chosen engine does with them.",
            ["use"],
            registry=self._registry,
        )
        """Prompt tokens of started streams: expected to be kept, processed, or processed again
        although another candidate was expected to keep them."""

        self.prompt_choices = Counter(
            "sapphireledge_prompt_choices",
            "Choices between engines of which one was expected to keep the prompt.",
            ["choice"],
            registry=self._registry,
        )
        """Choices for or against the engine that was expected to keep most of the prompt."""

        self.line_length = Gauge(
            "sapphireledge_line_length",
            "Streams that wait for an engine.",
            ["rank"],
            registry=self._registry,
        )
        """Streams in the waiting lines of this instance, by rank."""

        self.line_wait = Histogram(
            "sapphireledge_line_wait_seconds",
            "Time that streams waited for an engine, by how the wait ended.",
            ["end"],
            registry=self._registry,
            buckets=TIME_BUCKETS,
        )
        """Time that streams spent in the waiting line, by how they left it."""

        self.stream_refusals = Counter(
            "sapphireledge_stream_refusals",
            "Streams refused for lack of engines or time, by reason.",
            ["reason"],
            registry=self._registry,
        )
        """Streams refused for lack of engines or time, by reason."""

        self.report_queries = Counter(
            "sapphireledge_report_queries",
            "Load reports fetched to place streams, by whether they arrived.",
            ["result"],
            registry=self._registry,
        )
        """Load reports fetched to place streams, by whether they arrived in time."""

        self.first_event_time = Histogram(
            "sapphireledge_first_event_seconds",
            "Time from the request to the first event of its stream.",
            registry=self._registry,
            buckets=TIME_BUCKETS,
        )
        """Time from the request to the first event of its stream."""

        self.answer_time = Histogram(
            "sapphireledge_answer_seconds",
            "Time from the request to the end of its answer.",
            ["kind"],
            registry=self._registry,
            buckets=TIME_BUCKETS,
        )
        """Time from the request to the end of its response, by kind of route."""

        self.store_calls = Counter(
            "sapphireledge_store_calls",
            "Calls to the platform's store by kind and result.",
            ["kind", "result"],
            registry=self._registry,
        )
        """Calls to the platform's store, by kind and result."""

        self.freshness_checks = Counter(
            "sapphireledge_freshness_checks",
            "Calls to the store because a relay had not confirmed objects, by kind and result.",
            ["kind", "result"],
            registry=self._registry,
        )
        """Calls to the store because a relay had not confirmed objects, by kind and result."""

        self.server_deaths = Counter(
            "sapphireledge_server_deaths",
            "Deaths of backend servers under requests of this instance, by stage of the requests.",
            ["stage"],
            registry=self._registry,
        )
        """Deaths of backend servers under requests of this instance, by whether one of the requests
        had just begun to be answered."""

        self.server_signals = Counter(
            "sapphireledge_server_signals",
            "Changes of what backend servers ask of their callers.",
            ["signal"],
            registry=self._registry,
        )
        """Changes of what backend servers ask of their callers, by the strongest signal."""

        self.caller_limits = Counter(
            "sapphireledge_caller_limits",
            "Connections closed and requests refused because of limits on callers, by reason.",
            ["reason"],
            registry=self._registry,
        )
        """Connections closed and requests refused because of limits on callers, by reason."""

        self.unanswered = Counter(
            "sapphireledge_unanswered_requests",
            "Complete requests whose connection was closed without a complete response, by reason.",
            ["reason"],
            registry=self._registry,
        )
        """Complete requests whose connection this instance closed without a complete response."""

        self.operator_limits = Counter(
            "sapphireledge_operator_limits",
            "Connections of operators closed because of their limits, by reason.",
            ["reason"],
            registry=self._registry,
        )
        """Connections of operators closed because of their limits, by reason."""

        self.version_answers = Counter(
            "sapphireledge_version_answers",
            "Ends of attempts while a version is rolled out, by version and quality.",
            ["service", "version", "quality"],
            registry=self._registry,
        )
        """Ends of attempts at a service while a version is rolled out, by version and quality."""

        self.rollout_share = Gauge(
            "sapphireledge_rollout_share",
            "Share of the requests that the version that is rolled out is given.",
            ["service"],
            registry=self._registry,
        )
        """Share of a service's requests at this instance that the new version is given."""

        self.mixed_services = Gauge(
            "sapphireledge_mixed_services",
            "Services of which several versions served lately.",
            registry=self._registry,
        )
        """Number of services of which several versions served lately."""

        self.stream_origins = Counter(
            "sapphireledge_stream_origins",
            "Origins of streams shared over the store, by direction.",
            ["direction"],
            registry=self._registry,
        )
        """Origins of streams written to the store, and read from other instances."""

        self.origin_lookups = Counter(
            "sapphireledge_origin_lookups",
            "Take-ups of streams by how the version that began them was found.",
            ["source"],
            registry=self._registry,
        )
        """Take-ups of streams, by how the version that began them was found."""

        self.shared_load_age = Gauge(
            "sapphireledge_shared_load_age_seconds",
            "Mean age of the load figures of other instances.",
            registry=self._registry,
        )
        """Mean age of the load figures of other instances, infinite without fresh ones."""

        self.shared_load_instances = Gauge(
            "sapphireledge_shared_load_instances",
            "Other instances whose load figures are in use.",
            registry=self._registry,
        )
        """Number of other instances whose load figures are in use."""

        self.shared_load_bytes = Counter(
            "sapphireledge_shared_load_bytes",
            "Bytes of load figures by direction.",
            ["direction"],
            registry=self._registry,
        )
        """Bytes of load figures sent and received."""

    def render(self) -> bytes:
        """Renders all metrics in the Prometheus text format.

        Returns:
            The encoded text.
        """
        return generate_latest(self._registry)
