// Messages between gooseberrypost processes. Times are in milliseconds. Fields are
// never renumbered and new fields are optional, so that mixed versions interoperate.

enum Role { PREFILL = 1, DECODE = 2, PLAIN = 3 }

// ---- session ----

struct Hello {
  1: string process_kind,      // "entry", "agent" or "operator"
  2: string name,
  3: i64 incarnation,
  4: string zone,
  5: string address,           // internal host:port of the sender, empty if it has none
}

struct Heartbeat { 1: i64 incarnation }

struct Ok {}

struct Refused {
  1: string code,              // code of a Failure class
  2: string detail,
  3: i32 retry_after_ms,       // 0: no retry hint
  4: optional Load load,
}

// ---- agent ----

struct Load {
  1: i32 slots,
  2: i32 slots_used,           // in use and reserved
  3: i32 pieces,               // units of KV cache memory
  4: i32 pieces_used,          // in use and reserved
  5: i32 queue_tokens,         // prefill tokens not yet computed
  6: double prefill_tokens_per_s,
  7: double token_gap_ms,
  8: bool draining,
  9: i64 configuration_version,
  10: i32 suspects,            // running requests suspected of causing a crash
  11: i32 link_booked_kb_per_s,
  12: optional i64 incarnation, // incarnation of the agent
  13: optional Role role,       // absent while unknown
  14: optional string model,    // absent while unknown
}

struct Probe { 1: string service_name, 2: list<i64> prefix_hashes }

struct ProbeReply {
  1: string server,
  2: Role role,
  3: string model,
  4: Load load,
  5: i32 cached_tokens,        // longest cached prefix of prefix_hashes, in tokens
  6: string engine_address,    // host:port from which other engines import KV cache
}

struct Reserve {
  1: string key,
  2: i32 attempt,
  3: string service_name,
  4: string model,
  5: i32 pieces,
  6: i32 ttl_ms,
  7: i32 expected_start_ms,    // expected time from now until the prefill result arrives
  8: i32 priority,
  9: bool suspect,
  10: binary digest,
  11: i32 transfer_kb,         // size of the KV cache transfer to book on the server's import link
  12: optional list<binary> parts,  // digests of the parts of the prompt that others may share
}

struct Reserved {
  1: i64 reservation,
  2: Load load,
  3: i32 link_start_ms,        // time from now until the booked start of the transfer
  4: i32 link_kb_per_s,        // booked rate of the transfer; 0: none is booked
}

struct ReleaseReservation { 1: i64 reservation, 2: string key, 3: i32 attempt }

struct Prefill {
  1: string key,
  2: i32 attempt,
  3: string service_name,
  4: string model,
  5: string prompt,
  6: i32 priority,
  7: i32 deadline_ms,          // relative to receipt
  8: binary digest,
  9: bool suspect,
  10: optional string generated,  // when resuming: output already sent to the caller
  11: optional list<binary> parts,
}

struct Prefilled {
  1: string handle,
  2: i32 tokens,
  3: i32 cached_tokens,
  4: i32 lives_ms,             // time until the prefill result expires
  5: string engine_address,
  6: Load load,
}

struct ReleasePrefill { 1: string key, 2: i32 attempt, 3: string handle }

struct Decode {
  1: string key,
  2: i32 attempt,
  3: i64 reservation,
  4: string handle,
  5: string engine_address,    // address of the prefill engine
  6: i32 max_tokens,
  7: i32 first_sequence,
  8: i32 priority,
  9: i32 deadline_ms,
  10: string model,
  11: i32 transfer_timeout_ms,
}

struct Token {
  1: string key,
  2: i32 attempt,
  3: i32 sequence,
  4: string text,
}

struct End {
  1: string key,
  2: i32 attempt,
  3: i32 tokens,               // sequence number after the last token
  4: string code,              // empty if the output is complete, else code of a Failure class
  5: string detail,
  6: optional Load load,
}

struct Reattach { 1: string key, 2: i32 attempt, 3: i32 next_sequence }

struct Header { 1: string name, 2: string value }

struct Call {
  1: string key,
  2: i32 attempt,
  3: string service_name,
  4: string method,
  5: string path,
  6: list<Header> headers,
  7: binary body,
  8: bool idempotent,
  9: i32 deadline_ms,
  10: binary digest,
  11: bool suspect,
}

struct CallReply {
  1: i32 status,
  2: list<Header> headers,
  3: binary body,
  4: optional Load load,
}

struct Cancel { 1: string key, 2: i32 attempt }

struct Revoke {
  1: string key,
  2: i32 attempt,
  3: optional i64 incarnation, // agent incarnation last seen before the attempt was sent
}

struct Revoked { 1: bool never_started }

struct Order {
  1: string kind,              // "load_model", "load_adapter", "set_version", "set_role"
  2: string value,
  3: i64 fencing,              // fencing token: configuration version that caused the order
}

struct Drain { 1: bool draining }

struct StatusRequest {}

struct Status {
  1: string process_kind,
  2: string name,
  3: i64 incarnation,
  4: string zone,
  5: string state,             // starting, serving, draining, stopped
  6: i64 configuration_version,
  7: i32 in_flight,
  8: optional Load load,
  9: string service_name,
  10: list<i32> shards,        // claim shards that the process owns
}

struct Explain { 1: string key }

struct Explanation { 1: list<string> lines }

// ---- claims ----

struct Mint { 1: string service_name }

struct Minted { 1: string key }

