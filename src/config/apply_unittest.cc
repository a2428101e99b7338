#include "config/apply.h"

#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>

#include "audit/audit.h"
#include "config/stored_configuration.h"
#include "http/server.h"
#include "support/free_port.h"

#include <CppUTest/TestHarness.h>

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

namespace {

constexpr Milliseconds kTestTime{10000};
constexpr char kRoot[] = "/apis/coltsfootvane/v1/";

enum class Fault {
  kNone,
  kLoseResponse,
  kFailWithoutEffect,
  kRateLimit,
  kConflict
};

/// A platform in memory that injects faults into writes of one kind.
class FakePlatform {
 public:
  FakePlatform() {
    http::ServerOptions options;
    const std::string host = testing::OwnLoopbackHost();
    options.listen = http::Address{host, testing::FreePort(host)};
    options.threads = 4;
    auto started = http::Server::Start(
        options, [this](const http::Request& request,
                        http::ReplyStream& reply) { Handle(request, reply); });
    CHECK(started.has_value());
    this->server = std::move(started).value();
    this->connection = objectapi::MakeConnection(options.listen, 1000);
  }
  ~FakePlatform() { this->server->Stop(); }

  objectapi::Connection connection;
  std::string faulty_kind = objectapi::kConfigKind;
  std::deque<Fault> faults;            ///< One per write of `faulty_kind`.
  std::function<void()> before_fault;  ///< Called before the next fault.
  std::function<void()> after_effect;  ///< Called before a lost response.
  int head_changes = 0;   ///< Writes of a head that differs from the stored.
  int stale_reads = 0;    ///< Head reads left that return the first head.
  int failing_reads = 0;  ///< Reads left that are answered 503.

  bool Has(const std::string& path) {
    std::lock_guard<std::mutex> lock(this->mutex);
    return this->specs.count(path) == 1;
  }
  void Remove(const std::string& path) {
    std::lock_guard<std::mutex> lock(this->mutex);
    this->specs.erase(path);
  }

 private:
  struct Stored {
    nlohmann::json spec;
    std::int64_t version;
  };

  void Handle(const http::Request& request, http::ReplyStream& reply) {
    const std::string path = request.path.substr(sizeof(kRoot) - 1);
    const std::string kind = path.substr(0, path.find('/'));
    if (request.method == "GET")
      return reply.Send(this->Read(path));
    Fault fault = Fault::kNone;
    if (kind == this->faulty_kind && !this->faults.empty()) {
      fault = this->faults.front();
      this->faults.pop_front();
      if (this->before_fault)
        std::exchange(this->before_fault, nullptr)();
    }
    if (fault == Fault::kFailWithoutEffect)
      return reply.Send({503, {}, ""});
    if (fault == Fault::kRateLimit)
      return reply.Send({429, {}, ""});
    if (fault == Fault::kConflict)
      return reply.Send({409, {}, ""});
    const http::Response response = this->Write(request, kind);
    if (fault != Fault::kLoseResponse)
      return reply.Send(response);
    if (this->after_effect)
      std::exchange(this->after_effect, nullptr)();
    reply.Abort();
  }

  http::Response Write(const http::Request& request, const std::string& kind) {
    std::lock_guard<std::mutex> lock(this->mutex);
    const auto object = nlohmann::json::parse(request.body);
    const auto& metadata = object.at("metadata");
    const std::string path =
        kind + "/" + metadata.at("name").get<std::string>();
    const auto found = this->specs.find(path);
    const bool create = request.method == "POST";
    if (create != (found == this->specs.end()) ||
        (!create && std::to_string(found->second.version) !=
                        metadata.at("resourceVersion").get<std::string>()))
      return {409, {}, ""};
    const bool changed = create || found->second.spec != object.at("spec");
    this->head_changes += changed && kind == objectapi::kConfigKind ? 1 : 0;
    this->specs[path] = {object.at("spec"), ++this->version};
    if (kind == objectapi::kConfigKind && create)
      this->first_head = this->Describe(path).dump();
    return {200, {}, this->Describe(path).dump()};
  }

  http::Response Read(const std::string& path) {
    std::lock_guard<std::mutex> lock(this->mutex);
    if (this->failing_reads > 0 && --this->failing_reads >= 0)
      return {503, {}, ""};
    if (path == "config/head" && this->stale_reads > 0 &&
        --this->stale_reads >= 0)
      return {200, {}, this->first_head};
    if (path.find('/') != std::string::npos) {
      if (this->specs.count(path) == 0)
        return {404, {}, ""};
      return {200, {}, this->Describe(path).dump()};
    }
    nlohmann::json list = {
        {"metadata", {{"resourceVersion", std::to_string(this->version)}}},
        {"items", nlohmann::json::array()}};
    for (const auto& [name, stored] : this->specs) {
      if (name.rfind(path + "/", 0) == 0)
        list["items"].push_back(this->Describe(name));
    }
    return {200, {}, list.dump()};
  }

