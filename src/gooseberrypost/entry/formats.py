"""Bodies of answers in the widely used completions format."""

from __future__ import annotations

import json
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any, Final

if TYPE_CHECKING:
    from gooseberrypost.entry.sections import LiveRequest
    from gooseberrypost.errors import Failure, Outcome

JSON_TYPE: Final = "application/json"
EVENT_STREAM_TYPE: Final = "text/event-stream"
DONE_EVENT: Final = b"data: [DONE]\n\n"


def encode_json(document: Any) -> bytes:
    """Serialise without spaces."""
    return json.dumps(document, separators=(",", ":")).encode()


def error_document(
    failure: Failure, request_id: str, outcome: Outcome
) -> dict[str, Any]:
    """JSON error body of a failure."""
    return {
        "error": {
            "code": failure.code,
            "message": failure.detail or failure.code,
            "request_id": request_id,
            "outcome": outcome.value,
        }
    }


def error_event(failure: Failure, request_id: str, outcome: Outcome) -> bytes:
    """Event that ends a stream which cannot be completed."""
    return _event(error_document(failure, request_id, outcome))


def _event(document: Any) -> bytes:
    return b"data: " + encode_json(document) + b"\n\n"


@dataclass(slots=True, frozen=True)
class CompletionFormat:
    """Renders the answer to one completion request."""

    live: LiveRequest
    """Names the answer by its key, which may be minted later."""
    model: str
    chat: bool
    created_s: int
    """Unix time in seconds."""

    def whole(
        self, text: str, finish_reason: str, prompt_tokens: int, tokens: int
    ) -> bytes:
        """Body of an answer that is sent in one piece."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        document = self._document(choice, "chat.completion")
        document["usage"] = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": tokens,
            "total_tokens": prompt_tokens + tokens,
        }
        return encode_json(document)

    def piece(self, text: str) -> bytes:
        """Event that carries a piece of the answer."""
        return self._chunk(text, None)

    def final(self, finish_reason: str) -> bytes:
        """Events that end a whole stream."""
        return self._chunk("", finish_reason) + DONE_EVENT

    def _chunk(self, text: str, finish_reason: str | None) -> bytes:
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self.chat:
            choice["delta"] = {"content": text} if text else {}
        else:
            choice["text"] = text
        return _event(self._document(choice, "chat.completion.chunk"))

    def _document(
        self, choice: dict[str, Any], chat_kind: str
    ) -> dict[str, Any]:
        return {
            "id": self.live.key,
            "object": chat_kind if self.chat else "text_completion",
            "created": self.created_s,
            "model": self.model,
            "choices": [choice],
        }
