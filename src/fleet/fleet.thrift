namespace cpp coltsfootvane.fleet.gen

// Datagrams between the daemons of a deployment. Models, adapters and endpoints
// are identified by 32-bit hashes of their names to keep datagrams short. Times
// are durations, since the clocks of VMs are not synchronized.

struct EndpointWork {
  1: i32 endpoint
  2: i32 running
  // 0 if not set, as for the counts.
  3: optional i32 prompt_tokens
  4: optional i16 good  // Counts of recent results, decaying with time.
  5: optional i16 bad
  // Requests that engines interrupt for others, and their prompt tokens.
  6: optional i16 yielding
  7: optional i32 yielding_tokens
}

struct ModelDemand {
  1: i32 model
  2: i32 ms_per_s
}

// Use of a team, stated by the owner of its token bucket.
struct TeamUse {
  1: i32 team  // Hash of the name.
  2: i32 units_per_s
}

// Sent periodically to all known daemons. Work and demand that a report does not
// list are as in the earlier reports of the same incarnation, unless it lists
// all work.
struct Report {
  1: i64 incarnation
  2: i64 sequence
  3: bool leaving
  4: i64 config_version
  5: i64 lease_epoch  // 0 if the sender is not the lease holder.
  6: list<EndpointWork> work
  7: list<ModelDemand> demand
  // IPv4 addresses, in the answer to the first report of a daemon.
  8: optional list<i32> members
  9: i64 config_revision  // Store revision of the latest configuration.
  10: i64 endpoints_revision  // Store revision of the last endpoint departure.
  11: bool store_reachable
  12: optional bool lists_all_work
  // The sender's view of the store held all configurations and departures that
  // were acknowledged this long ago; not set if that is not known.
  13: optional i32 confirmed_age_ms
  // None of these departures has a higher store revision.
  14: optional i64 max_departure_revision
  15: optional list<TeamUse> team_use
}

// Sent by the lease holder.
struct EnginePlacement {
  1: i32 endpoint
  2: list<i32> retiring  // Models that are about to be unloaded.
  3: list<i32> adapters  // Adapters that are ready for requests.
}

struct Placement {
  1: i64 lease_epoch
  2: i64 sequence
  3: list<EnginePlacement> engines
}

struct AdapterRequest {
  1: i64 number
  2: string service_name
  3: string model
  4: string adapter
}

struct AdapterReply {
  1: i64 number
  2: bool ready
  3: i32 endpoint
}

// A crash of an endpoint during which requests with a part had no answer yet.
struct CrashInvolvement {
  1: i32 crash  // Identifies the process of the endpoint that ended.
  2: i32 age_ms
  3: bool answering
  4: bool cleared
}

struct SuspectPart {
  1: i64 part
  2: bool answered_before
  3: list<CrashInvolvement> involvements
}

// What the sender vouches for about parts of prompts that may crash endpoints:
// what it has seen itself and, of quarantined parts, what it believes.
struct Suspects {
  1: list<SuspectPart> parts
}

// Asks the owner of a team's token bucket for permission to send a request.
struct QuotaRequest {
  1: i64 number
  2: i32 team  // Hash of the name; 0 for a probe, which only asks for a reply.
  3: optional double per_second
  4: optional double burst
  5: optional i64 version  // Of the configuration that states this limit.
  6: optional double units
  // Units spent without permission, less those returned.
  7: optional double settled
  8: optional i16 rank
  // The level that an owner last stated, and its age.
  9: optional double level
  10: optional i32 level_age_ms
}

struct QuotaReply {
  1: i64 number
  2: i16 verdict  // 0 granted, 1 refused, 2 not an owner now.
  3: i16 known_daemons
  4: optional double level
  5: optional i32 retry_after_ms
  6: optional i32 better_owner  // IPv4 address.
}

union Datagram {
  1: Report report
  2: Placement placement
  3: AdapterRequest adapter_request
  4: AdapterReply adapter_reply
  5: Suspects suspects
  6: QuotaRequest quota_request
  7: QuotaReply quota_reply
}
