namespace cpp coltsfootvane.peer.gen

// Messages between daemons. Deadlines are sent as remaining milliseconds,
// because the clocks of VMs are not compared.

struct MemberUpdate {
  1: string id
  2: i64 incarnation
  3: string instance
  4: string data_centre
  5: string region
  6: string host
  7: i32 port
  8: i32 state
  9: i64 version
  10: string digest
  11: bool planner
}

struct LeavingEndpoint {
  1: string id
  2: i32 left_ms
}

struct Membership {
  1: i32 kind
  2: i64 sequence
  3: string target_host
  4: i32 target_port
  5: MemberUpdate sender
  6: list<MemberUpdate> updates
  7: list<LeavingEndpoint> leaving
  8: optional binary buckets
}

struct SlotAsk {
  1: string pool
  2: string request_id
  3: string item
  4: i32 kind
  5: i32 priority
  6: string caller
  7: i64 prefix_hash
  8: i32 left_ms
  9: list<string> excluded
}

struct SlotReply {
  1: string pool
  2: string request_id
  3: i32 verdict
  4: string endpoint_id
  5: i64 grant_id
  6: i32 retry_after_ms
  7: i32 pool_load_percent
}

struct SlotReturn {
  1: string pool
  2: string request_id
  3: i64 grant_id
  4: bool withdrawn
  5: bool endpoint_failed
  6: bool endpoint_leaving
  7: i32 tokens
  8: i64 first_token_us
  9: i64 per_token_us
}

// The strings are sent only while the dispatcher may not know the grant, and
// repeated occasionally.
struct HeldGrant {
  1: i64 grant_id
  2: optional string request_id
  3: optional string endpoint_id
  4: optional string item
  5: optional string caller
  6: i32 priority
  7: i32 age_ms
}

// A report may span several datagrams: each carries one `chunk` (from 0) of the
// `chunks` of its `round`.
struct GrantReport {
  1: string pool
  2: i64 round
  3: i32 chunk
  4: i32 chunks
  5: list<HeldGrant> held
}

struct Preemption {
  1: string request_id
  2: i64 grant_id
}

struct Demand {
  1: string item
  2: list<double> requests
}

struct Envelope {
  1: i32 protocol
  2: string sender
  3: i64 incarnation
  4: optional Membership membership
  5: optional SlotAsk ask
  6: optional SlotReply reply
  7: optional SlotReturn give_back
  8: optional GrantReport report
  9: optional Preemption preemption
  10: optional list<Demand> demand
}

struct ConfigurationPart {
  1: string name
  2: string text
  3: string digest
}

struct FetchedConfiguration {
  1: bool newer
  2: string head
  3: list<ConfigurationPart> parts
  4: string placement
}

service ConfigPeer {
  // Returns only the placement unless the peer's version is newer than
  // `known_version`.
  FetchedConfiguration Fetch(1: i64 known_version)
}
