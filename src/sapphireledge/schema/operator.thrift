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
}
