// Interface between entry instances.

namespace py sapphireledge.peers

exception PeerError {
  1: string kind
  2: string reason
}

struct Hello {
  1: string secret
  2: string instance
  3: string data_centre
  4: string region
  5: string incarnation     // identifies the process; new at every start
  6: string peer_address    // "IP:port"
}

struct UsageDelta {
  1: string workspace
  2: double usage           // decayed tokens of the sender at the time of the heartbeat
}

struct EngineDeath {
  1: string backend
  2: string boot_id
  3: double time_unix       // seconds
  4: list<string> suspects  // fingerprints of the requests that were in flight
  5: list<string> isolated  // those of the suspects that ran in isolation
  6: map<string, list<string>> begun  // those that the engine had just begun to answer, each with
                                      // the parts of its prompt that other requests can share
  7: string service_name
  8: double load            // share of time in which a server of the service ran requests with a scope
  9: map<string, list<string>> scopes    // route and workspace of those in begun that have no parts,
                                         // each with their fingerprints
  10: map<string, double> presence       // share of time in which a server ran requests of each scope
  11: i32 servers           // servers of the service that were not known to have died before
}

// Clears a suspected request: its deaths up to time_unix no longer count.
struct RequestClearing {
  1: string fingerprint
  2: double time_unix       // seconds
  3: string who             // operator who cleared it, empty if the request completed
  4: string why
}

struct Heartbeat {
  1: string instance
  2: i64 sequence
  3: string state           // starting, ready, draining or stopped
  4: i64 config_version     // version in force at the sender
  5: i64 highest_version    // highest version known to the sender
  6: list<UsageDelta> usage // workspaces whose usage changed
  7: list<EngineDeath> deaths
  8: list<string> leaving   // backend servers that announced to the sender that they are leaving
  9: i32 running
  10: i32 queued
  11: bool platform_reachable
  12: list<string> scope    // data centres that the usage covers; empty for the sender alone
  13: list<RequestClearing> cleared
}

struct HeartbeatReply {
  1: i64 config_version
  2: i64 highest_version
}

struct AnswerAppend {
  1: string request_id
  2: i64 epoch
  3: i64 offset             // token offset of the first piece
  4: list<string> pieces    // text of each token
  5: string header          // request as JSON, in the first append only
  6: string finish          // finish reason, empty until the answer ends
  7: string events          // recorded events as JSON lines
  8: string software        // software version of the engine that began the answer, in the append
                            // of its first token only; absent if not known
}

struct AppendResult {
  1: string request_id
  2: i64 stored             // number of tokens stored after the append
  3: i64 epoch              // epoch known to the holder; a lower epoch in the append was rejected
  4: bool header_missing    // whether the holder needs the header to be sent again
}

struct AnswerLocation {
  1: bool found
  2: bool owner             // whether the replying entry owns the generation
  3: string owner_instance
  4: i64 epoch
  5: i64 stored
  6: bool finished
}

struct AnswerPart {
  1: i64 offset
  2: list<string> pieces
  3: string finish
  4: i64 epoch
  5: string error_kind      // set if the generation ended with an error
  6: string error_reason
  7: string version         // model version of the answer
  8: string fingerprint     // fingerprint of the request's content
  9: string software        // software version of the engine that began the answer; absent without
                            // tokens or if not known
}

struct TakeOver {
  1: bool granted
  2: i64 epoch
  3: string owner_instance  // current owner if not granted
  4: string header
  5: list<string> pieces
  6: string finish
  7: string events
  8: string software        // as in AnswerAppend
}

struct ConfigObject {
  1: string key
  2: binary value
  3: i64 version
  4: bool deleted
}

struct ConfigPart {
  1: list<ConfigObject> objects
  2: i64 version            // version in force at the replying entry
  3: i64 highest_version
}

struct EventPart {
  1: string events          // JSON lines
  2: list<string> gaps
}

struct VoidReply {
  1: bool voided            // whether the key was never received and is rejected from now on
  2: double since_unix      // start time of the receiver's process, in Unix seconds
  3: list<string> entries   // all entry instances known to the receiver
}

service Peer {
  Hello hello(1: Hello hello) throws (1: PeerError error)
  HeartbeatReply heartbeat(1: Heartbeat heartbeat) throws (1: PeerError error)
  list<AppendResult> append_answers(1: list<AnswerAppend> appends) throws (1: PeerError error)
  AnswerLocation find_answer(1: string request_id) throws (1: PeerError error)
  // Returns tokens from the offset on, waiting up to wait seconds for the first.
  AnswerPart read_answer(1: string request_id, 2: i64 offset, 3: double wait)
      throws (1: PeerError error)
  TakeOver take_over(1: string request_id, 2: i64 epoch, 3: string instance)
      throws (1: PeerError error)
  ConfigPart config_since(1: i64 version) throws (1: PeerError error)
  // Asks the receiver to reject a claim key that it has not received yet.
  VoidReply void_key(1: string claim_key) throws (1: PeerError error)
  EventPart read_events(1: string request_id) throws (1: PeerError error)
}
