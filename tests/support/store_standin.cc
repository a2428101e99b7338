#include "support/store_standin.h"

#include <algorithm>
#include <utility>

#include "support/store_target.h"

namespace coltsfootvane::testing {
namespace {

using Json = nlohmann::json;
using StreamPtr = std::shared_ptr<net::TcpStream>;

/// Between two looks at watches whose time may be over.
constexpr Milliseconds kPollInterval{10};
constexpr int kBadRequest = 400;

std::string OperationOf(const std::string& method, const StoreTarget& target) {
  if (method != "GET")
    return method == "POST" ? "create" : "replace";
  if (!target.name.empty())
    return "read";
  if (target.query.count("watch") > 0)
    return "watch";
  return target.query.count("after") > 0 ? "list page" : "list";
}

/// Returns an object as JSON text. The spec is inserted as it is, since it need
/// not be readable.
std::string ObjectText(const std::string& name,
                       std::int64_t revision,
                       const std::string& spec) {
  const Json metadata = {{"name", name},
                         {"revision", revision},
                         {"created", 1},
                         {"finalizers", Json::array()},
                         {"deleting", false}};
  return R"({"metadata":)" + metadata.dump() + R"(,"spec":)" + spec +
         R"(,"status":null})";
}

/// Returns `{"NAME":[ITEM,...],MORE}`.
std::string ListText(const char* name,
                     const std::vector<std::string>& items,
                     const std::string& more) {
  std::string text = std::string("{\"") + name + "\":[";
  for (const std::string& item : items) {
    if (&item != &items.front())
      text += ",";
    text += item;
  }
  return text + "]," + more + "}";
}

std::string EventText(const std::string& name,
                      std::int64_t revision,
                      const std::string& spec,
                      bool deleted) {
  return R"({"object":)" + ObjectText(name, revision, spec) + R"(,"deleted":)" +
         (deleted ? "true}" : "false}");
}

std::string RevisionText(std::int64_t revision) {
  return "\"at\":" + std::to_string(revision);
}

}  // namespace

StoreStandin::StoreStandin(boost::asio::io_context* io, const std::string& host)
    : server(io,
             host,
             [this](const ReceivedRequest& request, const StreamPtr& stream) {
               this->OnRequest(request, stream);
             }),
      poll(*io) {
  this->PollWatches();
}

void StoreStandin::Answer(const StreamPtr& stream,
                          int status,
                          const std::string& json) const {
  net::Fields fields;
  if (!json.empty())
    fields.push_back({"Content-Type", "application/json"});
  const std::string stated =
      this->stated_era ? *this->stated_era : std::to_string(this->era);
  if (!stated.empty())
    fields.push_back({"Store-Era", stated});
  Reply(stream, status, json, fields);
}

void StoreStandin::Put(const std::string& kind,
                       const std::string& name,
                       const Json& spec) {
  this->PutText(kind, name, spec.dump());
}

void StoreStandin::PutText(const std::string& kind,
                           const std::string& name,
                           const std::string& spec) {
  this->kinds[kind][name] = {++this->revision, spec};
  this->Note(kind, name, false);
}

void StoreStandin::Remove(const std::string& kind, const std::string& name) {
  ++this->revision;
  this->Note(kind, name, true);
  this->kinds[kind].erase(name);
}

std::vector<StoreStandin::LostWrite> StoreStandin::Rewind(Milliseconds age) {
  const TimePoint copied_at = Clock::now() - age;
  const auto first_lost = std::find_if(
      this->events.begin(), this->events.end(),
      [copied_at](const Event& event) { return event.at > copied_at; });
  std::vector<LostWrite> lost;
  for (auto it = first_lost; it != this->events.end(); ++it)
    lost.push_back({it->kind, it->name, it->object.spec, it->deleted});
  this->events.erase(first_lost, this->events.end());
  this->revision =
      this->events.empty() ? kFirstRevision : this->events.back().revision;
  for (auto& [kind, objects] : this->kinds)
    objects = this->ObjectsAt(kind, this->revision);
  ++this->era;
  for (const Waiting& watch : std::exchange(this->waiting, {}))
    watch.stream->Close();
  return lost;
}

void StoreStandin::WriteAgain(const LostWrite& lost) {
  if (!lost.deleted)
    this->PutText(lost.kind, lost.name, lost.spec);
  else if (this->kinds[lost.kind].count(lost.name) > 0)
    this->Remove(lost.kind, lost.name);
}

void StoreStandin::DropWatches(const std::set<StreamPtr>& connections) {
  const auto dropped =
      std::remove_if(this->waiting.begin(), this->waiting.end(),
                     [&connections](const Waiting& watch) {
                       return connections.count(watch.stream) > 0;
                     });
  this->waiting.erase(dropped, this->waiting.end());
}

Json StoreStandin::Get(const std::string& kind, const std::string& name) const {
  const auto found = this->kinds.find(kind);
  if (found == this->kinds.end() || found->second.count(name) == 0)
    return nullptr;
  return Json::parse(found->second.at(name).spec, nullptr, false);
}

void StoreStandin::Note(const std::string& kind,
                        const std::string& name,
                        bool deleted) {
  this->events.push_back({this->revision, kind, name, this->kinds[kind][name],
                          deleted, Clock::now()});
  this->AnswerWatches();
}

std::int64_t StoreStandin::VisibleRevision(bool stale) const {
  if (!stale || this->faults.stale_by == Milliseconds(0))
    return this->revision;
  const TimePoint shown = Clock::now() - this->faults.stale_by;
  std::int64_t visible = kFirstRevision;
  for (const Event& event : this->events) {
    if (event.at <= shown)
      visible = event.revision;
  }
  return visible;
}

std::map<std::string, StoreStandin::Object> StoreStandin::ObjectsAt(
    const std::string& kind,
    std::int64_t shown) const {
  std::map<std::string, Object> objects;
  for (const Event& event : this->events) {
    if (event.kind != kind || event.revision > shown)
      continue;
    if (event.deleted)
      objects.erase(event.name);
    else
      objects[event.name] = event.object;
  }
  return objects;
}

void StoreStandin::AnswerWatches() {
  const auto answered = std::remove_if(
      this->waiting.begin(), this->waiting.end(),
      [this](const Waiting& watch) { return this->AnswerWatch(watch); });
  this->waiting.erase(answered, this->waiting.end());
}

void StoreStandin::PollWatches() {
  this->AnswerWatches();
  this->poll.expires_after(kPollInterval);
  this->poll.async_wait([this](const boost::system::error_code& ec) {
    if (!ec)
      this->PollWatches();
  });
}

bool StoreStandin::AnswerWatch(const Waiting& watch) {
  const std::int64_t visible = this->VisibleRevision(watch.stale);
  std::vector<std::string> found;
  for (const Event& event : this->events) {
    if (event.kind == watch.kind && event.revision > watch.revision &&
        event.revision <= visible)
      found.push_back(EventText(event.name, event.object.revision,
                                event.object.spec, event.deleted));
  }
  if (this->faults.away) {
    watch.stream->Close();
    return true;
  }
  if (found.empty() && Clock::now() < watch.until)
    return false;
  if (!this->faults.unavailable && !this->faults.silent &&
      !this->faults.loses_watches)
    this->Answer(watch.stream, 200,
                 ListText("events", found,
                          RevisionText(std::max(visible, watch.revision))));
  return true;
}

void StoreStandin::OnRequest(const ReceivedRequest& request,
                             const StreamPtr& stream) {
  ++this->calls;
  const Result<StoreTarget> read = ReadStoreTarget(request.head.target);
  if (!read) {
    ++this->refused_targets;
    this->Answer(stream, kBadRequest, "");
    return;
  }
  const StoreTarget& target = read.value();
  this->call_log.push_back(
      {Clock::now(), OperationOf(request.head.method, target), target.kind});
  if (this->faults.silent)
    return;
  if (this->faults.away) {
    stream->Close();
    return;
  }
  const bool is_later_page = target.query.count("after") > 0;
  if (this->faults.unavailable ||
      (this->faults.refuses_pages && is_later_page)) {
    this->Answer(stream, 503, "");
    return;
  }
  if (request.head.method == "GET") {
    this->OnGet(target.kind, target.name, target.query, stream);
    return;
  }
  this->OnWrite(request.head.method, target.kind, target.name,
                Json::parse(request.body, nullptr, false), stream);
}

void StoreStandin::OnGet(const std::string& kind,
                         const std::string& name,
                         const std::map<std::string, std::string>& query,
                         const StreamPtr& stream) {
  const bool stale = query.count("serializable") != 0;
  const std::int64_t shown = this->VisibleRevision(stale);
  const auto objects = this->ObjectsAt(kind, shown);
  if (!name.empty()) {
    const auto found = objects.find(name);
    if (found == objects.end())
      this->Answer(stream, 404, "");
    else
      this->Answer(
          stream, 200,
          ObjectText(name, found->second.revision, found->second.spec));
    return;
  }
  const auto watch = query.find("watch");
  if (watch != query.end()) {
    const std::int64_t from = std::stoll(watch->second);
    // Revisions that were lost are not known.
    const bool is_ahead = from > this->revision;
    if (std::exchange(this->faults.history_gone, false) || is_ahead) {
      this->Answer(stream, 410, "");
      return;
    }
    Waiting waiting_watch{kind, from, stale, {}, stream};
    const auto wait = query.find("waitMs");
    waiting_watch.until =
        Clock::now() +
        Milliseconds(wait == query.end() ? 0 : std::stoll(wait->second));
    if (!this->AnswerWatch(waiting_watch))
      this->waiting.push_back(waiting_watch);
    return;
  }
  const auto after = query.find("after");
  std::vector<std::string> items;
  bool more = false;
  for (const auto& [object_name, object] : objects) {
    if (after != query.end() && object_name <= after->second)
      continue;
    more = items.size() == this->page_size;
    if (more)
      break;
    items.push_back(ObjectText(object_name, object.revision, object.spec));
  }
  this->Answer(
      stream, 200,
      ListText("items", items,
               std::string("\"hasMore\":") + (more ? "true" : "false") + "," +
                   RevisionText(shown)));
}

void StoreStandin::OnWrite(const std::string& method,
                           const std::string& kind,
                           const std::string& path_name,
                           const Json& object,
                           const StreamPtr& stream) {
  const Json& metadata = object.at("metadata");
  const std::string name = metadata.at("name").get<std::string>();
  if (method == "PUT" && name != path_name) {
    this->Answer(stream, kBadRequest, "");
    return;
  }
  auto& objects = this->kinds[kind];
  const auto found = objects.find(name);
  const bool exists = found != objects.end();
  if (method == "PUT" && !exists) {
    this->Answer(stream, 404, "");
    return;
  }
  const bool conflict =
      method == "POST" ? exists
                       : metadata.contains("revision") &&
                             metadata["revision"] != found->second.revision;
  if (conflict) {
    this->Answer(stream, 409,
                 ObjectText(name, found->second.revision, found->second.spec));
    return;
  }
  this->Put(kind, name, object.at("spec"));
  if (this->faults.loses_answers) {
    stream->Close();
    return;
  }
  const Object& written = this->kinds[kind][name];
  this->Answer(stream, 200, ObjectText(name, written.revision, written.spec));
}

}  // namespace coltsfootvane::testing
