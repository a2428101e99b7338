#include <algorithm>
#include <utility>

#include "drill_site.h"

namespace coltsfootvane::testing {
namespace {

using Json = nlohmann::json;
using StreamPtr = std::shared_ptr<net::TcpStream>;

/// Added to a bound for the way of a request.
constexpr Milliseconds kSlack{100};
constexpr std::size_t kMaxFindings = 20;

}  // namespace

void DrillSite::SendCalls() {
  for (int i = 0; i < static_cast<int>(this->daemons.size()); ++i) {
    this->Send(i, this->version);
    this->Send(i, std::max(1, this->version - 1));
  }
  this->SendToEngine(this->last_call % static_cast<int>(this->daemons.size()));
}

void DrillSite::Send(int number, int route_version) {
  const auto daemon = static_cast<std::size_t>(number);
  if (route_version == 0 || !this->daemons[daemon]->process->IsRunning())
    return;
  net::RequestHead head;
  head.method = "POST";
  head.target = RoutePath(route_version) + "x";
  head.fields = {{"Request-Id", std::to_string(number) + "-" +
                                    std::to_string(++this->last_call)},
                 {"Deadline-Ms", "4000"},
                 {"Host", "h"}};
  ++this->tally.calls;
  const TimePoint sent = Clock::now();
  const int lifetime = this->starts[daemon];
  const bool was_served = this->served[daemon] >= route_version;
  GatewayProcess& process = *this->daemons[daemon];
  process.client.Call(
      process.Callers(), std::move(head), {}, Milliseconds(6000),
      net::ConnectionUse::kKept,
      [this, daemon, route_version, sent, lifetime,
       was_served](const Result<net::WholeResponse>& response) {
        if (!response || lifetime != this->starts[daemon])
          return;
        const bool is_bound =
            !this->cut[daemon] && sent > this->disturbed_until[daemon];
        const int status = response.value().head.status;
        if (status == 200) {
          ++this->tally.routed;
          this->served[daemon] = std::max(this->served[daemon], route_version);
        }
        if (status != 404)
          return;
        const std::string text = "version " + std::to_string(route_version) +
                                 " refused by vm-" + std::to_string(daemon);
        if (was_served)
          this->Find(&this->tally.regressions, static_cast<int>(daemon),
                     text + ", which had served it");
        const TimePoint acked = this->acked_at[route_version];
        // A new process knows what the store has.
        const bool lacks_it =
            this->away && this->started_at[daemon] > this->away_since;
        if (is_bound && !lacks_it && acked != TimePoint::max() &&
            sent > acked + kChangeLimit)
          this->Find(&this->tally.late_refusals, static_cast<int>(daemon),
                     text + ", ms after its ack: " +
                         std::to_string(TimeLeft(sent, acked).count()));
      });
}

void DrillSite::SendToEngine(int number) {
  const auto daemon = static_cast<std::size_t>(number);
  if (!this->daemons[daemon]->process->IsRunning())
    return;
  const std::string id = std::to_string(++this->last_call);
  const std::string adapter =
      std::to_string(1 + this->random() % static_cast<unsigned>(kAdapters));
  net::RequestHead head;
  head.method = "POST";
  head.target = "/chat/x";
  head.fields = {{"Request-Id", "id" + id},
                 {"Deadline-Ms", "4000"},
                 {"Host", "h"},
                 {"Model", "m/a" + adapter},
                 {"Token-Usage", "100,50"},
                 {"Prompt-Prefix", "f1:50,a" + id + ":10"}};
  GatewayProcess& process = *this->daemons[daemon];
  process.client.Call(process.Callers(), std::move(head), {},
                      Milliseconds(6000), net::ConnectionUse::kKept,
                      [](const Result<net::WholeResponse>&) {});
}

void DrillSite::OnArrival(const std::string& replica,
                          const ReceivedRequest& request) {
  const auto left = this->left_at.find(replica);
  if (left == this->left_at.end())
    return;
  const std::string id(net::FieldValue(request.head.fields, "Request-Id"));
  const auto daemon = static_cast<std::size_t>(std::stoi(id));
  // A process that was started since knows what the store has.
  const bool started_since = this->started_at[daemon] > left->second;
  const TimePoint known_at =
      started_since ? this->last_ack[replica] : left->second;
  const TimePoint now = Clock::now();
  if (known_at == TimePoint::max() || now <= known_at + kChangeLimit + kSlack ||
      this->cut[daemon] || now <= this->disturbed_until[daemon])
    return;
  this->Find(&this->tally.late_arrivals, static_cast<int>(daemon),
             replica + " reached by vm-" + std::to_string(daemon) +
                 (started_since ? " (started since)" : "") +
                 ", ms after its leaving: " +
                 std::to_string(TimeLeft(now, left->second).count()));
}

void DrillSite::Find(int* count, int daemon, const std::string& text) {
  ++*count;
  ++this->tally.broken_by[daemon];
  if (this->tally.findings.size() < kMaxFindings)
    this->tally.findings.push_back(text);
}

void DrillSite::AddEngine(const std::string& id) {
  Engine& engine = this->engines[id];
  engine.server = std::make_unique<LoopbackServer>(
      &this->io, this->host,
      [this, &engine](const ReceivedRequest& request, const StreamPtr& stream) {
        this->OnEngineRequest(&engine, request, stream);
      });
}

void DrillSite::OnEngineRequest(Engine* engine,
                                const ReceivedRequest& request,
                                const StreamPtr& stream) {
  if (request.head.target == "/report") {
    const Json model = {
        {"name", "m"}, {"version", 1}, {"adapters", engine->adapters}};
    const Json report = {{"phase", "unified"}, {"models", {model}},
                         {"busy", false},      {"sequence", engine->sequence},
                         {"queued", 0},        {"active", 0}};
    Reply(stream, 200, report.dump());
    return;
  }
  if (request.head.target == "/order") {
    this->OnOrder(engine, Json::parse(request.body), stream);
    return;
  }
  net::Fields fields = AnswerFields(request);
  fields.push_back({"Content-Type", "text/event-stream"});
  Reply(stream, 200, "id: 1\ndata: a\n\n", fields);
}

void DrillSite::OnOrder(Engine* engine,
                        const Json& order,
                        const StreamPtr& stream) {
  const auto token = order.value("fencingToken", std::int64_t{0});
  if (token < engine->highest_token) {
    ++this->tally.fenced;
    Reply(stream, 412, "");
    return;
  }
  engine->highest_token = token;
  if (order.value("expected", engine->sequence) != engine->sequence) {
    Reply(stream, 409, "");
    return;
  }
  ++engine->sequence;
  ++this->tally.orders;
  if (order.contains("adapter"))
    engine->adapters.push_back(order["adapter"]);
  this->last_holder = order.value("leaseHolder", "");
  std::set<std::string>& named = this->holders[token];
  named.insert(this->last_holder);
  if (named.size() > 1)
    this->Find(&this->tally.shared_tokens, -1,
               "token " + std::to_string(token) + " of " +
                   std::to_string(named.size()) + " holders, the last " +
                   this->last_holder);
  Reply(stream, 202, "");
}

}  // namespace coltsfootvane::testing