  nlohmann::json Describe(const std::string& path) {
    const Stored& stored = this->specs.at(path);
    return {{"metadata",
             {{"name", path.substr(path.find('/') + 1)},
              {"resourceVersion", std::to_string(stored.version)}}},
            {"spec", stored.spec}};
  }

  std::mutex mutex;
  std::map<std::string, Stored> specs;
  std::string first_head;
  std::int64_t version = 0;
  std::unique_ptr<http::Server> server;
};

Bundle MakeDirectory(const std::string& region) {
  return MakeBundle(
      {{"a.yaml", "data_centres: [{name: dc1, region: " + region + "}]\n", ""},
       {"b.yaml", "survival_goal: vm\n", ""}});
}

Result<ApplyReport> Apply(const FakePlatform& fake,
                          const std::string& region,
                          const std::string& name,
                          std::optional<std::int64_t> based_on = {}) {
  ApplyOptions options;
  options.based_on = based_on;
  options.changed_by = name;
  options.deadline = Clock::now() + kTestTime;
  return ApplyBundle(fake.connection, MakeDirectory(region), options);
}

void CheckApplied(const Result<ApplyReport>& report,
                  ApplyOutcome outcome,
                  std::int64_t version) {
  CHECK(report.has_value());
  CHECK(report.value().outcome == outcome);
  LONGS_EQUAL(version, report.value().version);
  STRCMP_EQUAL("", report.value().audit_error.c_str());
}

std::string StoredDigest(const FakePlatform& fake) {
  return ReadStoredHead(fake.connection, Clock::now() + kTestTime)
      .value()
      .head.digest;
}

struct FaultRow {
  std::string faulty_kind;
  std::deque<Fault> faults;
};

const FaultRow kResolvedFaults[] = {
    {objectapi::kConfigKind, {Fault::kLoseResponse}},
    {objectapi::kConfigKind, {Fault::kFailWithoutEffect}},
    {objectapi::kConfigKind, {Fault::kFailWithoutEffect, Fault::kLoseResponse}},
    {objectapi::kConfigKind, {Fault::kRateLimit}},
    {objectapi::kConfigKind, {Fault::kConflict, Fault::kLoseResponse}},
    {objectapi::kConfigPartKind, {Fault::kLoseResponse, Fault::kRateLimit}},
    {objectapi::kAuditKind, {Fault::kLoseResponse, Fault::kFailWithoutEffect}},
};

}  // namespace

TEST_GROUP(Apply){};

// Guards against a head that names missing parts, a change without an audit
// entry, and an identical configuration that creates a version.
TEST(Apply, WritesPartsHeadAndAuditOnce) {
  FakePlatform fake;
  CheckApplied(Apply(fake, "r1", "ann"), ApplyOutcome::kApplied, 1);
  for (const BundlePart& part : MakeDirectory("r1").parts)
    CHECK(fake.Has("configparts/" + part.digest));
  CHECK(fake.Has("audit/apply-1"));
  CheckApplied(Apply(fake, "r1", "bob", 0), ApplyOutcome::kUnchanged, 1);
  CheckApplied(Apply(fake, "r2", "bob", 1), ApplyOutcome::kApplied, 2);
  LONGS_EQUAL(2, fake.head_changes);
  const auto trail = ReadAudit(fake.connection, Clock::now() + kTestTime);
  LONGS_EQUAL(2, trail.value().size());
  STRCMP_EQUAL("bob", trail.value().at(1).actor.c_str());
  LONGS_EQUAL(1, trail.value().at(1).from_version);
}

// Guards against a lost or failed response that is reported as a conflict,
// applied twice, or left without its audit entry.
TEST(Apply, ResolvesLostResponses) {
  for (const FaultRow& row : kResolvedFaults) {
    FakePlatform fake;
    fake.faulty_kind = row.faulty_kind;
    fake.faults = row.faults;
    CheckApplied(Apply(fake, "r1", "ann"), ApplyOutcome::kApplied, 1);
    CHECK(fake.faults.empty());
    LONGS_EQUAL(1, fake.head_changes);
    CHECK(fake.Has("audit/apply-1"));
  }
}

// Guards against an operator's change that overwrites one it was not based on.
TEST(Apply, ReportsConflictWithDifference) {
  FakePlatform fake;
  CheckApplied(Apply(fake, "r1", "ann"), ApplyOutcome::kApplied, 1);
  const auto stale = Apply(fake, "r2", "bob", 0);
  CheckApplied(stale, ApplyOutcome::kConflict, 1);
  STRCMP_EQUAL("~ data_centre dc1: region \"r1\" -> \"r2\"",
               stale.value().difference.at(0).c_str());
  fake.faults = {Fault::kNone};
  fake.before_fault = [&fake] { Apply(fake, "r3", "ann").value(); };
  CheckApplied(Apply(fake, "r2", "bob"), ApplyOutcome::kConflict, 2);
  CHECK(StoredDigest(fake) == MakeDirectory("r3").digest);
}

