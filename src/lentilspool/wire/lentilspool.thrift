// Messages between lentilspool's own processes. Regenerate with `make thrift`.
namespace py lentilspool.wire.generated.messages

const i32 PROTOCOL_VERSION = 1

struct Hello {
  1: required i32 version
  2: required string process
  3: required i64 incarnation
  4: required string zone
}

struct StageCall {
  1: required i64 call_id
  2: required string request_id
  3: required string pipeline
  4: required string stage
  5: required i32 attempt
  6: required i64 config_version
  7: required string digest
  8: required binary body
  9: required bool repeatable
  10: required i32 deadline_ms
  11: required string team
  12: required bool stream
  13: required i32 priority
  14: optional string token
  15: optional string traceparent
  16: optional i64 incarnation
  17: required string operation
  18: required i32 max_output_tokens
  19: required i32 later_ms
  20: required bool may_queue
  21: required bool alone
}

struct StageChunk {
  1: required i64 call_id
  2: required i32 sequence
  3: required string text
}

// outcome: complete, not_run, unknown, failed
struct StageAnswer {
  1: required i64 call_id
  2: required string request_id
  3: required string stage
  4: required i32 attempt
  5: required string digest
  6: required string outcome
  7: required binary body
  8: required double cost
  9: required string reason
  10: required i32 retry_after_ms
  11: required i32 service_ms
  12: required i32 queued
  13: required string death
}

struct Cancel {
  1: required i64 call_id
}

struct AdmitCall {
  1: required i64 call_id
  2: required string request_id
  3: required string digest
  4: required i64 config_version
  5: optional string token
  6: optional string idempotency_key
  7: required string team
}

// state: issued, running, finished, never_seen, refused, unknown
struct AdmitAnswer {
  1: required i64 call_id
  2: required string state
  3: required string token
  4: required string reason
  5: required i32 retry_after_ms
  6: optional binary body
}

struct ConfigDigest {
  1: required i64 number
  2: required string digest
}

// Requests all entries after `number`.
struct ConfigPull {
  1: required i64 number
  2: required string digest
}

struct ConfigPush {
  1: required i64 number
  2: required string digest
  3: required list<binary> entries
}

struct Heartbeat {
  1: required string process
  2: required i64 incarnation
  3: required i64 sequence
  4: required bool leaving
  5: required ConfigDigest config
  6: required i32 in_flight
  7: required i32 queued
  8: required i32 limit
  9: required i32 lease_ms
  10: required list<string> suspects
  11: required string zone
  12: required string pool
  13: required string address
  14: required i32 port
}

// action: copy, transfer. Stage i has the admission token i.
struct HeldCall {
  1: required i64 call_id
  2: required string action
  3: required string request_id
  4: required string pipeline
  5: required string team
  6: required binary body
  7: required list<string> stages
  8: required list<string> tokens
  9: required i64 epoch
  10: optional binary outcome
}

struct HeldAnswer {
  1: required i64 call_id
  2: required bool stored
}

// Request i is renewed in epoch i.
struct RenewCall {
  1: required i64 call_id
  2: required list<string> request_ids
  3: required list<i64> epochs
}

struct RenewAnswer {
  1: required i64 call_id
  2: required list<string> taken
  3: required list<string> missing
}

struct Suspicions {
  1: required list<string> suspicions
}

struct OrderProgress {
  1: required string name
  2: required i64 version
  3: required i64 target
  4: required bool done
  5: required bool busy
}

struct CollectCall {
  1: required i64 call_id
  2: required string request_id
}

// state: unknown, running, finished, moved
struct CollectAnswer {
  1: required i64 call_id
  2: required string state
  3: required binary outcome
  4: required string ask
}

struct Refusal {
  1: required i64 call_id
  2: required string reason
}

// Asks the receiver to echo the message.
struct Probe {
  1: required i64 number
}

// ask: a PlanRequest of lentilspool.serving, as MessagePack
struct PlanCall {
  1: required i64 call_id
  2: required binary ask
}

// answer: a RunAt or Refuse of lentilspool.serving, as MessagePack
struct PlanAnswer {
  1: required i64 call_id
  2: required binary answer
}

// event: started, ended, failed, cancelled; with call_id 0 a note about
// streams, as JSON
struct PlanNote {
  1: required i64 call_id
  2: required string event
}

// view: a View of lentilspool.gateway, as MessagePack
struct GatewayBeat {
  1: required i64 number
  2: required binary view
  3: required bool answer
}

// kind: configuration, endpoints
struct PublishedAsk {
  1: required string kind
  2: required i64 revision
}

// content: items of the platform's store, as MessagePack
struct Published {
  1: required string kind
  2: required i64 revision
  3: required binary content
}

struct Envelope {
  1: optional Hello hello
  2: optional StageCall stage_call
  3: optional StageChunk stage_chunk
  4: optional StageAnswer stage_answer
  5: optional Cancel cancel
  6: optional AdmitCall admit_call
  7: optional AdmitAnswer admit_answer
  8: optional ConfigDigest config_digest
  9: optional ConfigPull config_pull
  10: optional ConfigPush config_push
  11: optional Heartbeat heartbeat
  12: optional HeldCall held_call
  13: optional CollectCall collect_call
  14: optional CollectAnswer collect_answer
  15: optional Refusal refusal
  16: optional HeldAnswer held_answer
  17: optional RenewCall renew_call
  18: optional RenewAnswer renew_answer
  19: optional Suspicions suspicions
  20: optional OrderProgress order_progress
  21: optional Probe probe
  22: optional PlanCall plan_call
  23: optional PlanAnswer plan_answer
  24: optional PlanNote plan_note
  25: optional GatewayBeat gateway_beat
  26: optional PublishedAsk published_ask
  27: optional Published published
}
