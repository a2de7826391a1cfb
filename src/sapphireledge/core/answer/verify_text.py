"""Verification of a caller's text and position in an answer."""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING

from sapphireledge.core.answer.answer_digest import AnswerDigest, read_software
from sapphireledge.core.answer.stored_prefix import StoredPrefix
from sapphireledge.core.answer.verified_prefix import VerifiedPrefix
from sapphireledge.errors import ErrorKind, Failure

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from sapphireledge.core.answer.event_id import EventId

__all__ = ["verify_position", "verify_text"]


def verify_text(
    secret: str, request_id: str, versions: Iterable[str], position: EventId, text: str
) -> VerifiedPrefix | Failure:
    """Verifies text that a caller sends back to resume an answer.

    Args:
        secret: Fleet secret, which keys the digest.
        request_id: Request id.
        versions: Model versions that may have generated the text.
        position: Event id of the position after the text.
        text: Text to verify.

    Returns:
        The text with the versions that generated it, or the failure `answer_diverged`.
    """
    software = read_software(position.digest)
    for version in versions if software is not None else ():
        digest = AnswerDigest(secret, request_id, version, software)
        digest.update(text, position.offset)
        if hmac.compare_digest(digest.event_id().digest, position.digest):
            return VerifiedPrefix(StoredPrefix(position.offset, text), version, software or None)
    return Failure(ErrorKind.ANSWER_DIVERGED, "the text does not match its event id")


def verify_position(
    secret: str,
    request_id: str,
    version: str,
    position: EventId,
    pieces: Sequence[str],
    software: str | None = None,
) -> Failure | None:
    """Verifies the position of a caller that reconnects against a copy of the answer.

    Args:
        secret: Fleet secret, which keys the digest.
        request_id: Request id.
        version: Model version of the answer.
        position: Last event id that the caller received.
        pieces: Text of each token in the copy.
        software: Software version of the answer; None, which accepts any, if it is not known.

    Returns:
        None if the copy matches what the caller received. Otherwise `answer_lost` if the copy ends
        before the position, or `answer_diverged` if the text or the software version differs.
    """
    if position.offset > len(pieces):
        reason = f"the copy ends at token {len(pieces)}, before token {position.offset}"
        return Failure(ErrorKind.ANSWER_LOST, reason)
    text = "".join(pieces[: position.offset])
    result = verify_text(secret, request_id, (version,), position, text)
    if isinstance(result, Failure):
        return result
    if software is not None and (result.software or "") != software:
        reason = "another software version generated the text before the event id"
        return Failure(ErrorKind.ANSWER_DIVERGED, reason)
    return None
