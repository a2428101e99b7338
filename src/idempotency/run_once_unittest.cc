#include "idempotency/run_once.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>

#include "idempotency/record.h"
#include "idempotency/record_writer.h"

#include <CppUTest/TestHarness.h>

namespace {

using namespace coltsfootvane;  // NOLINT(google-build-using-namespace)

/// An in-memory record store.
class MemoryStore {
 public:
  RecordStore MakeStore() {
    RecordStore store;
    store.read = [this](const std::string& name, TimePoint) {
      return this->Read(name);
    };
    store.create = [this](const std::string& name, const Record& record,
                          TimePoint) { return this->Write(name, record, 0); };
    store.update = [this](const std::string& name, const Record& record,
                          std::int64_t version, TimePoint) {
      return this->Write(name, record, version);
    };
    return store;
  }

  StepOutcome Read(const std::string& name) {
    std::lock_guard<std::mutex> lock(this->mutex);
    StepOutcome outcome;
    outcome.event = StepEvent::kReadFailed;
    if (this->ConsumeFailure())
      return outcome;
    outcome.event = StepEvent::kMissing;
    const auto found = this->records.find(name);
    if (found == this->records.end())
      return outcome;
    outcome = found->second;
    outcome.event = StepEvent::kRead;
    return outcome;
  }

  /// Number of calls that are still to fail.
  std::atomic<int> failures_left{0};
  std::map<std::string, StepOutcome> records;

 private:
  bool ConsumeFailure() {
    if (this->failures_left.load() <= 0)
      return false;
    --this->failures_left;
    return true;
  }

  StepOutcome Write(const std::string& name,
                    const Record& record,
                    std::int64_t version) {
    std::lock_guard<std::mutex> lock(this->mutex);
    StepOutcome outcome;
    outcome.event = StepEvent::kLost;
    if (this->ConsumeFailure())
      return outcome;
    const auto found = this->records.find(name);
    const std::int64_t stored =
        found == this->records.end() ? 0 : found->second.version;
    outcome.event = StepEvent::kConflict;
    if (stored != version)
      return outcome;
    outcome.event = StepEvent::kWritten;
    outcome.version = stored + 1;
    outcome.record = record;
    this->records[name] = outcome;
    return outcome;
  }

  std::mutex mutex;
};

RunRequest MakeRequest(const char* digest) {
  RunRequest request;
  request.name = "r";
  request.body_digest = digest;
  request.deadline = Clock::now() + Milliseconds{5000};
  return request;
}

RunCallbacks MakeFunctions(const Result<http::Response>& response, int* sends) {
  RunCallbacks functions;
  functions.prepare = [] { return Result<bool>(true); };
  functions.send = [response, sends] {
    ++*sends;
    return response;
  };
  return functions;
}

/// Returns `store` with calls that take `delay`, or that end at their deadline
/// without an answer if that is earlier.
RecordStore Delayed(const RecordStore& store, Milliseconds delay) {
  const auto wait = [delay](TimePoint deadline) {
    const bool answered = Clock::now() + delay < deadline;
    std::this_thread::sleep_until(answered ? Clock::now() + delay : deadline);
    return answered;
  };
  RecordStore delayed;
  delayed.read = [store, wait](const std::string& name, TimePoint deadline) {
    StepOutcome unanswered;
    unanswered.event = StepEvent::kReadFailed;
    return wait(deadline) ? store.read(name, deadline) : unanswered;
  };
  delayed.create = [store, wait](const std::string& name, const Record& record,
                                 TimePoint deadline) {
    StepOutcome unanswered;
    unanswered.event = StepEvent::kLost;
    return wait(deadline) ? store.create(name, record, deadline) : unanswered;
  };
  delayed.update = [store, wait](const std::string& name, const Record& record,
                                 std::int64_t version, TimePoint deadline) {
    StepOutcome unanswered;
    unanswered.event = StepEvent::kLost;
    return wait(deadline) ? store.update(name, record, version, deadline)
                          : unanswered;
  };
  return delayed;
}

http::Response MakeResponse(std::size_t body_bytes) {
  return {201, {{"Content-Type", "text/plain"}}, std::string(body_bytes, 'b')};
}

bool WaitUntilConfirmed(const RecordWriter& writer) {
  const TimePoint deadline = Clock::now() + Milliseconds{5000};
  while (writer.Pending() > 0 && Clock::now() < deadline)
    std::this_thread::sleep_for(Milliseconds{1});
  return writer.Pending() == 0;
}

}  // namespace

TEST_GROUP(RunOnce){};

