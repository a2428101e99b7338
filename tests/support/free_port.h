#ifndef COLTSFOOTVANE_TESTS_SUPPORT_FREE_PORT_H_
#define COLTSFOOTVANE_TESTS_SUPPORT_FREE_PORT_H_

#include <string>

namespace coltsfootvane::testing {

/// Opens a TCP listener on `host` with a port from the kernel, which is stored
/// in `port`. Returns the descriptor; ends the process on failure.
int ListenOnFreePort(const std::string& host, int* port);

/// Returns a port on `host` that the kernel gave out and that is free again.
int FreePort(const std::string& host);

/// Returns a loopback address that no other test process uses, so that ports
/// freed there are not taken by outgoing connections, whose source address is
/// 127.0.0.1.
std::string OwnLoopbackHost();

/// Returns one more loopback address of this process, from 0 to 299. From 120
/// on it differs from those of processes whose ids differ by less than 20,833.
std::string MoreLoopbackHost(int number);

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_SUPPORT_FREE_PORT_H_
