#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_PROCESS_USAGE_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_PROCESS_USAGE_H_

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <string>

namespace coltsfootvane::testing {

/// Returns the value of a line of /proc/PID/status in KB; 0 without one.
long StatusKb(int pid, const std::string& name);

int OpenDescriptors(int pid);

/// Returns the processor time that the process has used; 0 without one.
std::chrono::nanoseconds ProcessorTime(int pid);

/// Returns how long the first thread of the process has waited for a processor
/// while it could have run; 0 if the kernel does not tell.
std::chrono::nanoseconds RunDelay(int pid);

/// Returns the bytes that the kernel has received for the address and nobody
/// has read, in KB.
long UnreadKb(const boost::asio::ip::tcp::endpoint& address);

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_PROCESS_USAGE_H_
