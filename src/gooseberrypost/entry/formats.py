"""Response bodies in the widely used format of completion services."""

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
    """Serialise a document as compact JSON."""
    return json.dumps(document, separators=(",", ":")).encode()


def error_document(
    failure: Failure, request_id: str, outcome: Outcome
) -> dict[str, Any]:
    """Return the error document that reports a failure."""
    return {
        "error": {
            "code": failure.code,
            "message": failure.detail or failure.code,
            "request_id": request_id,
            "outcome": outcome.value,
        }
    }


def error_event(failure: Failure, request_id: str, outcome: Outcome) -> bytes:
    """Return the event that ends a failed stream."""
    return _encode_event(error_document(failure, request_id, outcome))


def _encode_event(document: Any) -> bytes:
    return b"data: " + encode_json(document) + b"\n\n"


@dataclass(slots=True, frozen=True)
class CompletionFormat:
    """Renders the answer to one completion request."""

    live: LiveRequest
    """The request; its key, which may be minted later, is the answer's id."""
    model: str
    chat: bool
    created_s: int
    """Creation time of the answer as Unix time in seconds."""

    def json_body(
        self,
        text: str,
        finish_reason: str,
        prompt_tokens: int,
        completion_tokens: int,
    ) -> bytes:
        """Return the body of an answer that is not streamed."""
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self.chat:
            choice["message"] = {"role": "assistant", "content": text}
        else:
            choice["text"] = text
        document = self._document(choice, "chat.completion")
        document["usage"] = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": completion_tokens,
            "total_tokens": prompt_tokens + completion_tokens,
        }
        return encode_json(document)

    def token_event(self, text: str) -> bytes:
        """Return the event for the text of one token."""
        return self._chunk(text, None)

    def final_events(self, finish_reason: str) -> bytes:
        """Return the events that end a completed stream."""
        return self._chunk("", finish_reason) + DONE_EVENT

    def _chunk(self, text: str, finish_reason: str | None) -> bytes:
        choice: dict[str, Any] = {"index": 0, "finish_reason": finish_reason}
        if self.chat:
            choice["delta"] = {"content": text} if text else {}
        else:
            choice["text"] = text
        return _encode_event(self._document(choice, "chat.completion.chunk"))

    def _document(
        self, choice: dict[str, Any], chat_object_type: str
    ) -> dict[str, Any]:
        return {
            "id": self.live.key,
            "object": chat_object_type if self.chat else "text_completion",
            "created": self.created_s,
            "model": self.model,
            "choices": [choice],
        }
