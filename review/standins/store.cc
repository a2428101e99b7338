#include "store.h"

#include <chrono>
#include <cstdlib>

namespace review {
namespace {

using Json = nlohmann::json;

std::string Reply(int status, const Json& body) {
  return FormatAnswer(status, {{"Content-Type", "application/json"}},
                      body.dump());
}

}  // namespace

Store::Store(const std::string& ip, int port, double stale_seconds)
    : stale_s(stale_seconds),
      server(std::make_unique<Server>(
          ip,
          port,
          [this](Connection* connection, const Message& request) {
            this->OnRequest(connection, request);
          })) {}

double Store::Put(const std::string& kind,
                  const std::string& name,
                  const Json& spec) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->Append(kind, name, spec);
  }
  this->changed.notify_all();
  return Now();
}

void Store::Remove(const std::string& kind, const std::string& name) {
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->Append(kind, name, nullptr, true);
  }
  this->changed.notify_all();
}

Json Store::Append(const std::string& kind,
                   const std::string& name,
                   const Json& spec,
                   bool deleted) {
  Event event;
  event.revision = ++this->revision;
  event.at = Now();
  event.kind = kind;
  event.deleted = deleted;
  event.object = {{"metadata",
                   {{"name", name},
                    {"revision", event.revision},
                    {"created", 1},
                    {"finalizers", Json::array()},
                    {"deleting", false}}},
                  {"spec", spec},
                  {"status", nullptr}};
  this->events.push_back(event);
  return event.object;
}

std::map<std::string, Json> Store::StateAt(const std::string& kind,
                                           double time,
                                           std::int64_t* at) const {
  std::map<std::string, Json> state;
  *at = 1;
  for (const Event& event : this->events) {
    if (event.at > time)
      break;
    *at = event.revision;
    if (event.kind != kind)
      continue;
    const auto name = event.object["metadata"]["name"].get<std::string>();
    if (event.deleted)
      state.erase(name);
    else
      state[name] = event.object;
  }
  return state;
}

Store::Query Store::ReadTarget(const std::string& target) {
  Query query;
  const std::size_t question = target.find('?');
  std::string text =
      question == std::string::npos ? "" : target.substr(question + 1);
  std::string path = target.substr(0, question);
  path.erase(0, std::string("/objects/").size());
  const std::size_t slash = path.find('/');
  query.kind = path.substr(0, slash);
  if (slash != std::string::npos)
    query.name = path.substr(slash + 1);
  while (!text.empty()) {
    const std::size_t end = text.find('&');
    const std::string pair = text.substr(0, end);
    const std::size_t equals = pair.find('=');
    query.values[pair.substr(0, equals)] = pair.substr(equals + 1);
    text.erase(0, end == std::string::npos ? text.size() : end + 1);
  }
  return query;
}

void Store::OnRequest(const Connection* connection, const Message& request) {
  const Query query = ReadTarget(request.target);
  connection->Write(request.method == "GET"
                        ? this->Get(query)
                        : this->WriteObject(query, request));
}

std::string Store::Get(const Query& query) {
  const double age = query.values.count("serializable") > 0 ? this->stale_s : 0;
  if (query.values.count("watch") > 0)
    return this->Watch(query, age);
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::int64_t at = 0;
  const auto state = this->StateAt(query.kind, Now() - age, &at);
  if (!query.name.empty()) {
    const auto found = state.find(query.name);
    return found == state.end() ? Reply(404, Json::object())
                                : Reply(200, found->second);
  }
  Json items = Json::array();
  for (const auto& [name, object] : state)
    items.push_back(object);
  return Reply(200, {{"items", items}, {"hasMore", false}, {"at", at}});
}

std::string Store::Watch(const Query& query, double cutoff_age) {
  const std::int64_t from = std::atoll(query.values.at("watch").c_str());
  const auto wait = query.values.find("waitMs");
  constexpr double kMsPerS = 1000;
  const double until =
      Now() +
      (wait == query.values.end() ? 0 : std::atof(wait->second.c_str())) /
          kMsPerS;
  std::unique_lock<std::mutex> lock(this->mutex);
  while (true) {
    Json found = Json::array();
    std::int64_t at = from;
    for (const Event& event : this->events) {
      if (event.at > Now() - cutoff_age || event.revision <= from)
        continue;
      at = event.revision;
      if (event.kind == query.kind)
        found.push_back({{"object", event.object}, {"deleted", event.deleted}});
    }
    if (!found.empty() || Now() >= until)
      return Reply(200, {{"events", found}, {"at", at}});
    constexpr std::chrono::milliseconds kPoll{5};
    this->changed.wait_for(lock, kPoll);
  }
}

std::string Store::WriteObject(const Query& query, const Message& request) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (body.is_discarded() || !body.contains("metadata"))
    return Reply(400, Json::object());
  const Json& metadata = body["metadata"];
  const std::string name = metadata.value("name", query.name);
  std::string answer;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    std::int64_t at = 0;
    const auto state = this->StateAt(query.kind, Now(), &at);
    const auto found = state.find(name);
    const bool exists = found != state.end();
    if (request.method != "POST" && !exists)
      return Reply(404, Json::object());
    const bool differs =
        exists && metadata.contains("revision") &&
        metadata["revision"] != found->second["metadata"]["revision"];
    if (request.method == "POST" ? exists : differs)
      return Reply(409, found->second);
    answer = Reply(200, this->Append(query.kind, name, body["spec"]));
  }
  this->changed.notify_all();
  return answer;
}

}  // namespace review
