"""Handler of the operator service for one connection."""

from __future__ import annotations

import asyncio
import time
from typing import TYPE_CHECKING

import msgspec
import structlog

from sapphireledge.core.config import Author, Change
from sapphireledge.core.declarations import DeclarationKind
from sapphireledge.core.replay import replay_request
from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.operator.answer_explain import answer_explain
from sapphireledge.operator.messages import (
    ApplyResult,
    ChangeRecordMessage,
    DiffEntry,
    OrderResultMessage,
    QuarantineEntry,
    ReplayEvent,
    ReplayResult,
)
from sapphireledge.operator.to_exception import check_hello, to_exception
from sapphireledge.telemetry import LogEvent

if TYPE_CHECKING:
    from typing import Any

    from sapphireledge.core.config import ChangeRecord
    from sapphireledge.core.replay import ReplayReport, RequestEvent
    from sapphireledge.operator.operator_parts import OperatorParts

__all__ = ["OperatorConnection"]

IN_FORCE_POLL_INTERVAL = 0.1
"""Seconds between checks of the configuration versions in force."""

MAX_WAIT = 60.0
"""Upper limit in seconds for the wait that a call of `wait_in_force` requests."""


class OperatorConnection:
    """Serves one operator connection and raises failures as `OperatorError`."""

    def __init__(self, parts: OperatorParts) -> None:
        """Creates the handler of one connection.

        Args:
            parts: Components that the operator interface uses.
        """
        self._parts = parts
        self._who = ""
        self._log = structlog.get_logger()

    async def hello(self, secret: str, who: str) -> None:
        """Authenticates the connection."""
        check_hello(self._parts.secret, secret, who)
        self._who = who

    async def apply(self, change: Any, author: Any) -> Any:
        """Applies a change to a declaration."""
        request = _parse_change(change)
        result = _unwrap(await self._parts.applier.apply(request, self._resolve_author(author)))
        self._log_call("apply", target=f"{request.kind}/{request.name}", version=result.version)
        return ApplyResult(result.operation_id, result.version, result.changed)

    async def diff(self, declarations: list[Any]) -> list[Any]:
        """Compares declarations with the stored ones and returns those that differ."""
        changes = [Change("", d.kind, d.name, d.spec, 0, bool(d.deleted)) for d in declarations]
        found = _unwrap(await self._parts.applier.diff(changes))
        return [DiffEntry(e.kind, e.name, e.before, e.after, e.version) for e in found]

    async def get_declaration(self, kind: str, name: str) -> Any:
        """Reads one declaration."""
        return _unwrap(await self._parts.declarations.get(kind, name))

    async def list_declarations(self, kind: str) -> list[Any]:
        """Lists the declarations of one kind."""
        if kind not in list(DeclarationKind):
            allowed = ", ".join(DeclarationKind)
            reason = f"kind: {kind!r} is not one of {allowed}"
            raise to_exception(Failure(ErrorKind.INVALID_REQUEST, reason))
        return _unwrap(await self._parts.declarations.list(kind))

    async def history(self, kind: str, name: str, limit: int) -> list[Any]:
        """Lists the accepted changes of an object, newest first."""
        if limit < 1:
            raise to_exception(Failure(ErrorKind.INVALID_REQUEST, "limit: must be at least 1"))
        records = _unwrap(await self._parts.applier.history(kind, name, limit))
        return [_record_message(record) for record in records]

    async def reapply(
        self, record_id: str, operation_id: str, base_version: int, author: Any
    ) -> Any:
        """Applies the content of an earlier change again, as a new change."""
        result = _unwrap(
            await self._parts.applier.reapply(
                record_id, operation_id, base_version, self._resolve_author(author)
            )
        )
        self._log_call("reapply", target=record_id, version=result.version)
        return ApplyResult(result.operation_id, result.version, result.changed)

    async def status(self) -> Any:
        """Reports the state of the fleet as this instance sees it."""
        return self._parts.reporter.status()

    async def wait_in_force(self, version: int, wait: float) -> list[Any]:
        """Waits until all reachable instances have a version in force, or the wait has passed."""
        end = time.monotonic() + min(max(wait, 0.0), MAX_WAIT)
        while True:
            entries = self._parts.reporter.entries()
            outdated = [e for e in entries if e.reachable and e.config_version < version]
            if not outdated or time.monotonic() >= end:
                return entries
            await asyncio.sleep(IN_FORCE_POLL_INTERVAL)

    async def drain(self, operation_id: str, author: Any) -> None:
        """Starts a graceful shutdown of this instance; further calls have no effect."""
        resolved = self._resolve_author(author)
        self._log_call("drain", target=operation_id, why=resolved.why)
        self._parts.lifecycle.request_drain()

    async def order(self, request: Any, author: Any) -> Any:
        """Sends one order to an engine."""
        resolved = self._resolve_author(author)
        result = _unwrap(await self._parts.orders.send(request))
        self._log_call("order", target=request.backend, action=request.action, why=resolved.why)
        return OrderResultMessage(
            request.operation_id, result.fencing_number, result.outcome, result.reason
        )

    async def replay(self, request_id: str) -> Any:
        """Reads the events of a request and replays the core's decisions on their inputs."""
        found = await self._parts.events.read(request_id)
        if not found.events:
            reason = f"request {request_id!r} has no recorded events"
            if found.gaps:
                reason += "; " + "; ".join(found.gaps)
            raise to_exception(Failure(ErrorKind.NOT_FOUND, reason))
        report = replay_request(found.events)
        gaps = [*found.gaps]
        gaps += [f"{g.instance}: events {g.after + 1} to {g.before - 1}" for g in report.gaps]
        same = not report.differences
        return ReplayResult(request_id, _replay_messages(found.events, report), gaps, same)

    async def quarantine_list(self) -> list[Any]:
        """Lists the requests suspected of crashing engines."""
        return [
            QuarantineEntry(
                fingerprint=state.fingerprint,
                deaths=state.deaths,
                state=state.state,
                since_unix=state.since_unix,
                backends=list(state.backends),
            )
            for state in self._parts.quarantine.suspects(time.time())
        ]

    async def quarantine_lift(self, fingerprint: str, operation_id: str, author: Any) -> None:
        """Lifts the quarantine of a request, so that it is accepted again."""
        resolved = self._resolve_author(author)
        if not self._parts.suspects.lift(fingerprint, resolved.who, resolved.why):
            reason = f"fingerprint: no deaths count against {fingerprint!r}"
            raise to_exception(Failure(ErrorKind.NOT_FOUND, reason))
        self._log_call("quarantine_lift", target=fingerprint, why=resolved.why)

    async def explain(self, request: Any) -> Any:
        """Explains where a request would go now, without sending it."""
        return await answer_explain(self._parts.explainer, self._parts.instance, request)

    def _resolve_author(self, author: Any) -> Author:
        """Determines the author; the name given in `hello` is used if the call has none."""
        who = (author.who if author is not None else "") or self._who
        return Author(who, (author.why if author is not None else "") or "")

    def _log_call(self, call: str, **values: Any) -> None:
        """Logs a call that changes state."""
        self._log.info(LogEvent.OPERATOR_CALL, call=call, who=self._who, **values)


