#ifndef COLTSFOOTVANE_IDEMPOTENCY_RECORD_STORE_H_
#define COLTSFOOTVANE_IDEMPOTENCY_RECORD_STORE_H_

#include <functional>
#include <string>

#include "base/clock.h"
#include "idempotency/next_step.h"
#include "objectapi/client.h"

namespace coltsfootvane {

/// One platform call and what it showed, as a step event.
struct RecordStore {
  std::function<Learned(const std::string& name, TimePoint deadline)> read;
  std::function<Learned(const std::string& name,
                        const Record& record,
                        TimePoint deadline)>
      create;
  std::function<Learned(const std::string& name,
                        const Record& record,
                        std::int64_t version,
                        TimePoint deadline)>
      update;
};

/// Records in the platform's object API.
RecordStore MakeRecordStore(const objectapi::Connection& connection);

/// Returns the step event of a write that ended with `error`.
StepEvent WriteEventOf(ErrorCode error);

/// Returns the current UTC time in ms since 1970, for Record::time_ms.
std::int64_t CurrentTimeMs();

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_IDEMPOTENCY_RECORD_STORE_H_
