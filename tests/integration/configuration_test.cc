#include <signal.h>

#include <atomic>
#include <filesystem>
#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "http_calls.h"
#include "site.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace coltsfootvane::testing;  // NOLINT(google-build-using-namespace)
using coltsfootvane::Clock;
using coltsfootvane::Milliseconds;
using coltsfootvane::TimePoint;
using nlohmann::json;

/// The promise for an accepted configuration; see docs/design.md, section 1.
constexpr int kInForceMs = 9000;
constexpr int kRacers = 6;
constexpr int kRaces = 4;
constexpr int kFastVersions = 40;
constexpr int kDetachedVersions = 5;

/// A fleet without models, so that only the configuration moves.
SiteOptions SmallFleet(int daemons, bool platform_proxies) {
  SiteOptions options;
  options.models = {{"diagnosis", 4000, 1}};
  options.adapters.clear();
  options.engines = {EngineOptions()};
  options.services = 1;
  options.daemons = daemons;
  options.platform_proxies = platform_proxies;
  return options;
}

/// Writes a copy of the site's directory with a memory size that tells it from
/// the others, and returns its path.
std::string WriteVariant(const Site& site, int number) {
  std::string path = site.folder + "/variant-" + std::to_string(number);
  std::filesystem::create_directories(path);
  std::filesystem::copy(site.folder + "/configuration", path,
                        std::filesystem::copy_options::overwrite_existing |
                            std::filesystem::copy_options::recursive);
  std::ofstream models(path + "/models.yaml", std::ios::trunc);
  models << "models:\n  - name: diagnosis\n    version: \"1\"\n    memory_mb: "
         << 4000 + number << "\n    min_copies: 1\n";
  return path;
}

struct Applied {
  int exit_code = -1;
  std::string text;
  json report;
};

std::vector<std::string> ApplyArguments(const Site& site,
                                        const std::string& directory,
                                        int timeout_ms) {
  return {"apply",        directory,
          "--platform",   coltsfootvane::http::FormatAddress(site.platform),
          "--output",     "json",
          "--as",         "operator",
          "--timeout-ms", std::to_string(timeout_ms)};
}

Applied ApplyVariant(const Site& site, int number, int timeout_ms = 10000) {
  const Output output =
      RunProgram("coltsfootvane",
                 ApplyArguments(site, WriteVariant(site, number), timeout_ms));
  return {output.exit_code, output.text,
          json::parse(output.text, nullptr, false)};
}

/// Applies a variant and returns its version; fails the test if refused.
long MustApply(const Site& site, int number) {
  const Applied applied = ApplyVariant(site, number);
  CHECK_TEXT(applied.exit_code == 0, applied.text.c_str());
  STRCMP_EQUAL("applied", applied.report.value("outcome", "").c_str());
  return applied.report.value("version", -1L);
}

json ReadHead(const Site& site) {
  const json object =
      GetJson(site.platform, "/apis/coltsfootvane/v1/config/head");
  return object.is_object() ? object["spec"] : json();
}

bool WaitVersion(Site* site, std::size_t daemon, long version, int timeout_ms) {
  return WaitUntil(In(timeout_ms), [&] {
    return site->ConfigurationVersion(daemon) == version;
  });
}

/// Polls /config of every daemon. Counts pages that do not
/// belong to an applied version and versions below an earlier one.
class ConfigWatcher {
 public:
  explicit ConfigWatcher(const Site& site) {
    for (const DaemonProcess& daemon : site.daemons)
      this->threads.emplace_back([this, &daemon] { this->Poll(daemon); });
  }
  ~ConfigWatcher() { this->Stop(); }

  void Stop() {
    this->stopping = true;
    for (std::thread& thread : this->threads)
      thread.join();
    this->threads.clear();
  }

  /// Returns the pages whose digest is not the one of their version.
  long Mismatches(const std::map<long, std::string>& digests) const {
    long count = 0;
    for (const auto& [version, digest] : this->seen) {
      // A daemon that has just started has no configuration yet.
      if (version == 0 && digest.empty())
        continue;
      const auto found = digests.find(version);
      if (found == digests.end() || found->second != digest)
        ++count;
    }
    return count;
  }

