// Operator interface. Every operator action is a method of this service.

namespace py sapphireledge.operator

enum RanState { NO = 0, YES = 1, UNKNOWN = 2 }

// Error of any operator call; kind is one of the kinds listed in docs/reference-errors.md.
exception OperatorError {
  1: string kind
  2: string reason
  3: i64 base_version       // for kind "conflict": version that the change was based on
  4: i64 current_version    // for kind "conflict": current version of the object
  5: RanState ran
}

struct Author {
  1: string who
  2: string why
}

struct Declaration {
  1: string kind            // rank, workspace, deployment or service
  2: string name
  3: string spec            // JSON
  4: i64 version            // version in the store; 0 if the object does not exist
  5: bool deleted
}

struct Change {
  1: string operation_id    // UUID chosen by the client; makes retries idempotent
  2: string kind
  3: string name
  4: string spec            // JSON; empty with deleted = true
  5: i64 base_version       // version that the change is based on; 0 for a new object
  6: bool deleted
}

struct ChangeRecord {
  1: string operation_id
  2: string kind
  3: string name
  4: string who
  5: string why
  6: double when_unix       // seconds
  7: i64 base_version
  8: string before          // JSON, empty for a new object
  9: string after           // JSON, empty for a deletion
  10: i64 version           // version of the object after the change
  11: string previous       // operation id of the preceding change, empty for the first
}

struct ApplyResult {
  1: string operation_id
  2: i64 version
  3: bool changed           // false if the object already had this content
}

struct DiffEntry {
  1: string kind
  2: string name
  3: string before
  4: string after
  5: i64 version
}

struct EntryStatus {
  1: string instance
  2: string data_centre
  3: string region
  4: string state           // starting, ready, draining or stopped
  5: i64 config_version
  6: i64 highest_version
  7: bool reachable
  8: i32 requests_running
  9: i32 requests_queued
}

struct BackendStatus {
  1: string name
  2: string data_centre
  3: string role
  4: string model
  5: string version
  6: string state           // live, leaving or unreachable
  7: i32 running
  8: i32 slots
  9: double report_age      // seconds
}

struct RankStatus {
  1: string name
  2: i32 running
  3: i32 queued
  4: i64 tokens             // tokens delivered since the instance started
  5: i64 refused
}

struct WorkspaceStatus {
  1: string name
  2: double weight
  3: double usage           // token usage of the whole fleet, decayed over time
}

struct Status {
  1: list<EntryStatus> entries
  2: list<BackendStatus> backends
  3: list<RankStatus> ranks
  4: list<WorkspaceStatus> workspaces
  5: bool platform_reachable
}

struct OrderRequest {
  1: string operation_id
  2: string backend
  3: string action          // load_model, unload_model, load_adapter, unload_adapter or set_role
  4: string model
  5: string version
  6: string adapter
  7: string role
}

struct OrderResult {
  1: string operation_id
  2: i64 fencing_number
  3: string outcome         // done, unchanged or refused
  4: string reason
}

struct ReplayEvent {
  1: i32 sequence
  2: double time_unix       // seconds
  3: string instance
  4: string name
  5: string input           // JSON
  6: string decisions       // JSON, as recorded
  7: string difference      // empty if the replay reproduced the decisions
}

struct ReplayResult {
  1: string request_id
  2: list<ReplayEvent> events
  3: list<string> gaps      // sources and events missing from the record
  4: bool same              // whether the replay reproduced every decision
}

struct QuarantineEntry {
  1: string fingerprint
  2: i32 deaths
  3: string state           // suspect, isolated or condemned
  4: double since_unix      // seconds
  5: list<string> backends
}

struct PromptPart {
  1: string part_id
  2: i32 tokens
}

