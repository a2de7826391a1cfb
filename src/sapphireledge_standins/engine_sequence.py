"""Sequence that the engine stand-in generates for one attempt."""

from __future__ import annotations

import time
from typing import TYPE_CHECKING, Any

import msgspec

from sapphireledge.backends.prefix_hashes import prefix_block_hashes, prompt_text

if TYPE_CHECKING:
    from sapphireledge_standins.chained_answer import TokenChain

__all__ = ["EngineSequence", "Extension", "Resume"]

BYTES_PER_TOKEN = 4
"""Bytes of prompt text counted as one token."""


class Resume(msgspec.Struct, frozen=True):
    """The `resume` object of a request, which continues an earlier attempt."""

    offset: int
    """Number of tokens already generated."""

    text: str
    """Text of those tokens."""


class Extension(msgspec.Struct, frozen=True):
    """The `sapphireledge` object of a request."""

    attempt_id: str
    """Id of the attempt."""

    request_id: str
    """Id of the request, shared by all its attempts."""

    priority: int = 0
    """Scheduling priority; 0 is the most urgent."""

    model_version: str = ""
    """Model version that must generate the answer."""

    resume: Resume = Resume(0, "")
    """Position to continue from; by default the start of the answer."""


class EngineSequence:
    """Prompt, position and output of one attempt."""

    def __init__(self, body: dict[str, Any], extension: Extension, chat: bool, total: int) -> None:
        """Creates a queued sequence.

        Args:
            body: Request body.
            extension: `sapphireledge` object of the body.
            chat: Whether chunks have the chat completion format.
            total: Length of the complete answer in tokens, including resumed ones.
        """
        self.extension = extension
        self.prompt = prompt_text(body)
        self.total = total
        self.first_offset = extension.resume.offset
        self.next_offset = self.first_offset
        self.state = "queued"
        self.chain: TokenChain | None = None
        self.token_texts: list[str] = []
        """Texts of the tokens generated in this attempt."""

        self.silent = False
        """Whether output is withheld because the connection is silenced by a fault."""

        self._build_chunk_template(str(body.get("model", "")), chat)

    @property
    def is_active(self) -> bool:
        """Whether the sequence is queued or running."""
        return self.state in ("queued", "running")

    def block_hashes(self, with_output: bool = False) -> tuple[str, ...]:
        """Hashes the prefix blocks of the prompt, the resumed text and optionally the output."""
        output = "".join(self.token_texts) if with_output else ""
        return prefix_block_hashes(self.prompt + self.extension.resume.text + output)

    def prefill_tokens(self, cached_bytes: int) -> int:
        """Counts the tokens of the prompt and resumed text that follow the cached bytes."""
        prompt_bytes = len(self.prompt.encode("utf-8", "replace"))
        resume_bytes = len(self.extension.resume.text.encode("utf-8", "replace"))
        prompt_left = max(0, prompt_bytes - cached_bytes)
        resume_left = min(resume_bytes, max(0, prompt_bytes + resume_bytes - cached_bytes))
        tokens = -(-prompt_left // BYTES_PER_TOKEN)
        if resume_bytes:
            tokens += -(-self.first_offset * resume_left // resume_bytes)
        return tokens

    def token_chunk(self, offset: int, text: str) -> str:
        """Formats the event of one token, whose text needs no JSON escaping."""
        return f"{self._head}{text}{self._middle}{offset}{self._tail}"

    def finish_chunk(self) -> str:
        """Formats the final chunk and the end-of-stream marker."""
        middle = self._middle.replace("null", '"length"', 1)
        tail = self._tail.replace("}}\n", f',"total_tokens":{self.total}}}}}\n')
        return f"{self._head}{middle}{self.total}{tail}data: [DONE]\n\n"

    def _build_chunk_template(self, model: str, chat: bool) -> None:
        """Formats the constant parts of a chunk once, because one chunk is sent per token."""
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