  std::atomic<long> pages{0};
  std::atomic<long> reversions{0};
  std::set<std::pair<long, std::string>> seen;

 private:
  void Poll(const DaemonProcess& daemon) {
    long last = 0;
    while (!this->stopping) {
      // Leaves the shared machine some time; versions last for longer.
      std::this_thread::sleep_for(Milliseconds{1});
      const json page = GetJson(daemon.admin, "/config");
      if (!page.is_object())
        continue;
      const long version = page.value("version", -1L);
      ++this->pages;
      this->reversions += version < last ? 1 : 0;
      last = version;
      std::lock_guard<std::mutex> lock(this->mutex);
      this->seen.insert({version, page.value("digest", "")});
    }
  }

  std::atomic<bool> stopping{false};
  std::mutex mutex;
  std::vector<std::thread> threads;
};

void SetPlatformProxy(const DaemonProcess& daemon, const json& faults) {
  SetFaults(daemon.platform_proxy_control, faults);
}

void WriteProofLine(const std::string& line) {
  std::printf("  %s\n", line.c_str());
}

}  // namespace

TEST_GROUP(ConfigurationFaults){};

// Guards against concurrent operators whose changes are merged, overwrite each
// other or are both reported as applied.
TEST(ConfigurationFaults, OneOfManyRacingOperatorsSucceeds) {
  Site site{SmallFleet(2, false)};
  site.StartAll();
  long version = site.ConfigurationVersion(0);
  long losers = 0;
  for (int race = 0; race < kRaces; ++race) {
    std::vector<std::unique_ptr<Process>> operators;
    for (int i = 0; i < kRacers; ++i)
      WriteVariant(site, 100 * race + i + 1);
    for (int i = 0; i < kRacers; ++i) {
      const std::string directory =
          site.folder + "/variant-" + std::to_string(100 * race + i + 1);
      std::vector<std::string> arguments =
          ApplyArguments(site, directory, 10000);
      arguments.insert(arguments.end(),
                       {"--based-on", std::to_string(version)});
      operators.push_back(std::make_unique<Process>("coltsfootvane", arguments,
                                                    directory + ".log"));
    }
    int succeeded = 0;
    std::string winner;
    for (int i = 0; i < kRacers; ++i) {
      Process& one = *operators[static_cast<std::size_t>(i)];
      const int exit_code = one.WaitForExit(In(15000));
      std::ifstream log(one.LogPath());
      const json report = json::parse(log, nullptr, false);
      CHECK(report.is_object());
      if (exit_code == 0) {
        ++succeeded;
        winner = std::to_string(4000 + 100 * race + i + 1);
        continue;
      }
      LONGS_EQUAL(3, exit_code);
      STRCMP_EQUAL("conflict", report.value("outcome", "").c_str());
      LONGS_EQUAL(1, report["difference"].size());
      ++losers;
    }
    LONGS_EQUAL(1, succeeded);
    ++version;
    const json head = ReadHead(site);
    LONGS_EQUAL(version, head.value("version", -1L));
    CHECK(WaitVersion(&site, 0, version, kInForceMs));
    CHECK(WaitVersion(&site, 1, version, kInForceMs));
    for (const json& part : head["parts"]) {
      if (part.value("name", "") != "models.yaml")
        continue;
      const std::string digest = part.value("digest", "");
      const json stored = GetJson(
          site.platform, "/apis/coltsfootvane/v1/configparts/" + digest);
      STRCMP_CONTAINS(winner.c_str(), stored.dump().c_str());
    }
  }
  WriteProofLine("races=" + std::to_string(kRaces) +
                 " operators=" + std::to_string(kRacers) +
                 " conflicts=" + std::to_string(losers));
  LONGS_EQUAL(kRaces * (kRacers - 1), losers);
}