// Guards against a report made from an old head: "unchanged" though a newer
// version exists, a conflict with a version that is not the newest, and a
// conflict although the change is based on the newest.
TEST(Apply, IsNotMisledByOldHeads) {
  for (const int stale_reads : {1, 2, 3}) {
    FakePlatform fake;
    CheckApplied(Apply(fake, "r1", "ann"), ApplyOutcome::kApplied, 1);
    CheckApplied(Apply(fake, "r2", "bob"), ApplyOutcome::kApplied, 2);
    fake.stale_reads = stale_reads;
    CheckApplied(Apply(fake, "r1", "ann"), ApplyOutcome::kApplied, 3);
    fake.stale_reads = stale_reads;
    CheckApplied(Apply(fake, "r3", "ann"), ApplyOutcome::kConflict, 3);
    fake.stale_reads = stale_reads;
    CheckApplied(Apply(fake, "r3", "ann", 3), ApplyOutcome::kApplied, 4);
    fake.stale_reads = stale_reads;
    CheckApplied(Apply(fake, "r3", "bob"), ApplyOutcome::kUnchanged, 4);
    LONGS_EQUAL(4, fake.head_changes);
  }
}

// Guards against a failed read that is reported as a change which may have
// taken effect.
TEST(Apply, KnowsThatNothingWasSent) {
  FakePlatform fake;
  CheckApplied(Apply(fake, "r1", "ann"), ApplyOutcome::kApplied, 1);
  fake.failing_reads = 1000;
  ApplyOptions options;
  options.deadline = Clock::now() + Milliseconds{300};
  const auto report =
      ApplyBundle(fake.connection, MakeDirectory("r2"), options);
  CHECK(report.has_error());
  CHECK(report.error().code == ErrorCode::kNotSent);
}

// Guards against an apply that fails because another one, which changed
// nothing, has written the head back meanwhile.
TEST(Apply, IsNotHinderedByAConfirmedHead) {
  FakePlatform fake;
  CheckApplied(Apply(fake, "r1", "ann"), ApplyOutcome::kApplied, 1);
  fake.faults = {Fault::kFailWithoutEffect};
  fake.before_fault = [&fake] { Apply(fake, "r1", "bob").value(); };
  CheckApplied(Apply(fake, "r2", "ann"), ApplyOutcome::kApplied, 2);
}

// Guards against a lost response after which another operator's change of the
// same version number is taken for one's own.
TEST(Apply, ReportsConflictAfterLostAttempt) {
  FakePlatform fake;
  fake.faults = {Fault::kFailWithoutEffect};
  fake.before_fault = [&fake] { Apply(fake, "r3", "bob").value(); };
  CheckApplied(Apply(fake, "r2", "bob"), ApplyOutcome::kConflict, 1);
  CHECK(StoredDigest(fake) == MakeDirectory("r3").digest);
}

// Guards against a change that took effect, whose response was lost, and that
// is reported as refused because a later change has replaced it already.
TEST(Apply, KnowsItsChangeAfterALaterOne) {
  FakePlatform fake;
  fake.faults = {Fault::kLoseResponse};
  fake.after_effect = [&fake] { Apply(fake, "r3", "bob").value(); };
  CheckApplied(Apply(fake, "r2", "ann"), ApplyOutcome::kApplied, 1);
  CHECK(StoredDigest(fake) == MakeDirectory("r3").digest);
  LONGS_EQUAL(2, fake.head_changes);
}

// Guards against a gap in the trail after an operator's process died between
// the head and its audit entry.
TEST(Apply, RepairsAMissingAuditEntry) {
  for (const char* region : {"r1", "r2"}) {
    FakePlatform fake;
    CheckApplied(Apply(fake, "r1", "ann"), ApplyOutcome::kApplied, 1);
    fake.Remove("audit/apply-1");
    CHECK(Apply(fake, region, "bob").has_value());
    const auto trail = ReadAudit(fake.connection, Clock::now() + kTestTime);
    STRCMP_EQUAL("apply-1", trail.value().at(0).id.c_str());
    STRCMP_EQUAL("ann", trail.value().at(0).actor.c_str());
  }
}

// Guards against a first difference that fails for want of a stored
// configuration.
TEST(Apply, ComparesWithNothing) {
  FakePlatform fake;
  const auto report = Apply(fake, "r1", "ann", 3);
  CheckApplied(report, ApplyOutcome::kConflict, 0);
  STRCMP_EQUAL("+ data_centre dc1", report.value().difference.at(0).c_str());
}

// Guards against a stored configuration that differs from what its head names.
TEST(Apply, ChecksTheStoredDigest) {
  FakePlatform fake;
  Apply(fake, "r1", "ann").value();
  const TimePoint deadline = Clock::now() + kTestTime;
  ConfigurationHead head =
      ReadStoredHead(fake.connection, deadline).value().head;
  const auto read = ReadStoredBundle(fake.connection, head, deadline);
  STRCMP_EQUAL(MakeDirectory("r1").digest.c_str(), read.value().digest.c_str());
  std::swap(head.parts.at(0).digest, head.parts.at(1).digest);
  CHECK(!ReadStoredBundle(fake.connection, head, deadline).has_value());
}
