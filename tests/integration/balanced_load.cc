#include "balanced_load.h"

#include <cstdio>

namespace coltsfootvane::testing {
namespace {

constexpr Milliseconds kHealthInterval{30};
constexpr std::int64_t kReadyForMs = 100;
/// Above the deadlines of the classes in use, so that the daemon ends a stream.
constexpr int kStreamTimeoutMs = 60000;

}  // namespace

void Tally::Add(const CheckedAnswer& checked, const std::string& what) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  ++this->counts[checked.answer];
  if (checked.answer != Answer::kComplete)
    ++this->incomplete[what + checked.detail];
}

int Tally::Count(Answer answer) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  const auto found = this->counts.find(answer);
  return found == this->counts.end() ? 0 : found->second;
}

int Tally::Total() const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  int total = 0;
  for (const auto& [answer, count] : this->counts)
    total += count;
  return total;
}

void Tally::Print(const std::string& name) const {
  constexpr int kLines = 8;
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::printf("\n%s:", name.c_str());
  const char* const words[] = {"complete", "failed", "refused", "broken",
                               "wrong"};
  for (const auto& [answer, count] : this->counts)
    std::printf(" %s %d", words[static_cast<int>(answer)], count);
  std::printf("\n");
  int lines = 0;
  for (const auto& [detail, count] : this->incomplete) {
    if (++lines <= kLines)
      std::printf("  %d x %s\n", count, detail.c_str());
  }
}

CheckedAnswer CallOnce(const http::Address& to, const http::Request& request) {
  if (nlohmann::json::parse(request.body).value("stream", false))
    return CheckStream(ReadStream(to, request, {}, kStreamTimeoutMs), request);
  return CheckWhole(Send(to, request), request);
}

BalancedLoad::BalancedLoad(Site* site, unsigned seed)
    : site(site),
      seed(seed),
      start(Clock::now()),
      backends(site->daemons.size()) {
  for (std::size_t i = 0; i < this->backends.size(); ++i)
    this->pollers.emplace_back([this, i] { this->PollHealth(i); });
}

BalancedLoad::~BalancedLoad() {
  this->Stop();
}

void BalancedLoad::Start(int count, const Caller& caller) {
  for (int i = 0; i < count; ++i) {
    const unsigned caller_seed = this->seed + static_cast<unsigned>(i);
    this->callers.emplace_back(
        [this, caller_seed, caller] { this->RunCaller(caller_seed, caller); });
  }
}

void BalancedLoad::Stop() {
  this->stopping = true;
  for (std::thread& caller : this->callers)
    caller.join();
  this->callers.clear();
  this->polling = false;
  for (std::thread& poller : this->pollers)
    poller.join();
  this->pollers.clear();
}

std::int64_t BalancedLoad::Now() const {
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - this->start)
      .count();
}

TimePoint BalancedLoad::LastEnd(std::size_t daemon) const {
  return this->start + Milliseconds{this->backends[daemon].last_end_ms};
}

int BalancedLoad::InProgress(std::size_t daemon) const {
  return this->backends[daemon].in_progress;
}

void BalancedLoad::PollHealth(std::size_t daemon) {
  while (this->polling) {
    const std::int64_t asked = this->Now();
    const nlohmann::json page =
        GetJson(this->site->daemons[daemon].admin, "/health");
    if (page.is_object() && page.value("state", "") == "ready")
      this->backends[daemon].last_ready_ms = asked;
    std::this_thread::sleep_for(kHealthInterval);
  }
}

void BalancedLoad::RunCaller(unsigned caller_seed, const Caller& caller) {
  std::mt19937 random(caller_seed);
  while (!this->stopping) {
    std::vector<std::size_t> ready;
    for (std::size_t i = 0; i < this->backends.size(); ++i) {
      if (this->Now() - this->backends[i].last_ready_ms < kReadyForMs)
        ready.push_back(i);
    }
    if (ready.empty()) {
      std::this_thread::sleep_for(kHealthInterval);
      continue;
    }
    const std::size_t daemon = ready[random() % ready.size()];
    Backend& backend = this->backends[daemon];
    ++backend.in_progress;
    caller(daemon, random);
    backend.last_end_ms = this->Now();
    --backend.in_progress;
  }
}

}  // namespace coltsfootvane::testing
