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
  // Of the store, as in StoreBatch; all revisions of the report are of this
  // era, and are 0 if the sender knows none of it.
  16: optional i64 era
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

// Asks the load tracker of an endpoint for the work of all other daemons there.
struct LoadQuery {
  1: i64 number
  2: i32 endpoint
}

// Counts are 0 if not set.
struct LoadAnswer {
  1: i64 number
  2: i32 tracked_ms  // How long the sender has tracked the endpoint.
  3: optional i32 running
  4: optional i32 prompt_tokens
  5: optional i32 yielding
  6: optional i32 yielding_tokens
  // Requests that the endpoint takes, as learned from refusals.
  7: optional i32 limit
}

// The sender's own work at an endpoint, for its load tracker: absolute figures.
struct WorkUpdate {
  1: i32 endpoint
  2: i32 process  // Differs between processes of a daemon.
  3: i64 sequence
  4: optional i32 running
  5: optional i32 prompt_tokens
  6: optional i32 yielding
  7: optional i32 yielding_tokens
  8: optional bool refused  // The endpoint has just refused a request.
}

// An endpoint's entry as far as daemons use it.
struct EndpointModel {
  1: string name
  2: list<string> adapters
}

struct EndpointFields {
  1: string service_name
  2: string host
  3: i32 port
  4: string data_centre
  5: i32 slots
  6: bool draining
  7: i64 incarnation
  8: list<EndpointModel> models
  9: list<string> cached_in_memory
  10: list<string> cached_on_disk
}

// A change of an endpoint's entry. Without an entry the endpoint is not usable:
// it was deleted, or its entry cannot be read.
struct EndpointNews {
  1: string id
  2: i64 revision  // Of the change; 0 if not known.
  3: bool deleted
  4: optional EndpointFields fields
  // The entry does not fit into a datagram.
  5: optional bool left_out
}

// All changes of endpoints in the store after `from_revision`, up to
// `to_revision`. They lead from the state at any revision from `from_revision`
// to `base_until`.
struct StoreBatch {
  1: i64 from_revision
  2: i64 base_until
  3: i64 to_revision
  4: list<EndpointNews> changes
  // A store that comes back from an older copy begins a new era, in which it
  // gives revisions out again. Not set if it is 0.
  5: optional i64 era
  // Of from_revision and base_until, if it is another.
  6: optional i64 from_era
}

// Sent by the daemon that reads the store for the others, through relays, and in
// answer to StoreNewsRequest.
struct StoreNews {
  1: list<StoreBatch> batches
  2: list<i32> relay_to  // IPv4 addresses that the receiver passes it on to.
  3: i32 origin  // Of the first sender.
  // The sender's log does not reach back to the revision asked for.
  4: optional bool too_old
}

struct StoreNewsRequest {
  1: i64 revision  // Up to which the sender knows all changes.
  2: optional i64 era
}

// A process of an endpoint that has left.
struct Departure {
  1: string id
  2: i64 incarnation
  3: bool removed  // Without having said that it leaves.
  4: i64 revision  // Of the change that showed it.
  5: optional i64 era  // Not set if it is 0.
  6: i32 remaining_ms  // For which it is still remembered.
}

// In answer to a daemon that has started since.
struct Departures {
  1: list<Departure> left
}

// One setting of a configuration, as JSON text. Without one it is removed.
struct ConfigItem {
  1: string key
  2: optional string text
}

// A part of a change that leads from one configuration to a newer one. Long ones
// have several; each is sent compressed.
struct ConfigPart {
  1: i64 revision
  2: optional i64 era
  // Without a base, all items of the configuration follow.
  3: optional i64 base_revision
  4: optional i64 base_era
  5: list<ConfigItem> items
  6: i64 digest  // Of the whole newer configuration.
  7: bool is_last
}

// A new configuration. Without the change it is fetched from `source`.
struct ConfigNews {
  1: i64 revision
  2: i64 base_revision  // Of the configuration that the change is from.
  3: i64 digest  // Not used any more.
  4: optional string patch  // Sent by earlier versions of the program.
  5: list<i32> relay_to
  6: i32 source
  7: optional i64 era
  8: optional i64 base_era  // Of base_revision, if it is another.
  9: optional binary change  // A frame with the only ConfigPart.
}

union Datagram {
  1: Report report
  2: Placement placement
  3: AdapterRequest adapter_request
  4: AdapterReply adapter_reply
  5: Suspects suspects
  6: QuotaRequest quota_request
  7: QuotaReply quota_reply
  10: LoadQuery load_query
  11: LoadAnswer load_answer
  12: WorkUpdate work_update
  15: StoreNews store_news
  16: StoreNewsRequest store_news_request
  17: ConfigNews config_news
}
