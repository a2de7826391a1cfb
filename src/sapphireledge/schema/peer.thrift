// The interface between entry instances.

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
  5: string incarnation     // new at every start of the process
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
  4: list<string> suspects  // fingerprints of the requests in flight
  5: list<string> isolated  // fingerprints among them that ran isolated
}

// The deaths of a request up to a time no longer count.
struct RequestClearing {
  1: string fingerprint
  2: double time_unix       // seconds
  3: string who             // operator who lifted it, empty for a completion
  4: string why
}

struct Heartbeat {
  1: string instance
  2: i64 sequence
  3: string state           // starting, ready, draining or stopped
  4: i64 config_version     // version in force at the sender
  5: i64 highest_version    // highest version that the sender has heard of
  6: list<UsageDelta> usage // workspaces whose usage changed
  7: list<EngineDeath> deaths
  8: list<string> leaving   // backend servers that told the sender that they are leaving
  9: i32 running
  10: i32 queued
  11: bool platform_reachable
  12: list<string> scope    // data centres that the usage stands for; empty: the sender alone
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
  4: list<string> pieces    // one text for each token
  5: string header          // JSON of the request, with the first append only
  6: string finish          // finish reason, empty while the answer goes on
  7: string events          // recorded events as JSON lines
}

struct AppendResult {
  1: string request_id
  2: i64 stored             // token offset after the append
  3: i64 epoch              // epoch that the holder knows; higher than the sent one: refused
  4: bool header_missing    // the holder needs the header again
}

struct AnswerLocation {
  1: bool found
  2: bool owner             // the sender of this answer owns the generation
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
  5: string error_kind      // set if the generation ended in a refusal
  6: string error_reason
  7: string version         // model version of the answer
  8: string fingerprint     // identity of the request's content
}

struct TakeOver {
  1: bool granted
  2: i64 epoch
  3: string owner_instance  // owner if not granted
  4: string header
  5: list<string> pieces
  6: string finish
  7: string events
}

struct ConfigObject {
  1: string key
  2: binary value
  3: i64 version
  4: bool deleted
}

struct ConfigPart {
  1: list<ConfigObject> objects
  2: i64 version            // version in force at the sender
  3: i64 highest_version
}

struct EventPart {
  1: string events          // JSON lines
  2: list<string> gaps
}

struct VoidReply {
  1: bool voided            // the receiver never received the key and refuses it from now on
  2: double since_unix      // start of the receiver's process, in seconds
  3: list<string> entries   // every entry instance that the receiver knows of
}

service Peer {
  Hello hello(1: Hello hello) throws (1: PeerError error)
  HeartbeatReply heartbeat(1: Heartbeat heartbeat) throws (1: PeerError error)
  list<AppendResult> append_answers(1: list<AnswerAppend> appends) throws (1: PeerError error)
  AnswerLocation find_answer(1: string request_id) throws (1: PeerError error)
  // Waits for tokens from the offset on, at most wait seconds.
  AnswerPart read_answer(1: string request_id, 2: i64 offset, 3: double wait)
      throws (1: PeerError error)
  TakeOver take_over(1: string request_id, 2: i64 epoch, 3: string instance)
      throws (1: PeerError error)
  ConfigPart config_since(1: i64 version) throws (1: PeerError error)
  // Asks the receiver to refuse a claim key that it has not received yet.
  VoidReply void_key(1: string claim_key) throws (1: PeerError error)
  EventPart read_events(1: string request_id) throws (1: PeerError error)
}
