"""Store for copies of other instances' answers."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING

from sapphireledge.core.answer import CopyAppend, OwnershipTable
from sapphireledge.peers import AnswerLocation, AppendResult, TakeOver

if TYPE_CHECKING:
    from collections.abc import Sequence
    from typing import Any

    from sapphireledge.settings import Settings

__all__ = ["CopyStore"]

MAX_COPY_BYTES = 33_554_432
"""Memory limit of all copies in bytes."""


class CopyStore:
    """Adapter between the messages of the peer interface and `OwnershipTable`."""

    def __init__(self, cfg: Settings) -> None:
        """Creates an empty store.

        Args:
            cfg: Settings of the instance.
        """
        self._table = OwnershipTable(cfg.callers.finished_retention, MAX_COPY_BYTES)

    def append(self, sender: str, appends: Sequence[Any]) -> list[Any]:
        """Stores parts of answers.

        Args:
            sender: Instance that owns the answers.
            appends: AnswerAppend messages.

        Returns:
            One AppendResult for each append.
        """
        now = time.monotonic()
        results = []
        for append in appends:
            outcome = self._table.append(
                now,
                sender,
                CopyAppend(
                    request_id=append.request_id,
                    epoch=append.epoch,
                    offset=append.offset,
                    pieces=tuple(append.pieces),
                    header=append.header or "",
                    finish=append.finish or "",
                    events=append.events or "",
                    software=append.software,
                ),
            )
            results.append(
                AppendResult(
                    outcome.request_id, outcome.stored, outcome.epoch, outcome.header_missing
                )
            )
        return results

    def locate(self, answer_id: str) -> Any | None:
        """Looks up the owner and the extent of an answer.

        Args:
            answer_id: Key of the answer.

        Returns:
            An AnswerLocation, or None if there is no copy.
        """
        found = self._table.locate(answer_id)
        if found is None:
            return None
        return AnswerLocation(
            True, False, found.owner_instance, found.epoch, found.stored, found.finished
        )

    def events(self, answer_id: str) -> str:
        """Returns the recorded events that were stored with a copy.

        Args:
            answer_id: Key of the answer.

        Returns:
            JSON lines, empty if there is no copy.
        """
        return self._table.events(answer_id)

    def take_over(self, answer_id: str, epoch: int, requester: str) -> Any:
        """Decides whether an instance may take over an answer.

        Args:
            answer_id: Key of the answer.
            epoch: Latest epoch known to the requester.
            requester: Name of the requester.

        Returns:
            A TakeOver message.
        """
        outcome = self._table.take_over(time.monotonic(), answer_id, epoch, requester)
        return TakeOver(
            outcome.granted,
            outcome.epoch,
            outcome.owner_instance,
            outcome.header,
            list(outcome.pieces),
            outcome.finish,
            outcome.events,
            outcome.software,
        )

    def expire(self) -> None:
        """Drops expired copies."""
        self._table.expire(time.monotonic())
