#include "entry/route.h"

#include <strings.h>

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>
#include <vector>

#include "entry/completion_body.h"

namespace coltsfootvane {
namespace {

using RouteResult = std::variant<RoutedCall, Refusal>;

constexpr char kModelsPath[] = "/v1/models";
constexpr char kChatPath[] = "/v1/chat/completions";
constexpr char kCompletionsPath[] = "/v1/completions";

bool IsPathPrefix(std::string_view prefix, std::string_view path) {
  if (path.substr(0, prefix.size()) != prefix)
    return false;
  if (path.size() == prefix.size() || prefix.empty() || prefix.back() == '/')
    return true;
  return path[prefix.size()] == '/';
}

std::optional<int> HexValue(char digit) {
  constexpr std::string_view kDigits = "0123456789abcdef";
  const char lower = digit >= 'A' && digit <= 'F'
                         ? static_cast<char>(digit - 'A' + 'a')
                         : digit;
  const std::size_t value = kDigits.find(lower);
  if (value == std::string_view::npos)
    return std::nullopt;
  return static_cast<int>(value);
}

std::optional<std::string> DecodePercent(std::string_view text) {
  std::string decoded;
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] != '%') {
      decoded += text[index];
      continue;
    }
    if (index + 2 >= text.size())
      return std::nullopt;
    const std::optional<int> high = HexValue(text[index + 1]);
    const std::optional<int> low = HexValue(text[index + 2]);
    if (!high || !low)
      return std::nullopt;
    decoded += static_cast<char>(*high * 16 + *low);
    index += 2;
  }
  return decoded;
}

/// Returns whether a service could interpret the path differently, which would
/// let an irreversible call pass as an ordinary one.
bool IsAmbiguous(std::string_view raw, std::string_view decoded) {
  const auto slashes = [](std::string_view text) {
    return std::count(text.begin(), text.end(), '/');
  };
  if (decoded.empty() || decoded.front() != '/')
    return true;
  if (slashes(raw) != slashes(decoded))
    return true;
  if (decoded.find('\\') != std::string_view::npos ||
      decoded.find(';') != std::string_view::npos)
    return true;
  const bool has_control = std::any_of(
      decoded.begin(), decoded.end(),
      [](char c) { return static_cast<unsigned char>(c) < 0x20 || c == 0x7f; });
  const std::string padded = std::string(decoded) + "/";
  return has_control || decoded.find("//") != std::string_view::npos ||
         padded.find("/./") != std::string::npos ||
         padded.find("/../") != std::string::npos;
}

std::string_view BearerKey(const http::Request& request) {
  constexpr std::string_view kScheme = "Bearer ";
  const std::string_view value =
      http::FindHeader(request.headers, "Authorization");
  const bool bearer =
      value.size() >= kScheme.size() &&
      strncasecmp(value.data(), kScheme.data(), kScheme.size()) == 0;
  return bearer ? value.substr(kScheme.size()) : std::string_view();
}

const Caller* FindCaller(const Configuration& configuration,
                         std::string_view key) {
  for (const Caller& caller : configuration.callers) {
    if (!key.empty() && caller.api_key == key)
      return &caller;
  }
  return nullptr;
}

/// Applies the routing rules to one request.
class Router {
 public:
  Router(const Configuration& configuration,
         const http::Request& request,
         std::int64_t new_seed,
         const NotSentProof& proof)
      : configuration(&configuration),
        request(&request),
        new_seed(new_seed),
        proof(&proof) {}

  RouteResult Run();

 private:
  Refusal Refuse(int status, std::string type, std::string message) const {
    return Refusal::NotRun(*this->proof, status, std::move(type),
                           std::move(message), 0);
  }
  std::optional<Refusal> SetPath();
  std::optional<Refusal> SetCaller();
  std::optional<Refusal> SetPriority(const Route& route);
  std::optional<Refusal> SetResumeAfter(bool has_seed);
  RouteResult RouteModelList();
  RouteResult RouteCompletion();
  RouteResult RouteService(const Route& route);
  RouteResult RouteIrreversible();

  const Configuration* configuration;
  const http::Request* request;
  std::int64_t new_seed;
  const NotSentProof* proof;
  const Caller* caller = nullptr;
  RoutedCall call;
};

std::optional<Refusal> Router::SetPath() {
  const std::optional<std::string> decoded = DecodePercent(this->request->path);
  if (!decoded || IsAmbiguous(this->request->path, *decoded))
    return this->Refuse(400, "invalid_path", "the path is malformed");
  this->call.path = *decoded;
  return std::nullopt;
}

std::optional<Refusal> Router::SetCaller() {
  if (this->configuration->callers.empty())
    return std::nullopt;
  this->caller = FindCaller(*this->configuration, BearerKey(*this->request));
  if (this->caller == nullptr)
    return this->Refuse(401, "invalid_api_key", "the API key is not known");
  this->call.caller = this->caller->name;
  return std::nullopt;
}

std::optional<Refusal> Router::SetPriority(const Route& route) {
  this->call.priority = route.priority;
  if (this->caller != nullptr) {
    this->call.priority = std::max(this->call.priority, this->caller->priority);
  }
  const std::string_view requested_text =
      http::FindHeader(this->request->headers, "X-Priority");
  if (requested_text.empty())
    return std::nullopt;
  const std::optional<Priority> requested = ParsePriority(requested_text);
  if (!requested) {
    return this->Refuse(400, "invalid_priority",
                        "X-Priority is not interactive, lookup or overnight");
  }
  this->call.priority = std::max(this->call.priority, *requested);
  return std::nullopt;
}