def _parse_change(change: Any) -> Change:
    """Converts the message, replacing unset fields with empty values."""
    if change is None:
        raise to_exception(Failure(ErrorKind.INVALID_REQUEST, "change: is required"))
    return Change(
        operation_id=change.operation_id or "",
        kind=change.kind or "",
        name=change.name or "",
        spec=change.spec or "",
        base_version=change.base_version or 0,
        deleted=bool(change.deleted),
    )


def _record_message(record: ChangeRecord) -> Any:
    """Converts a change record to its message."""
    return ChangeRecordMessage(
        operation_id=record.operation_id,
        kind=record.kind,
        name=record.name,
        who=record.who,
        why=record.why,
        when_unix=record.when_unix,
        base_version=record.base_version,
        before=record.before,
        after=record.after,
        version=record.version,
        previous=record.previous,
    )


def _replay_messages(events: tuple[RequestEvent, ...], report: ReplayReport) -> list[Any]:
    """Converts events to messages, each with the difference that its replay showed.

    Recorded times are monotonic; the event that opens a recording has the offset to Unix time.
    """
    differences = {id(d.event): d.reason for d in report.differences}
    unix_offsets: dict[str, float] = {}
    messages = []
    for event in events:
        if "unix_offset" in event.input:
            unix_offsets[event.instance] = event.input["unix_offset"]
        messages.append(
            ReplayEvent(
                sequence=event.sequence,
                time_unix=event.time + unix_offsets.get(event.instance, 0.0),
                instance=event.instance,
                name=event.name,
                input=_encode_json(event.input),
                decisions=_encode_json(event.decisions),
                difference=differences.get(id(event), ""),
            )
        )
    return messages


def _encode_json(value: Any) -> str:
    return msgspec.json.encode(value).decode()


def _unwrap(result: Any) -> Any:
    """Returns a successful result and raises a failure as `OperatorError`."""
    if isinstance(result, Failure):
        raise to_exception(result)
    return result