// Guards against a daemon that is half in force or goes back while versions
// follow each other without a pause.
TEST(ConfigurationFaults, NeverHalfInForceAndNeverLower) {
  Site site{SmallFleet(3, false)};
  site.StartAll();
  std::map<long, std::string> digests;
  digests[1] = ReadHead(site).value("digest", "");
  ConfigWatcher watcher(site);
  long version = 1;
  for (int i = 1; i <= kFastVersions; ++i) {
    version = MustApply(site, i);
    digests[version] = ReadHead(site).value("digest", "");
  }
  for (std::size_t i = 0; i < site.daemons.size(); ++i)
    CHECK(WaitVersion(&site, i, version, kInForceMs));
  watcher.Stop();
  WriteProofLine("versions=" + std::to_string(version) +
                 " pages=" + std::to_string(watcher.pages) +
                 " reversions=" + std::to_string(watcher.reversions) +
                 " mismatches=" + std::to_string(watcher.Mismatches(digests)));
  LONGS_EQUAL(0, watcher.Mismatches(digests));
  LONGS_EQUAL(0, watcher.reversions);
}

// Guards against a daemon that stays behind after a freeze or while its own
// way to the platform is cut, refused or slow.
TEST(ConfigurationFaults, FrozenAndDetachedDaemonsCatchUp) {
  Site site{SmallFleet(4, true)};
  site.StartAll();
  std::map<long, std::string> digests;
  digests[1] = ReadHead(site).value("digest", "");
  ConfigWatcher watcher(site);
  site.daemons[1].process->Signal(SIGSTOP);
  SetPlatformProxy(site.daemons[2], {{"blackhole", true}});
  SetPlatformProxy(site.daemons[3], {{"refuse", true}});
  std::chrono::duration<double, std::milli> slowest{0};
  long version = 1;
  for (int i = 1; i <= kDetachedVersions; ++i) {
    version = MustApply(site, i);
    digests[version] = ReadHead(site).value("digest", "");
    const TimePoint applied = Clock::now();
    for (const std::size_t daemon : {0, 2, 3})
      CHECK_TEXT(WaitVersion(&site, daemon, version, kInForceMs),
                 site.daemons[daemon].id.c_str());
    slowest = std::max(slowest, std::chrono::duration<double, std::milli>(
                                    Clock::now() - applied));
  }
  site.daemons[1].process->Signal(SIGCONT);
  const TimePoint continued = Clock::now();
  CHECK(WaitVersion(&site, 1, version, kInForceMs));
  const std::chrono::duration<double, std::milli> thawed =
      Clock::now() - continued;
  watcher.Stop();
  LONGS_EQUAL(0, watcher.Mismatches(digests));
  LONGS_EQUAL(0, watcher.reversions);
  WriteProofLine("detached versions=" + std::to_string(kDetachedVersions) +
                 " slowest_ms=" + std::to_string(slowest.count()) +
                 " after_freeze_ms=" + std::to_string(thawed.count()));
}

