#include "store.h"

#include <cstdlib>
#include <thread>
#include <utility>

namespace review {
namespace {

using Json = nlohmann::json;

struct Target {
  std::string kind;
  std::string name;
  std::map<std::string, std::string> query;
};

/// Reads `/objects/KIND[/NAME][?a=b&c=d]`.
Target ReadTarget(const std::string& text) {
  Target target;
  const std::size_t question = text.find('?');
  const std::string path = text.substr(0, question);
  const std::size_t kind = std::string("/objects/").size();
  const std::size_t slash = path.find('/', kind);
  target.kind = path.substr(kind, slash - kind);
  if (slash != std::string::npos)
    target.name = path.substr(slash + 1);
  std::string query =
      question == std::string::npos ? "" : text.substr(question + 1);
  while (!query.empty()) {
    const std::size_t end = query.find('&');
    const std::string pair = query.substr(0, end);
    const std::size_t equals = pair.find('=');
    target.query[pair.substr(0, equals)] = pair.substr(equals + 1);
    query.erase(0, end == std::string::npos ? query.size() : end + 1);
  }
  return target;
}

std::string JsonAnswer(int status, const Json& json) {
  return FormatAnswer(status, json.dump(),
                      "Content-Type: application/json\r\n");
}

}  // namespace

void Store::Start(int port) {
  const int listening = Listen(port);
  std::thread([this, listening] {
    Serve(listening, [this](const Request& request, int descriptor) {
      return this->OnRequest(request, descriptor);
    });
  }).detach();
}

Json Store::ToJson(const std::string& name, const Object& object) {
  return {{"metadata",
           {{"name", name},
            {"revision", object.revision},
            {"created", 1},
            {"finalizers", Json::array()},
            {"deleting", false}}},
          {"spec", object.spec},
          {"status", nullptr}};
}

void Store::Put(const std::string& kind,
                const std::string& name,
                const Json& spec) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  Object& object = this->kinds[kind][name];
  if (object.revision != 0 && object.spec == spec)
    return;
  object.spec = spec;
  this->Record(kind, name, false);
}

void Store::Remove(const std::string& kind, const std::string& name) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  if (this->kinds[kind].count(name) == 0)
    return;
  this->Record(kind, name, true);
  this->kinds[kind].erase(name);
}

Json Store::Get(const std::string& kind, const std::string& name) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto& objects = this->kinds[kind];
  const auto found = objects.find(name);
  return found == objects.end() ? Json() : found->second.spec;
}

/// Numbers the change and tells those who watch.
void Store::Record(const std::string& kind,
                   const std::string& name,
                   bool deleted) {
  Object& object = this->kinds[kind][name];
  object.revision = ++this->revision;
  this->events.push_back(
      {this->revision, kind,
       Json{{"object", ToJson(name, object)}, {"deleted", deleted}}});
  this->changed.notify_all();
}

bool Store::OnRequest(const Request& request, int descriptor) {
  const Target target = ReadTarget(request.target);
  const std::string answer =
      request.method == "GET"
          ? this->OnRead(target.kind, target.name, target.query)
          : this->OnWrite(request, target.kind, target.name);
  return Write(descriptor, answer);
}

std::string Store::OnRead(const std::string& kind,
                          const std::string& name,
                          const std::map<std::string, std::string>& query) {
  const auto watch = query.find("watch");
  if (watch != query.end())
    return this->Watch(kind, std::atoll(watch->second.c_str()),
                       Milliseconds(std::atoll(query.at("waitMs").c_str())));
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto& objects = this->kinds[kind];
  if (!name.empty()) {
    const auto found = objects.find(name);
    return found == objects.end()
               ? JsonAnswer(404, Json::object())
               : JsonAnswer(200, ToJson(name, found->second));
  }
  Json items = Json::array();
  for (const auto& [item, object] : objects)
    items.push_back(ToJson(item, object));
  return JsonAnswer(
      200, {{"items", items}, {"hasMore", false}, {"at", this->revision}});
}

std::string Store::Watch(const std::string& kind,
                         std::int64_t from,
                         Milliseconds wait) {
  const TimePoint until = Clock::now() + wait;
  std::unique_lock<std::mutex> lock(this->mutex);
  Json found = Json::array();
  while (true) {
    for (const Event& event : this->events) {
      if (event.kind == kind && event.revision > from)
        found.push_back(event.content);
    }
    if (!found.empty() || Clock::now() >= until)
      break;
    this->changed.wait_until(lock, until);
  }
  return JsonAnswer(200, {{"events", found}, {"at", this->revision}});
}

std::string Store::OnWrite(const Request& request,
                           const std::string& kind,
                           const std::string& named) {
  const Json body = Json::parse(request.body, nullptr, false);
  if (!body.is_object() || !body.contains("metadata"))
    return JsonAnswer(400, Json::object());
  const Json& metadata = body["metadata"];
  const std::string name = metadata.value("name", named);
  const std::lock_guard<std::mutex> lock(this->mutex);
  auto& objects = this->kinds[kind];
  const auto found = objects.find(name);
  const bool creates = request.method == "POST";
  if (!creates && found == objects.end())
    return JsonAnswer(404, Json::object());
  const std::int64_t expected = metadata.value("revision", std::int64_t{0});
  if (found != objects.end() &&
      (creates || (expected != 0 && expected != found->second.revision)))
    return JsonAnswer(409, ToJson(name, found->second));
  const Json spec = body.value("spec", Json());
  if (creates || found->second.spec != spec) {
    objects[name].spec = spec;
    this->Record(kind, name, false);
  }
  return JsonAnswer(200, ToJson(name, objects[name]));
}

}  // namespace review
