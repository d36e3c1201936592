"""Header names and paths of the platform's protocol."""

from __future__ import annotations

from typing import Final

REQUEST_ID: Final = "X-Gooseberrypost-Attempt-Id"
"""Id of one attempt of a client; a retry of the client has another one."""
DEADLINE_MS: Final = "X-Gooseberrypost-Deadline-Ms"
"""Remaining time in ms, not a point in time."""
SIGNATURE: Final = "X-Gooseberrypost-Server-Stamp"
EXPECT_INSTANCE: Final = "X-Gooseberrypost-Expect-Instance"
NOT_EXECUTED: Final = "X-Gooseberrypost-Not-Executed"
TOKEN_USAGE: Final = "X-Gooseberrypost-Token-Usage"
"""Prompt tokens and the maximum of output tokens, not what was used."""
PROMPT_PREFIX: Final = "X-Gooseberrypost-Prompt-Prefix"
"""All parts of the prompt, the request's own part included."""
LENGTH_HINT: Final = "X-Gooseberrypost-Length-Hint"
PRIORITY: Final = "X-Gooseberrypost-Request-Priority"
STAGE: Final = "X-Gooseberrypost-Inference-Stage"
KV_SOURCE: Final = "X-Gooseberrypost-Kv-Source"
KV_HOLD: Final = "X-Gooseberrypost-Kv-Hold"
KV_BACKUP: Final = "X-Gooseberrypost-Kv-Backup"
KV_FETCH: Final = "Kv-Fetch"
PIN_MS: Final = "X-Gooseberrypost-Pin-Ms"
EXPECT_VERSION: Final = "X-Gooseberrypost-Expect-Version"
LAST_EVENT_ID: Final = "Last-Event-Id"

SYSTEM_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        DEADLINE_MS,
        EXPECT_INSTANCE,
        PRIORITY,
        STAGE,
        KV_SOURCE,
        KV_HOLD,
        KV_BACKUP,
        KV_FETCH,
        PIN_MS,
        EXPECT_VERSION,
    )
)
"""Headers that a gateway sets; a client's values are never forwarded."""

CONNECTION_HEADERS: Final = frozenset(
    (
        "connection",
        "keep-alive",
        "proxy-connection",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
        "content-length",
        "expect",
    )
)
"""Headers that concern a single connection."""

REPORT_PATH: Final = "/-/report"
ORDER_PATH: Final = "/-/order"
HOLD_TAKE_PATH: Final = "/-/hold-take"
HOLD_DROP_PATH: Final = "/-/hold-drop/"
KV_MOVE_PATH: Final = "/-/kv-move"
KV_HANDLE_PATH: Final = "/-/kv-handle/"

RANGE_PATH: Final = "/-/kv-range"
WATCH_PATH: Final = "/-/kv-watch"
TXN_PATH: Final = "/-/kv-txn"
LEASE_PATH: Final = "/-/kv-lease"
KEEP_PATH: Final = "/-/kv-keep/"
LEASE_END_PATH: Final = "/-/kv-lease-end/"

CONFIGURATION_PREFIX: Final = "op/"
CONFIGURATION_KEY: Final = "op/config"
SERVERS_PREFIX: Final = "servers/"
OWN_PREFIX: Final = "gooseberrypost/"
"""Everything that this product writes."""
GATEWAYS_PREFIX: Final = "gooseberrypost/gateways/"
"""Registrations of this product's own gateways."""
STAGE_HOLDER_KEY: Final = "gooseberrypost/stage-holder"
STAGE_ORDERS_PREFIX: Final = "gooseberrypost/stage-orders/"