// A request that explain is asked about. It has no key and no text of a prompt.
struct ExplainRequest {
  1: string host            // gateway: host and path of the request
  2: string path
  3: string method
  4: string workspace
  5: string rank
  6: string model           // own interface: model or service
  7: string service_name    // gateway: one of the services of the route, empty for the likeliest
  8: i32 prompt_tokens      // 0 to add up the parts
  9: i32 output_tokens
  10: list<PromptPart> parts
  11: double deadline       // seconds that the caller waits; 0 if it does not say
  12: bool resumes          // the caller received a part of the stream
  13: i64 last_event        // last event that it received, if it resumes
  14: bool fresh            // fetch the load reports that a placement would ask for
  15: string first_attempt  // gateway: id of the attempt that brought the first event, if it resumes
}

struct ExplainCheck {
  1: string name            // what decides, for example route or quarantine
  2: bool passed
  3: string detail
}

struct ExplainTerm {
  1: string name
  2: double value
}

struct ExplainServer {
  1: string name
  2: string data_centre
  3: string version
  4: string role            // chosen, standby, candidate, left_out or not_asked
  5: string reason
  6: double report_age      // seconds; -1 without a load report
  7: list<ExplainTerm> terms
  8: double cost            // sum of the terms; -1 without terms
  9: double chance          // probability that it is chosen; -1 where none is drawn
}

struct ExplainChance {
  1: string name
  2: double probability
}

struct ExplainWaiting {
  1: string rank
  2: i32 waiting
}

struct ExplainResult {
  1: string instance        // instance that answers
  2: string outcome         // sent, waits or refused
  3: string error_kind      // what the caller would get; empty if it is not refused
  4: string reason
  5: string route
  6: string service_name
  7: string workspace
  8: string rank
  9: string kind            // stream, plain, or plain, at most once
  10: double estimate       // seconds to the first event or until it is sent; -1 if unknown
  11: bool is_late
  12: i32 position          // requests that go before it in the line; -1 if it does not wait
  13: list<ExplainWaiting> waiting
  14: list<ExplainCheck> checks
  15: list<ExplainServer> servers
  16: list<ExplainChance> chances
  17: list<string> unknown  // what could change the result and the instance does not know
  18: string shared_load    // what is known of the load of other instances
}

service Operator {
  // Authenticates the connection; must be called before any other method.
  void hello(1: string secret, 2: string who) throws (1: OperatorError error)

  ApplyResult apply(1: Change change, 2: Author author) throws (1: OperatorError error)
  // Compares declarations with the stored ones and returns those that differ; changes nothing.
  list<DiffEntry> diff(1: list<Declaration> declarations) throws (1: OperatorError error)
  Declaration get_declaration(1: string kind, 2: string name) throws (1: OperatorError error)
  list<Declaration> list_declarations(1: string kind) throws (1: OperatorError error)
  // Accepted changes of an object, newest first.
  list<ChangeRecord> history(1: string kind, 2: string name, 3: i32 limit)
      throws (1: OperatorError error)
  // Applies the content of an earlier change again, as a new change.
  ApplyResult reapply(1: string record_id, 2: string operation_id, 3: i64 base_version,
                      4: Author author) throws (1: OperatorError error)

  Status status() throws (1: OperatorError error)
  // Waits until all reachable entries have the version in force, for at most wait seconds.
  list<EntryStatus> wait_in_force(1: i64 version, 2: double wait) throws (1: OperatorError error)
  // Starts a graceful shutdown of the instance that receives the call.
  void drain(1: string operation_id, 2: Author author) throws (1: OperatorError error)
  OrderResult order(1: OrderRequest request, 2: Author author) throws (1: OperatorError error)
  ReplayResult replay(1: string request_id) throws (1: OperatorError error)
  list<QuarantineEntry> quarantine_list() throws (1: OperatorError error)
  void quarantine_lift(1: string fingerprint, 2: string operation_id, 3: Author author)
      throws (1: OperatorError error)
  // Explains where a request would go now, without sending it; changes nothing.
  ExplainResult explain(1: ExplainRequest request) throws (1: OperatorError error)
}