// Guards against a platform that returns an older version: a daemon must not
// go back, one that starts must get the newest from its peers, and apply must
// not call an older version the newest.
TEST(ConfigurationFaults, OldReadsRevertNothing) {
  Site site{SmallFleet(3, false)};
  site.StartAll();
  std::map<long, std::string> digests;
  digests[1] = ReadHead(site).value("digest", "");
  for (int i = 1; i <= 3; ++i) {
    const long version = MustApply(site, i);
    digests[version] = ReadHead(site).value("digest", "");
  }
  for (std::size_t i = 0; i < site.daemons.size(); ++i)
    CHECK(WaitVersion(&site, i, 4, kInForceMs));
  ConfigWatcher watcher(site);
  SetFaults(site.platform, {{"stale_reads", true}});
  // The directory of version 1, which an old read shows as the newest.
  const Output same = site.Apply({"--timeout-ms", "1500"});
  CHECK_TEXT(same.exit_code != 0, same.text.c_str());
  const Applied other = ApplyVariant(site, 9, 1500);
  CHECK_TEXT(other.exit_code == 3, other.text.c_str());
  site.daemons[2].process->Kill();
  watcher.Stop();
  ConfigWatcher restarted(site);
  site.StartDaemon(2);
  const bool newest = WaitVersion(&site, 2, 4, kInForceMs);
  // More than one period of the slow poll.
  std::this_thread::sleep_for(Milliseconds{7000});
  const long kept = site.ConfigurationVersion(0);
  restarted.Stop();
  SetFaults(site.platform, json::object());
  WriteProofLine("pages=" + std::to_string(watcher.pages + restarted.pages) +
                 " reversions=" +
                 std::to_string(watcher.reversions + restarted.reversions));
  CHECK(newest);
  LONGS_EQUAL(4, kept);
  LONGS_EQUAL(0, watcher.reversions);
  LONGS_EQUAL(0, restarted.reversions);
  LONGS_EQUAL(0, restarted.Mismatches(digests));
  for (const auto& [seen, digest] : restarted.seen)
    CHECK_TEXT(seen == 0 || seen == 4, "an older version came into force");
  LONGS_EQUAL(5, MustApply(site, 9));
  for (std::size_t i = 0; i < site.daemons.size(); ++i)
    CHECK(WaitVersion(&site, i, 5, kInForceMs));
}

// Guards against apply that reports other than what happened when the platform
// is down or slow or loses responses.
TEST(ConfigurationFaults, ApplyReportsWhatHappened) {
  Site site{SmallFleet(2, false)};
  site.StartAll();
  long version = 1;
  const json lossy[] = {
      {{"lose_response_after_write", 1}, {"match_kind", "config"}},
      {{"lose_response_after_write", 3}},
      {{"lose_response_after_write", 1}, {"match_kind", "audit"}},
      {{"delay_ms", 400}},
      {{"count", 1}, {"delay_write_effect_ms", 700}, {"match_kind", "config"}}};
  int number = 0;
  for (const json& faults : lossy) {
    SetFaults(site.platform, faults);
    const Applied applied = ApplyVariant(site, ++number, 20000);
    SetFaults(site.platform, json::object());
    CHECK_TEXT(applied.exit_code == 0, applied.text.c_str());
    LONGS_EQUAL_TEXT(++version, applied.report.value("version", -1L),
                     faults.dump().c_str());
    for (std::size_t i = 0; i < site.daemons.size(); ++i)
      CHECK(WaitVersion(&site, i, version, kInForceMs));
  }
  SetFaults(site.platform, {{"outage", true}});
  const Applied down = ApplyVariant(site, ++number, 1500);
  SetFaults(site.platform, json::object());
  LONGS_EQUAL(1, down.exit_code);
  CHECK_TEXT(down.text.find("may have taken effect") == std::string::npos,
             down.text.c_str());
  LONGS_EQUAL(version, ReadHead(site).value("version", -1L));
}

// Guards against a daemon that starts without the platform and stays without a
// configuration, or with less than its peers have.
TEST(ConfigurationFaults, StartsInAnOutageWithTheNewestOfAPeer) {
  Site site{SmallFleet(3, false)};
  site.StartAll();
  const long version = MustApply(site, 1);
  for (std::size_t i = 0; i < site.daemons.size(); ++i)
    CHECK(WaitVersion(&site, i, version, kInForceMs));
  SetFaults(site.platform, {{"outage", true}});
  std::chrono::duration<double, std::milli> slowest{0};
  for (const std::size_t daemon : {2, 1}) {
    site.daemons[daemon].process->Kill();
    const TimePoint start = Clock::now();
    site.StartDaemon(daemon);
    CHECK(WaitVersion(&site, daemon, version, kInForceMs));
    slowest = std::max(slowest, std::chrono::duration<double, std::milli>(
                                    Clock::now() - start));
  }
  CHECK(site.WaitServing(5000));
  WriteProofLine("starts=2 slowest_ms=" + std::to_string(slowest.count()));
}
