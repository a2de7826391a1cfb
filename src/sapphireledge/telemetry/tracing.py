"""OpenTelemetry trace spans, one for each hop of a request."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

from opentelemetry import trace
from opentelemetry.sdk.resources import Resource
from opentelemetry.sdk.trace import TracerProvider
from opentelemetry.sdk.trace.export import BatchSpanProcessor, ConsoleSpanExporter
from opentelemetry.trace.propagation.tracecontext import TraceContextTextMapPropagator

if TYPE_CHECKING:
    from collections.abc import Mapping

    from opentelemetry.context import Context
    from opentelemetry.trace import Span

    from sapphireledge.settings import Settings

__all__ = ["Tracing"]

MAX_QUEUED_SPANS = 2048
"""Spans queued for the exporter; further spans are dropped, so that requests never wait."""


class Tracing:
    """Creates spans and writes them to the trace file if one is configured."""

    def __init__(self, cfg: Settings) -> None:
        """Sets up the tracer provider and, with a trace file, its exporter.

        Args:
            cfg: Settings of the instance.
        """
        resource = Resource.create(
            {
                "service.name": "sapphireledge",
                "service.instance.id": cfg.instance,
                "sapphireledge.data_centre": cfg.data_centre,
            }
        )
        self._provider = TracerProvider(resource=resource)
        self._file = None
        if cfg.telemetry.trace_file:
            self._file = open(cfg.telemetry.trace_file, "a", encoding="utf-8")  # noqa: SIM115
            exporter = ConsoleSpanExporter(
                out=self._file, formatter=lambda span: span.to_json(indent=None) + "\n"
            )
            processor = BatchSpanProcessor(
                exporter, max_queue_size=MAX_QUEUED_SPANS, schedule_delay_millis=500
            )
            self._provider.add_span_processor(processor)
        self._tracer = self._provider.get_tracer("sapphireledge")
        self._propagator = TraceContextTextMapPropagator()

    def extract(self, headers: Mapping[str, str]) -> Context:
        """Extracts the caller's trace context.

        Args:
            headers: Request headers with lower-case names.

        Returns:
            The context, empty without a valid `traceparent`.
        """
        return self._propagator.extract(dict(headers))

    def start(self, name: str, parent: Context | None = None, **attributes: Any) -> Span:
        """Starts a span, which the calling code must end.

        Args:
            name: Name of the hop.
            parent: Context of the parent span.
            **attributes: Attributes of the span; must not contain text of callers.

        Returns:
            The span.
        """
        return self._tracer.start_span(name, context=parent, attributes=attributes)

    def child_context(self, span: Span) -> Context:
        """Creates the parent context for children of a span.

        Args:
            span: The parent span.

        Returns:
            The context.
        """
        return trace.set_span_in_context(span)

    def trace_id(self, context: Context | None) -> str:
        """Returns the trace id of a context for log lines.

        Args:
            context: Trace context of a request.

        Returns:
            The id in hexadecimal, empty without a context.
        """
        if context is None:
            return ""
        return trace.format_trace_id(trace.get_current_span(context).get_span_context().trace_id)

    def headers(self, span: Span) -> dict[str, str]:
        """Creates the headers that pass the trace context to the next hop.

        Args:
            span: Span of this hop.

        Returns:
            The `traceparent` header.
        """
        carrier: dict[str, str] = {}
        self._propagator.inject(carrier, context=trace.set_span_in_context(span))
        return carrier

    def close(self) -> None:
        """Exports the remaining spans and closes the trace file."""
        self._provider.shutdown()
        if self._file is not None:
            self._file.close()
