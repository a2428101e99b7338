#ifndef COLTSFOOTVANE_IDEMPOTENCY_RECORD_STORE_H_
#define COLTSFOOTVANE_IDEMPOTENCY_RECORD_STORE_H_

#include <functional>
#include <string>

#include "base/clock.h"
#include "idempotency/next_step.h"
#include "objectapi/client.h"

namespace coltsfootvane {

/// Access to stored records. Each function makes one platform call and returns
/// its outcome as a step event.
struct RecordStore {
  std::function<StepOutcome(const std::string& name, TimePoint deadline)> read;
  std::function<StepOutcome(const std::string& name,
                            const Record& record,
                            TimePoint deadline)>
      create;
  std::function<StepOutcome(const std::string& name,
                            const Record& record,
                            std::int64_t version,
                            TimePoint deadline)>
      update;
};

/// Returns a store that keeps records in the platform's object API.
RecordStore MakeRecordStore(const objectapi::Connection& connection);

/// Returns the step event of a write that failed with `error`.
StepEvent EventForWriteError(ErrorCode error);

/// Returns the current UTC time in ms since 1970, for Record::time_ms.
std::int64_t CurrentTimeMs();

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_IDEMPOTENCY_RECORD_STORE_H_