std::optional<Refusal> Router::SetResumeAfter(bool has_seed) {
  const std::string_view text =
      http::FindHeader(this->request->headers, "Last-Event-ID");
  if (text.empty() || !this->call.streamed)
    return std::nullopt;
  std::int64_t& id = this->call.resume_after;
  const char* const last = text.data() + text.size();
  const auto [end, error] = std::from_chars(text.data(), last, id);
  if (error != std::errc() || end != last || id < 0) {
    return this->Refuse(400, "invalid_last_event_id",
                        "Last-Event-ID is not a number");
  }
  // A different seed gives different tokens, which would not continue the part
  // that the caller already has.
  if (id > 0 && !has_seed) {
    return this->Refuse(
        400, "missing_seed",
        "a resumed request needs the seed given in the header X-Seed");
  }
  return std::nullopt;
}

RouteResult Router::RouteModelList() {
  if (this->request->method != "GET")
    return this->Refuse(405, "method_not_allowed", "only GET is allowed");
  this->call.kind = CallKind::kModelList;
  return this->call;
}

RouteResult Router::RouteCompletion() {
  const bool chat = this->call.path == kChatPath;
  if (!chat && this->call.path != kCompletionsPath)
    return this->Refuse(404, "unknown_path", "no such path");
  if (this->request->method != "POST")
    return this->Refuse(405, "method_not_allowed", "only POST is allowed");
  Result<CompletionBody> parsed = ParseCompletionBody(
      this->request->body, chat, this->call.priority, this->new_seed);
  if (!parsed)
    return this->Refuse(400, "invalid_request", parsed.error().message);
  CompletionBody& body = parsed.value();
  const bool known = FindModel(*this->configuration, body.item) != nullptr ||
                     FindAdapter(*this->configuration, body.item) != nullptr;
  if (!known) {
    std::string message = "no model `" + body.item + "`; there are";
    for (const Model& model : this->configuration->models)
      message += " " + model.name;
    for (const Adapter& adapter : this->configuration->adapters)
      message += " " + adapter.name;
    return this->Refuse(404, "model_not_found", std::move(message));
  }
  this->call.kind = CallKind::kCompletion;
  this->call.item = std::move(body.item);
  this->call.body = std::move(body.text);
  this->call.streamed = body.streamed;
  this->call.seed = body.seed;
  this->call.prefix_hash = body.prefix_hash;
  std::optional<Refusal> refusal = this->SetResumeAfter(body.has_seed);
  if (refusal)
    return *refusal;
  return this->call;
}

RouteResult Router::RouteIrreversible() {
  const std::string_view key =
      http::FindHeader(this->request->headers, "Idempotency-Key");
  if (key.empty()) {
    return this->Refuse(400, "missing_idempotency_key",
                        "this call must run at most once and needs the header "
                        "Idempotency-Key");
  }
  if (key.size() > kMaxKeyBytes) {
    return this->Refuse(400, "invalid_idempotency_key",
                        "Idempotency-Key has more than 255 bytes");
  }
  this->call.irreversible = true;
  this->call.key = key;
  return this->call;
}

RouteResult Router::RouteService(const Route& route) {
  this->call.kind = CallKind::kService;
  this->call.item = route.service;
  const std::string& method = this->request->method;
  if (method == "HEAD" || method == "CONNECT" || method == "TRACE")
    return this->Refuse(405, "method_not_allowed", method + " is not allowed");
  for (const IrreversibleCall& rule : route.irreversible) {
    if (rule.method == method &&
        IsPathPrefix(rule.path_prefix, this->call.path))
      return this->RouteIrreversible();
  }
  this->call.is_read = method == "GET";
  return this->call;
}

RouteResult Router::Run() {
  std::optional<Refusal> refusal = this->SetPath();
  if (!refusal)
    refusal = this->SetCaller();
  if (refusal)
    return *refusal;
  if (this->call.path == kModelsPath)
    return this->RouteModelList();
  const Route* const route = FindRoute(*this->configuration, this->call.path);
  if (route == nullptr)
    return this->Refuse(404, "unknown_path", "no such path");
  refusal = this->SetPriority(*route);
  if (refusal)
    return *refusal;
  if (route->kind == EndpointKind::kEngine)
    return this->RouteCompletion();
  return this->RouteService(*route);
}

}  // namespace

const Route* FindRoute(const Configuration& configuration,
                       std::string_view path) {
  const Route* best = nullptr;
  for (const Route& route : configuration.routes) {
    const bool longer =
        best == nullptr || route.path_prefix.size() > best->path_prefix.size();
    if (longer && IsPathPrefix(route.path_prefix, path))
      best = &route;
  }
  return best;
}

std::variant<RoutedCall, Refusal> RouteRequest(
    const Configuration& configuration,
    const http::Request& request,
    std::int64_t new_seed,
    const NotSentProof& proof) {
  return Router(configuration, request, new_seed, proof).Run();
}

std::string FormatModelList(const Configuration& configuration) {
  using Json = nlohmann::ordered_json;
  Json data = Json::array();
  const auto add = [&data](const std::string& name) {
    data.push_back({{"id", name},
                    {"object", "model"},
                    {"created", 0},
                    {"owned_by", "coltsfootvane"}});
  };
  for (const Model& model : configuration.models)
    add(model.name);
  for (const Adapter& adapter : configuration.adapters)
    add(adapter.name);
  const Json list = {{"object", "list"}, {"data", std::move(data)}};
  return list.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace coltsfootvane
