"""One attempt inside the engine stand-in."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import msgspec

from sapphireledge.backends.prefix_hashes import prefix_block_hashes, prompt_text

if TYPE_CHECKING:
    from sapphireledge_standins.chained_answer import AnswerChain

__all__ = ["EngineSequence", "Extension", "Resume"]

BYTES_PER_TOKEN = 4
"""Bytes of prompt text that count as one token."""


class Resume(msgspec.Struct, frozen=True):
    """The `resume` object of a request."""

    offset: int
    """Tokens that are already there."""

    text: str
    """Text of these tokens."""


class Extension(msgspec.Struct, frozen=True):
    """The `sapphireledge` object of a request."""

    attempt_id: str
    """Id of the attempt."""

    request_id: str
    """Id of the request, the same for all its attempts."""

    priority: int = 0
    """0 is the most urgent."""

    model_version: str = ""
    """Version that must generate."""

    resume: Resume = Resume(0, "")
    """Where to continue."""


class EngineSequence:
    """One attempt: its prompt, position and output."""

    def __init__(self, body: dict[str, Any], extension: Extension, chat: bool, total: int) -> None:
        """Prepares an attempt.

        Args:
            body: Request body.
            extension: Its `sapphireledge` object.
            chat: Whether chunks have the form of a chat.
            total: Tokens of the whole answer.
        """
        self.extension = extension
        self.prompt = prompt_text(body)
        self.total = total
        self.first_offset = extension.resume.offset
        self.next_offset = self.first_offset
        self.state = "queued"
        self.chain: AnswerChain | None = None
        self.text: list[str] = []
        """Texts of the tokens made in this attempt."""

        self.silent = False
        """Whether its connection carries nothing any more."""

        self._build_chunk_template(str(body.get("model", "")), chat)

    @property
    def is_active(self) -> bool:
        """Whether it still needs the engine."""
        return self.state in ("queued", "running")

    def block_hashes(self, with_output: bool = False) -> tuple[str, ...]:
        """Hashes the prefix blocks of prompt, resumed text and, if wanted, own output."""
        output = "".join(self.text) if with_output else ""
        return prefix_block_hashes(self.prompt + self.extension.resume.text + output)

    def prefill_tokens(self, cached_bytes: int) -> int:
        """Counts the tokens of prompt and resumed text behind the cached bytes."""
        prompt_bytes = len(self.prompt.encode("utf-8", "replace"))
        resume_bytes = len(self.extension.resume.text.encode("utf-8", "replace"))
        prompt_left = max(0, prompt_bytes - cached_bytes)
        resume_left = min(resume_bytes, max(0, prompt_bytes + resume_bytes - cached_bytes))
        tokens = -(-prompt_left // BYTES_PER_TOKEN)
        if resume_bytes:
            tokens += -(-self.first_offset * resume_left // resume_bytes)
        return tokens

    def token_chunk(self, offset: int, text: str) -> str:
        """Formats the event of one token; its text needs no escapes."""
        return f"{self._head}{text}{self._middle}{offset}{self._tail}"

    def finish_chunk(self) -> str:
        """Formats the finish chunk and the end of the stream."""
        middle = self._middle.replace("null", '"length"', 1)
        tail = self._tail.replace("}}\n", f',"total_tokens":{self.total}}}}}\n')
        return f"{self._head}{middle}{self.total}{tail}data: [DONE]\n\n"

    def _build_chunk_template(self, model: str, chat: bool) -> None:
        """Formats the constant parts of a chunk once, since one is sent for each token."""
        ext = self.extension
        kind = "chat.completion.chunk" if chat else "text_completion"
        head = {"id": ext.request_id, "object": kind, "created": int(time.time()), "model": model}
        body = '"delta":{"content":"' if chat else '"text":"'
        self._head = f'data: {_json(head)[:-1]},"choices":[{{"index":0,{body}'
        close = '"}' if chat else '"'
        self._middle = (
            f'{close},"finish_reason":null}}],"sapphireledge":'
            f'{{"attempt_id":{_json(ext.attempt_id)},"offset":'
        )
        self._tail = f',"model_version":{_json(ext.model_version)}}}}}\n\n'


def _json(value: Any) -> str:
    """Encodes a value as compact JSON."""
    return msgspec.json.encode(value).decode()