enum Verdict {
  GRANTED = 1,
  RUNNING = 2,
  COMPLETED = 3,
  KEY_REUSED = 4,
  UNKNOWN = 5,
  QUARANTINED = 6,
  UNAVAILABLE = 7,
  NOT_OWNER = 8,
}

struct Claim {
  1: string key,
  2: binary digest,
  3: string service_name,
  4: bool idempotent,
  5: i32 deadline_ms,          // relative to receipt; a claim still running then is orphaned
  6: i32 wait_ms,              // longest time to wait for the result of a running claim
  7: bool fresh,               // the entry minted the key for this call
  8: optional list<binary> parts,
}

struct ClaimReply {
  1: Verdict verdict,
  2: i32 attempt,
  3: bool suspect,
  4: i32 status,
  5: optional binary answer,   // stored answer of a completed claim
  6: string content_type,
  7: string owner_address,     // with NOT_OWNER: address of the owner, if known
  8: i32 retry_after_ms,
  9: optional bool ran_before, // an earlier attempt may have run
}

struct Renew {                 // requests the next attempt of the same claim
  1: string key,
  2: i32 attempt,
  3: optional binary digest,   // content of a minted key, whose claim its next owner does not know
  4: optional list<binary> parts,
}

struct Complete {
  1: string key,
  2: i32 attempt,
  3: i32 status,
  4: binary answer,
  5: string content_type,
}

struct Abandon {
  1: string key,
  2: i32 attempt,
  3: bool not_run,             // proof that the request was not run
}

struct CrashReport {
  1: string crash_id,
  2: string server,
  3: list<binary> digests,
  4: optional list<list<binary>> parts,  // of each digest
  5: optional list<bool> begun,  // whether a part of each answer had been produced
}

// ---- configuration ----

struct Record { 1: string key, 2: string value, 3: i64 version }

struct ConfigPull { 1: i64 since_version }

struct ConfigDelta {
  1: i64 version,
  2: list<Record> records,
  3: list<string> removed,
  4: optional i64 since_version,  // 0: complete configuration
  5: optional string process_kind,
  6: optional string name,     // of the sender
  7: optional string zone,
}

// ---- between gateways ----

struct ServerLoadNotice {
  1: string identity,          // identity of one start of the backend server
  2: i32 outstanding,
  3: i32 prefill_tokens,       // prefill tokens sent and not known to be processed
  4: list<i32> run_tokens,     // memory of each running generation, in tokens
  5: list<i32> run_produced,   // output tokens of each generation so far
  6: list<i32> run_expected,   // output tokens expected at the start of each generation
  7: list<i32> run_limit,      // maximum output tokens of each generation
  8: optional i32 work_ms,     // expected work left of what is outstanding, at usual pace
  9: optional double pace,     // relative to the service, at plain requests or decoding
  10: optional i32 pace_answers,  // recent answers behind it
  11: optional double prefill_pace,
  12: optional i32 prefill_pace_answers,
}

struct ServerLimitNotice {
  1: string identity,          // identity of one start of the backend server
  2: optional double per_s,    // requests per second over all gateways; unset if withdrawn
  3: optional i64 age_ms,      // since the answer that named or withdrew it; unset without one
  4: i64 sent,                 // requests of the sender since it first knew of a limit
  5: i64 counted_ms,           // time since then
}

struct OutputNotice {
  1: string service_name,
  2: double tokens,            // typical output tokens per generation
}

struct CrashNotice {
  1: string server,            // identity of one start of the backend server
  2: list<string> lost,        // requests that were running, as digests
  3: list<string> cleared,     // digests that were answered since, or elsewhere
  4: optional list<string> parts,  // shared parts of each lost request, joined by commas
  5: optional list<string> begun,  // lost requests of which part of the answer had arrived
}

struct ConvictionNotice {
  1: string content,           // digest, or several joined by "+"
  2: i64 convicted_ms,         // wall clock
}

struct StreamNotice {
  1: string stream,            // key of the stream
  2: string version,           // software version that began it
}

struct VersionsNotice {
  1: string service_name,
  2: list<string> versions,    // software versions whose streams may be taken up
}

struct TurnNotice {
  1: string service_name,
  2: i32 rank_ms,              // queue rank of the first queued generation
}

struct LoadNotice {
  1: string name,              // name of the sending gateway
  2: i64 incarnation,
  3: i64 sequence,             // increases with each notice of an incarnation
  4: list<ServerLoadNotice> servers,
  5: i64 configuration_version,
  6: optional i32 waiting,     // generations queued for capacity
  7: optional list<OutputNotice> outputs,
  8: optional i32 turn_ms,     // lowest rank, for receivers that do not read turns
  9: optional list<string> gone,  // servers that the sender found to be gone
  10: optional list<CrashNotice> crashes,  // recent reports of the sender
  11: optional list<ConvictionNotice> convictions,
  12: optional list<ServerLimitNotice> limits,
  13: optional list<StreamNotice> streams,  // streams that the sender began
  14: optional list<VersionsNotice> versions,  // of services with several
  15: optional list<TurnNotice> turns,  // services for which generations are queued
  16: optional list<string> accounts,  // client accounts in use; the next three are parallel to it
  17: optional list<double> account_admitted,  // cumulative cost that the sender admitted
  18: optional list<double> account_levels,  // tokens left in the account's bucket; infinite if unknown
  19: optional list<i64> account_counted_ms,  // time for which the sender has counted
  20: optional list<double> account_refused,  // cost just refused, of the most urgent priority; 0: none
  21: optional list<i32> account_refused_priority,  // that priority; unset if nothing was refused
}
