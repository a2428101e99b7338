#include <nlohmann/json.hpp>

#include "placement/ledger.h"

namespace coltsfootvane {
namespace {

using Json = nlohmann::json;
using Operation = endpoint::Command::Operation;

Json FormatLoaded(const LoadedItem& loaded) {
  return {{"item", loaded.item},       {"version", loaded.version},
          {"model", loaded.model},     {"memory_mb", loaded.memory_mb},
          {"adapter", loaded.adapter}, {"ready", loaded.ready}};
}

Json FormatIntent(const Intent& intent) {
  const bool load = intent.operation == Operation::kLoad;
  return {
      {"number", intent.number},       {"operation", load ? "load" : "unload"},
      {"item", intent.item},           {"version", intent.version},
      {"model", intent.model},         {"memory_mb", intent.memory_mb},
      {"adapter", intent.adapter},     {"sender", intent.sender},
      {"sent", intent.sent},           {"fenced", intent.fenced},
      {"seen_done", intent.seen_done}, {"orphaned", intent.orphaned},
      {"last_boot", intent.last_boot}};
}

LoadedItem ParseLoaded(const Json& json) {
  LoadedItem loaded;
  loaded.item = json.at("item").get<std::string>();
  loaded.version = json.at("version").get<std::string>();
  loaded.model = json.value("model", "");
  loaded.memory_mb = json.at("memory_mb").get<std::int64_t>();
  loaded.adapter = json.value("adapter", false);
  loaded.ready = json.value("ready", false);
  return loaded;
}

Intent ParseIntent(const Json& json) {
  Intent intent;
  intent.number = json.at("number").get<std::int64_t>();
  intent.operation = json.at("operation").get<std::string>() == "unload"
                         ? Operation::kUnload
                         : Operation::kLoad;
  intent.item = json.at("item").get<std::string>();
  intent.version = json.at("version").get<std::string>();
  intent.model = json.value("model", "");
  intent.memory_mb = json.at("memory_mb").get<std::int64_t>();
  intent.adapter = json.value("adapter", false);
  intent.sender = json.at("sender").get<std::string>();
  intent.sent = json.value("sent", true);
  intent.fenced = json.value("fenced", false);
  intent.seen_done = json.value("seen_done", false);
  intent.orphaned = json.value("orphaned", false);
  intent.last_boot = json.value("last_boot", "");
  return intent;
}

}  // namespace

std::string FormatLedger(const EndpointLedger& ledger) {
  Json loaded = Json::array();
  for (const LoadedItem& item : ledger.loaded)
    loaded.push_back(FormatLoaded(item));
  Json intents = Json::array();
  for (const Intent& intent : ledger.intents)
    intents.push_back(FormatIntent(intent));
  const Json json = {{"epoch", ledger.epoch},
                     {"sequence", ledger.sequence},
                     {"boot_id", ledger.boot_id},
                     {"loaded", std::move(loaded)},
                     {"intents", std::move(intents)}};
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Result<EndpointLedger> ParseLedger(std::string_view text) {
  try {
    const Json json = Json::parse(text);
    EndpointLedger ledger;
    ledger.epoch = json.at("epoch").get<std::int64_t>();
    ledger.sequence = json.at("sequence").get<std::int64_t>();
    ledger.boot_id = json.at("boot_id").get<std::string>();
    for (const Json& item : json.at("loaded"))
      ledger.loaded.push_back(ParseLoaded(item));
    for (const Json& intent : json.at("intents"))
      ledger.intents.push_back(ParseIntent(intent));
    return ledger;
  } catch (const Json::exception& error) {
    return Error{ErrorCode::kInvalid, error.what()};
  }
}

}  // namespace coltsfootvane