// Guards against a repeated call that runs again, or that receives anything
// other than the stored response.
TEST(RunOnce, RepeatedCallFollowsTheRecord) {
  struct Row {
    const char* name;
    Result<http::Response> sent;
    const char* digest;
    RunResult first;
    RunResult second;
    int sends;
  };
  const Row rows[] = {
      {"replay", MakeResponse(3), "d", RunResult::kResponse, RunResult::kReplay,
       1},
      {"large", MakeResponse(kMaxStoredBodyBytes + 1), "d",
       RunResult::kResponse, RunResult::kDoneNotStored, 1},
      {"other body", MakeResponse(3), "x", RunResult::kResponse,
       RunResult::kKeyReused, 1},
      {"response lost", Error{ErrorCode::kUnknown, "connection cut"}, "d",
       RunResult::kUnknown, RunResult::kUnknown, 1},
      {"not sent", Error{ErrorCode::kNotSent, "refused"}, "d",
       RunResult::kNotRun, RunResult::kNotRun, 2},
      {"refused by a leaving service",
       Error{ErrorCode::kRefused, "service is leaving"}, "d",
       RunResult::kNotRun, RunResult::kNotRun, 2},
  };
  for (const Row& row : rows) {
    MemoryStore store;
    int sends = 0;
    const RunCallbacks functions = MakeFunctions(row.sent, &sends);
    const RunOutcome first =
        RunOnce(store.MakeStore(), MakeRequest("d"), functions);
    const RunOutcome second =
        RunOnce(store.MakeStore(), MakeRequest(row.digest), functions);
    CHECK_TEXT(first.result == row.first, row.name);
    CHECK_TEXT(second.result == row.second, row.name);
    LONGS_EQUAL_TEXT(row.sends, sends, row.name);
    if (second.result == RunResult::kReplay) {
      LONGS_EQUAL(201, second.response.status);
      STRCMP_EQUAL("bbb", second.response.body.c_str());
    }
  }
}

// Guards against a send after the caller's deadline.
TEST(RunOnce, SendsNothingAfterTheDeadline) {
  MemoryStore store;
  int sends = 0;
  RunRequest request = MakeRequest("d");
  request.deadline = Clock::now() - Milliseconds{1};
  const RunOutcome outcome = RunOnce(store.MakeStore(), request,
                                     MakeFunctions(MakeResponse(1), &sends));
  CHECK(outcome.result == RunResult::kNotRun);
  LONGS_EQUAL(0, sends);
}

// Guards against a late refusal when the platform does not answer, and against
// refusing calls when the platform answers slowly.
TEST(RunOnce, UnansweredCallsUseAShareOfTheDeadline) {
  struct Row {
    const char* name;
    int delay_ms;  ///< Of each platform call; no answer from the timeout on.
    int timeout_ms;
    int deadline_ms;  ///< Time from the start to the request's deadline.
    RunResult result;
    int max_ms;
  };
  const Row rows[] = {
      {"share below the timeout", 1000, 1000, 400, RunResult::kNotRun, 300},
      {"three timeouts below the share", 100, 100, 8000, RunResult::kNotRun,
       1500},
      {"answers that take more than the share", 300, 1000, 2000,
       RunResult::kResponse, 2000},
  };
  for (const Row& row : rows) {
    MemoryStore memory;
    int sends = 0;
    RunRequest request = MakeRequest("d");
    request.platform_timeout = Milliseconds{row.timeout_ms};
    request.deadline = Clock::now() + Milliseconds{row.deadline_ms};
    const TimePoint start = Clock::now();
    const RunOutcome outcome =
        RunOnce(Delayed(memory.MakeStore(), Milliseconds{row.delay_ms}),
                request, MakeFunctions(MakeResponse(1), &sends));
    const Milliseconds elapsed =
        std::chrono::duration_cast<Milliseconds>(Clock::now() - start);
    CHECK_TEXT(outcome.result == row.result, row.name);
    CHECK_TEXT(elapsed.count() < row.max_ms, row.name);
    LONGS_EQUAL_TEXT(row.result == RunResult::kResponse ? 1 : 0, sends,
                     row.name);
  }
}

// Guards against a response that is not recorded because the platform was down
// when it arrived.
TEST(RunOnce, WriterRecordsTheResponseLater) {
  MemoryStore store;
  RecordWriterOptions options;
  options.first_backoff = Milliseconds{1};
  RecordWriter writer(store.MakeStore(), options);
  int sends = 0;
  RunCallbacks functions = MakeFunctions(MakeResponse(3), &sends);
  const auto send = functions.send;
  functions.send = [&store, send] {
    store.failures_left = 6;
    return send();
  };
  RunOutcome outcome = RunOnce(store.MakeStore(), MakeRequest("d"), functions);
  CHECK(outcome.result == RunResult::kResponse);
  CHECK(outcome.pending_write_kind == PendingWriteKind::kDone);
  CHECK(writer.Add(std::move(outcome.pending_write)));
  CHECK(WaitUntilConfirmed(writer));
  const RunOutcome repeat =
      RunOnce(store.MakeStore(), MakeRequest("d"), functions);
  CHECK(repeat.result == RunResult::kReplay);
  LONGS_EQUAL(1, sends);
}

