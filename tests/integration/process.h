#ifndef COLTSFOOTVANE_TESTS_INTEGRATION_PROCESS_H_
#define COLTSFOOTVANE_TESTS_INTEGRATION_PROCESS_H_

#include <boost/process/child.hpp>
#include <functional>
#include <string>
#include <vector>

#include "base/clock.h"

namespace coltsfootvane::testing {

/// A child process of the test; killed when the object goes.
class Process {
 public:
  /// Starts `program` of the build folder. Its output goes to `log_path`.
  Process(const std::string& program,
          const std::vector<std::string>& arguments,
          const std::string& log_path);
  ~Process();

  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  /// After SIGSTOP no thread of the process runs any more.
  void Signal(int number);
  /// Kills without notice and waits for the end.
  void Kill();
  bool IsRunning();
  /// Waits for the end. Returns the exit code, or -1 at the deadline.
  int WaitForExit(TimePoint deadline);
  /// Describes the end of a process that is not running, else "".
  std::string DescribeEnd();
  int Pid() const;
  const std::string& LogPath() const;

 private:
  std::string log_path;
  boost::process::child child;
};

/// Runs a program to its end and returns its output and exit code.
struct Output {
  int exit_code = -1;
  std::string text;
};
Output RunProgram(const std::string& program,
                  const std::vector<std::string>& arguments);

/// Returns the time point `milliseconds` from now.
TimePoint In(int milliseconds);

/// Polls `condition` until it holds. Returns false at `deadline`.
bool WaitUntil(TimePoint deadline, const std::function<bool()>& condition);

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_INTEGRATION_PROCESS_H_
