#ifndef COLTSFOOTVANE_ENTRY_PROCESS_LIMITS_H_
#define COLTSFOOTVANE_ENTRY_PROCESS_LIMITS_H_

#include "settings/settings.h"

namespace coltsfootvane {

/// Returns the memory of the VM in MB: the setting, or what the system reports.
double MemoryMb(const Settings& settings);

/// Returns the descriptors that connections may have: those of the setting or
/// of the system, the lesser one, without those of files.
int ConnectionDescriptors(const Settings& settings);

}  // namespace coltsfootvane

#endif  // COLTSFOOTVANE_ENTRY_PROCESS_LIMITS_H_
