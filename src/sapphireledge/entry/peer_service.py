"""Request handler of the peer interface."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from sapphireledge.core.answer import OwnerClaim
from sapphireledge.errors import ErrorKind, Failure
from sapphireledge.peers import (
    AnswerLocation,
    AnswerPart,
    AppendResult,
    ConfigObject,
    ConfigPart,
    EventPart,
    TakeOver,
    VoidReply,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Sequence
    from typing import Any

    from sapphireledge.core.claims import ReceivedKeys
    from sapphireledge.core.config import ConfigState
    from sapphireledge.core.replay import EventLog
    from sapphireledge.entry.answer_registry import AnswerRegistry
    from sapphireledge.entry.answer_runner import AnswerRunner
    from sapphireledge.entry.copy_store import CopyStore

__all__ = ["PeerService"]

MAX_CONFIG_OBJECTS = 500
"""Maximum number of objects in a reply to `config_since`."""

MAX_READ_WAIT = 5.0
"""Maximum wait of a `read_answer` call in seconds."""

MAX_PIECES = 4096
"""Maximum number of tokens in a reply to `read_answer`."""

READER_GRACE_PERIOD = 2.0
"""Seconds for which a reader at another instance stays attached after its last call."""


class PeerService:
    """Handles calls from peers; implements `PeerHandler`."""

    def __init__(
        self,
        instance: str,
        registry: AnswerRegistry,
        copies: CopyStore,
        config: ConfigState,
        events: EventLog,
        received_keys: ReceivedKeys,
        list_entries: Callable[[], list[str]],
        call_later: Callable[[float, Callable[[], None]], object],
    ) -> None:
        """Creates the handler.

        Args:
            instance: Name of this instance.
            registry: Answers that this instance owns.
            copies: Copies of other instances' answers.
            config: Declarations in force.
            events: Recorded events.
            received_keys: Claim keys that this instance received.
            list_entries: Returns the names of all entry instances known to this one.
            call_later: Calls a function after a delay in seconds.
        """
        self._instance = instance
        self._registry = registry
        self._copies = copies
        self._config = config
        self._events = events
        self._received_keys = received_keys
        self._list_entries = list_entries
        self._call_later = call_later

    async def append_answers(self, sender: str, appends: Sequence[Any]) -> list[Any] | Failure:
        """Stores parts of answers, see `PeerHandler`."""
        return [self._append_answer(sender, append) for append in appends]

    async def find_answer(self, request_id: str) -> Any | Failure:
        """Returns the location and extent of an answer, see `PeerHandler`."""
        runner = self._find_owned(request_id)
        if runner is not None:
            answer = runner.answer
            return AnswerLocation(
                True, True, self._instance, answer.epoch, answer.readable, answer.is_drained
            )
        location = self._copies.locate(request_id)
        if location is not None:
            return location
        return AnswerLocation(False, False, "", 0, 0, False)

    async def read_answer(self, request_id: str, offset: int, wait: float) -> Any | Failure:
        """Reads tokens of an answer that this instance owns, see `PeerHandler`."""
        runner = self._find_owned(request_id)
        if runner is None:
            return Failure(ErrorKind.NOT_FOUND, "this instance does not own the answer")
        runner = self._registry.attach(runner)
        try:
            answer = runner.answer
            if offset > len(answer.pieces):
                return Failure(
                    ErrorKind.ANSWER_LOST, f"the answer has only {len(answer.pieces)} tokens"
                )
            await answer.wait(offset, min(max(wait, 0.0), MAX_READ_WAIT))
            pieces = answer.pieces[offset : min(answer.readable, offset + MAX_PIECES)]
            finish = ""
            if answer.is_drained and offset + len(pieces) == len(answer.pieces):
                assert answer.end is not None
                finish = answer.end.to_finish()
            return AnswerPart(
                offset=offset,
                pieces=pieces,
                finish=finish,
                epoch=answer.epoch,
                version=answer.version,
                software=answer.software,
                fingerprint=runner.request.fingerprint,
            )
        finally:
            self._call_later(READER_GRACE_PERIOD, lambda: self._registry.detach(runner))

    async def take_over(self, request_id: str, epoch: int, instance: str) -> Any | Failure:
        """Decides whether an instance may take over an answer, see `PeerHandler`."""
        runner = self._find_owned(request_id)
        if runner is not None:
            answer = runner.answer
            return TakeOver(False, answer.epoch, self._instance, "", [], "", "")
        return self._copies.take_over(request_id, epoch, instance)

    async def config_since(self, version: int) -> Any | Failure:
        """Returns configuration objects newer than a version, see `PeerHandler`."""
        objects = self._config.objects_since(version)
        complete_up_to = self._config.applied_version
        if len(objects) > MAX_CONFIG_OBJECTS:
            objects = objects[:MAX_CONFIG_OBJECTS]
            complete_up_to = objects[-1].version
        return ConfigPart(
            [ConfigObject(o.key, o.value, o.version, o.deleted) for o in objects],
            complete_up_to,
            self._config.highest_version,
        )

    async def void_key(self, claim_key: str) -> Any | Failure:
        """Voids a claim key if it was never received here, see `PeerHandler`."""
        return VoidReply(
            self._received_keys.void(claim_key, time.time()),
            self._received_keys.start_unix,
            self._list_entries(),
        )

    async def read_events(self, request_id: str) -> Any | Failure:
        """Returns the recorded events of a request, see `PeerHandler`."""
        lines = b"".join(event.to_line() for event in self._events.read(request_id))
        return EventPart(lines.decode() + self._copies.events(request_id), [])

    def _append_answer(self, sender: str, append: Any) -> Any:
        """Stores a part of an answer, unless this instance owns an answer that outranks it."""
        runner = self._find_owned(append.request_id)
        if runner is not None:
            own_claim = OwnerClaim(runner.answer.epoch, self._instance)
            if own_claim.outranks(OwnerClaim(append.epoch, sender)):
                epoch = max(own_claim.epoch, append.epoch + 1)
                return AppendResult(append.request_id, 0, epoch, False)
            runner.mark_moved(f"instance {sender} continues the answer")
        (result,) = self._copies.append(sender, (append,))
        return result

    def _find_owned(self, request_id: str) -> AnswerRunner | None:
        """Looks up an answer that this instance still owns."""
        runner = self._registry.get(request_id)
        if runner is None or runner.has_moved:
            return None
        return runner