// Guards against a key that stays unknown although its attempt was abandoned
// before anything was sent.
TEST(RunOnce, WriterFencesAnAbandonedAttempt) {
  MemoryStore store;
  RecordWriterOptions options;
  options.first_backoff = Milliseconds{1};
  RecordWriter writer(store.MakeStore(), options);
  int sends = 0;
  RunCallbacks functions = MakeFunctions(MakeResponse(3), &sends);
  functions.prepare = [&store] {
    store.failures_left = 7;
    return Result<bool>(true);
  };
  RunOutcome outcome = RunOnce(store.MakeStore(), MakeRequest("d"), functions);
  CHECK(outcome.result == RunResult::kNotRun);
  CHECK(outcome.pending_write_kind == PendingWriteKind::kFence);
  CHECK(writer.Add(std::move(outcome.pending_write)));
  CHECK(WaitUntilConfirmed(writer));
  CHECK(store.Read("r").record.state == RecordState::kNotRun);
  const RunOutcome repeat = RunOnce(store.MakeStore(), MakeRequest("d"),
                                    MakeFunctions(MakeResponse(3), &sends));
  CHECK(repeat.result == RunResult::kResponse);
  LONGS_EQUAL(1, sends);
}

// Guards against pending writes or their bodies using up the memory.
TEST(RunOnce, WriterIsBounded) {
  MemoryStore store;
  store.failures_left = 1000000;
  RecordWriterOptions options;
  options.capacity = 2;
  options.max_body_bytes = 10;
  RecordWriter writer(store.MakeStore(), options);
  int accepted = 0;
  for (int count = 0; count < 20; ++count) {
    PendingWrite write;
    write.record = MakeDone({}, 200, "", "123456");
    accepted += writer.Add(std::move(write)) ? 1 : 0;
  }
  CHECK(accepted >= 2);
  CHECK(accepted <= 4);
  writer.Stop(Clock::now());
}

TEST_GROUP(Record){};

// Guards against a stored response that differs from the one that was sent.
TEST(Record, FormatAndParseAgree) {
  const std::string bodies[] = {"", "{\"a\":1}", std::string("\xff\x00z", 3)};
  for (const std::string& body : bodies) {
    Record record;
    record.attempt = "a";
    record.body_digest = "d";
    record.target_digest = "t";
    record.time_ms = 5;
    const Record done = MakeDone(record, 201, "text/plain", body);
    const Result<Record> parsed = ParseRecord(FormatRecord(done));
    CHECK(parsed.has_value());
    CHECK(parsed.value().state == RecordState::kDone);
    CHECK(parsed.value().body == body);
    CHECK(parsed.value().body_stored);
    LONGS_EQUAL(201, parsed.value().status);
    STRCMP_EQUAL("text/plain", parsed.value().content_type.c_str());
    STRCMP_EQUAL("a", parsed.value().attempt.c_str());
    STRCMP_EQUAL("d", parsed.value().body_digest.c_str());
    STRCMP_EQUAL("t", parsed.value().target_digest.c_str());
  }
}

// Guards against reading damaged records as usable ones.
TEST(Record, RejectsDamagedRecords) {
  for (const char* text :
       {"", "[]", "{}", R"({"state":"gone","attempt":"a","body_digest":"d"})",
        R"({"state":"done","attempt":"a","body_digest":"d"})",
        R"({"state":"reserved","attempt":1,"body_digest":"d"})"})
    CHECK_TEXT(!ParseRecord(text).has_value(), text);
}

// Guards against returning the response of the first request when its key is
// reused with another query or method.
TEST(Record, TargetDigestsDiffer) {
  CHECK(TargetDigest("POST", "a=1") != TargetDigest("POST", "a=2"));
  CHECK(TargetDigest("POST", "a=1") != TargetDigest("PUT", "a=1"));
  CHECK(TargetDigest("POST", "") != TargetDigest("POST", "a"));
}

// Guards against two different keys sharing one record.
TEST(Record, NamesDiffer) {
  CHECK(RecordName("ab", "c", "k") != RecordName("a", "bc", "k"));
  CHECK(RecordName("a", "b", "ck") != RecordName("a", "bc", "k"));
}
