"""Header names, paths and store keys of the platform's protocol."""

from __future__ import annotations

from typing import Final

REQUEST_ID: Final = "X-Gooseberrypost-Attempt-Id"
"""Id of one attempt of a client; a client's retry has a different id."""
DEADLINE_MS: Final = "X-Gooseberrypost-Deadline-Ms"
"""Remaining time in ms; not a point in time, despite the name."""
SIGNATURE: Final = "X-Gooseberrypost-Server-Stamp"
EXPECT_INSTANCE: Final = "X-Gooseberrypost-Expect-Instance"
NOT_EXECUTED: Final = "X-Gooseberrypost-Not-Executed"
TOKEN_USAGE: Final = "X-Gooseberrypost-Token-Usage"
"""Prompt tokens and maximum output tokens; not the tokens that were used."""
PROMPT_PREFIX: Final = "X-Gooseberrypost-Prompt-Prefix"
"""All parts of the prompt, including the one that only this request has."""
LENGTH_HINT: Final = "X-Gooseberrypost-Length-Hint"
PRIORITY: Final = "X-Gooseberrypost-Request-Priority"
STAGE: Final = "X-Gooseberrypost-Inference-Stage"
KV_SOURCE: Final = "X-Gooseberrypost-Kv-Source"
KV_HOLD: Final = "X-Gooseberrypost-Kv-Hold"
KV_BACKUP: Final = "X-Gooseberrypost-Kv-Backup"
KV_FETCH: Final = "Kv-Fetch"
PIN_MS: Final = "X-Gooseberrypost-Pin-Ms"
EXPECT_VERSION: Final = "X-Gooseberrypost-Expect-Version"
CREDENTIAL: Final = "X-Gooseberrypost-Credential"
"""Key of a client account; it is never passed on."""
ACCOUNT: Final = "X-Gooseberrypost-Tenant"
"""Name of the client account, which only a gateway sets."""
LAST_EVENT_ID: Final = "Last-Event-Id"
RESUMES: Final = "Resumes"
"""Id of the client's attempt that brought the first event of its stream."""
SERVER_LIMIT: Final = "Server-Limit"
"""Requests per second that a server in need accepts from all gateways."""

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
        CREDENTIAL,
        ACCOUNT,
    )
)
"""Headers that only a gateway sets; values from clients are dropped."""

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
"""Lower-case headers that concern one connection and are not forwarded."""

REPORT_PATH: Final = "/-/report"
ORDER_PATH: Final = "/-/order"
RESERVE_PATH: Final = "/-/hold-take"
CANCEL_RESERVATION_PATH: Final = "/-/hold-drop/"
KV_MOVE_PATH: Final = "/-/kv-move"
KV_HANDLE_PATH: Final = "/-/kv-handle/"

RANGE_PATH: Final = "/-/kv-range"
WATCH_PATH: Final = "/-/kv-watch"
TXN_PATH: Final = "/-/kv-txn"
LEASE_PATH: Final = "/-/kv-lease"
LEASE_RENEW_PATH: Final = "/-/kv-keep/"
LEASE_REVOKE_PATH: Final = "/-/kv-lease-end/"

SERVER_LEAVING: Final = "Server-Leaving"
"""Present in each answer of a server that will end soon."""
RETRY_AFTER: Final = "Retry-After"
"""Seconds for which a server that refuses wants no request of this gateway."""

STORE_ERA: Final = "Store-Era"
"""Number in each answer of the store.

It rises when the store has come back from an older copy, which has lost what
was written since, and gives out the same revisions again.
"""

CONFIGURATION_PREFIX: Final = "op/"
CONFIGURATION_KEY: Final = "op/config"
SERVERS_PREFIX: Final = "servers/"
PRODUCT_PREFIX: Final = "gooseberrypost/"
UNUSED_PREFIX: Final = "gooseberrypost/none/"
"""Prefix of no key, for a read that returns nothing."""
"""Prefix of all keys that Gooseberrypost itself writes."""
GATEWAYS_PREFIX: Final = "gooseberrypost/gateways/"
"""Registrations of Gooseberrypost gateways, by name."""
QUARANTINE_PREFIX: Final = "gooseberrypost/quarantine/"
"""Content under which servers crashed, by its digest.

The value is the time of the verdict in ms, negative if it was withdrawn.
"""
CRASHES_PREFIX: Final = "gooseberrypost/crashes/"
"""What a gateway lost in the crash of a server, by a digest of both."""
STREAM_VERSIONS_PREFIX: Final = "gooseberrypost/streams/"
"""Software version that began a stream, by the digest of its first attempt."""
DEFAULT_VERSIONS_PREFIX: Final = "gooseberrypost/default-versions/"
"""Version of a service's streams that have no such record, by service."""
STAGE_HOLDER_KEY: Final = "gooseberrypost/stage-holder"
STAGE_ORDERS_PREFIX: Final = "gooseberrypost/stage-orders/"
