#include "settings/settings.h"

#include <algorithm>
#include <fstream>
#include <functional>
#include <sstream>

#include "config/yaml_reader.h"

namespace coltsfootvane {
namespace {

constexpr auto kRequired = Presence::kRequired;
constexpr auto kOptional = Presence::kOptional;

constexpr Choice<DispatchMode> kDispatchModes[] = {
    {"granted", DispatchMode::kGranted},
    {"naive", DispatchMode::kNaive}};

/// Reads the mapping under `key` with `read`. An absent required section is
/// a finding; an absent optional one keeps its defaults.
void ReadSection(MapReader* root,
                 std::string_view key,
                 Presence presence,
                 const std::function<void(MapReader*)>& read) {
  const YAML::Node* node = root->Find(key, presence);
  if (node == nullptr)
    return;
  MapReader section(root->Source(), *node);
  read(&section);
  section.ReportUnknownKeys();
}

void ReadEntry(MapReader* map, Settings* settings) {
  ReadAddress(map, "listen", kRequired, &settings->entry_listen);
  ReadInteger(map, "threads", kOptional, {2, 4096}, &settings->entry_threads);
  ReadInteger(map, "refusal_threads", kOptional, {1, 1024},
              &settings->entry_refusal_threads);
  ReadInteger(map, "max_body_bytes", kOptional, {1024, 64LL * 1024 * 1024},
              &settings->entry_max_body_bytes);
  if (settings->entry_refusal_threads >= settings->entry_threads)
    AddFinding(map->Source().findings, map->PlaceOfKey("refusal_threads"),
               "'refusal_threads' must be below 'threads'");
}

void ReadPeer(MapReader* map, Settings* settings) {
  ReadAddress(map, "listen", kRequired, &settings->peer_listen);
  ReadList(map, "first_peers", [map, settings](const YAML::Node& item) {
    const auto address = AddressOf(*map, "first_peers", item);
    if (!address)
      return;
    const auto& peers = settings->first_peers;
    const bool duplicate = std::any_of(
        peers.begin(), peers.end(), [&address](const http::Address& peer) {
          return peer.host == address->host && peer.port == address->port;
        });
    if (duplicate)
      map->Report(item, "first peer " + http::FormatAddress(*address) +
                            " is listed twice");
    else
      settings->first_peers.push_back(*address);
  });
}

void ReadPlatform(MapReader* map, Settings* settings) {
  ReadAddress(map, "address", kRequired, &settings->platform);
  ReadInteger(map, "call_timeout_ms", kOptional, {10, 60000},
              &settings->platform_call_timeout_ms);
  ReadNumber(map, "calls_per_s", kOptional, {0.1, 1000},
             &settings->platform_calls_per_s);
}

void ReadShutdown(MapReader* map, Settings* settings) {
  ReadInteger(map, "balancer_grace_ms", kOptional, {0, 600000},
              &settings->balancer_grace_ms);
  ReadInteger(map, "stop_timeout_ms", kOptional, {100, 3600000},
              &settings->stop_timeout_ms);
}

void ReadRecords(MapReader* map, Settings* settings) {
  constexpr int kSecondsPerHour = 3600;
  constexpr int kMaxHours = 24 * 366;
  constexpr int kMaxSeconds = kMaxHours * kSecondsPerHour;
  const bool in_hours = map->Find("keep_hours", kOptional) != nullptr;
  const bool in_seconds = map->Find("keep_seconds", kOptional) != nullptr;
  int hours = settings->records_keep_s / kSecondsPerHour;
  ReadInteger(map, "keep_hours", kOptional, {1, kMaxHours}, &hours);
  settings->records_keep_s = hours * kSecondsPerHour;
  ReadInteger(map, "keep_seconds", kOptional, {1, kMaxSeconds},
              &settings->records_keep_s);
  if (in_hours && in_seconds)
    AddFinding(map->Source().findings, map->PlaceOfKey("keep_seconds"),
               "'keep_seconds' and 'keep_hours' exclude each other");
}

void ReadLimits(MapReader* map, Settings* settings) {
  ReadInteger(map, "memory_mb", kOptional, {64, 64LL * 1024 * 1024},
              &settings->memory_mb);
  ReadInteger(map, "max_fds", kOptional, {256, 1024LL * 1024},
              &settings->max_fds);
}

void ReadSections(MapReader* root, Settings* settings) {
  ReadSection(root, "entry", kRequired,
              [settings](MapReader* map) { ReadEntry(map, settings); });
  ReadSection(root, "admin", kRequired, [settings](MapReader* map) {
    ReadAddress(map, "listen", kRequired, &settings->admin_listen);
    ReadInteger(map, "threads", kOptional, {2, 1024}, &settings->admin_threads);
  });
  ReadSection(root, "peer", kRequired,
              [settings](MapReader* map) { ReadPeer(map, settings); });
  ReadSection(root, "platform", kRequired,
              [settings](MapReader* map) { ReadPlatform(map, settings); });
  ReadSection(root, "shutdown", kOptional,
              [settings](MapReader* map) { ReadShutdown(map, settings); });
  ReadSection(root, "records", kOptional,
              [settings](MapReader* map) { ReadRecords(map, settings); });
  ReadSection(root, "dispatch", kOptional, [settings](MapReader* map) {
    ReadChoice<DispatchMode>(map, "mode", kOptional, kDispatchModes,
                             &settings->dispatch_mode);
  });
  ReadSection(root, "limits", kOptional,
              [settings](MapReader* map) { ReadLimits(map, settings); });
}

/// All three listeners use TCP, so no two may share an address.
void CheckListeners(const MapReader& root, const Settings& settings) {
  struct Listener {
    const char* section;
    const http::Address* address;
  };
  const Listener listeners[] = {{"entry", &settings.entry_listen},
                                {"admin", &settings.admin_listen},
                                {"peer", &settings.peer_listen}};
  for (std::size_t i = 0; i < 3; ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      const http::Address& first = *listeners[j].address;
      const http::Address& second = *listeners[i].address;
      const bool same_host = first.host == second.host ||
                             first.host == "0.0.0.0" ||
                             second.host == "0.0.0.0";
      if (first.port != 0 && first.port == second.port && same_host)
        AddFinding(root.Source().findings,
                   root.PlaceOfKey(listeners[i].section),
                   std::string(listeners[i].section) +
                       ".listen uses the same port as " + listeners[j].section +
                       ".listen");
    }
  }
}

}  // namespace

Settings ParseSettings(std::string_view file_name,
                       std::string_view text,
                       Findings* findings) {
  Settings settings;
  const YamlSource source{std::string(file_name), findings};
  const std::optional<YAML::Node> document = LoadYaml(source, text);
  if (!document)
    return settings;
  MapReader root(source, *document);
  ReadName(&root, "daemon_id", kRequired, &settings.daemon_id);
  ReadName(&root, "data_centre", kRequired, &settings.data_centre);
  ReadName(&root, "region", kRequired, &settings.region);
  ReadSections(&root, &settings);
  root.ReportUnknownKeys();
  CheckListeners(root, settings);
  SortFindings(findings);
  return settings;
}

Settings ReadSettings(const std::string& path, Findings* findings) {
  std::ifstream file(path, std::ios::binary);
  std::ostringstream text;
  if (file)
    text << file.rdbuf();
  if (!file) {
    AddFinding(findings, Place{path}, "cannot be read");
    return {};
  }
  return ParseSettings(path, text.str(), findings);
}

}  // namespace coltsfootvane
