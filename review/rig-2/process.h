#ifndef COLTSFOOTVANE_REVIEW_RIG_2_PROCESS_H_
#define COLTSFOOTVANE_REVIEW_RIG_2_PROCESS_H_

#include <sys/types.h>

#include <fstream>
#include <mutex>
#include <string>
#include <vector>

namespace review {

/// Starts this program again with other arguments. The new process ends with
/// this one.
pid_t StartSelf(const std::vector<std::string>& arguments);
/// Kills a process and waits for its end.
void Kill(pid_t process);

/// The record of a case. Lines of several processes and threads are not mixed.
class Record {
 public:
  explicit Record(const std::string& path);
  /// Writes a line with the time since the start of the process.
  void Write(const std::string& line);

 private:
  std::mutex mutex;
  std::ofstream file;
};

/// Appends a line to a file that several processes share.
void AppendLine(const std::string& path, const std::string& line);
std::vector<std::string> ReadLines(const std::string& path);

/// Returns whether the variable TROUBLE asks for the disruption.
bool WantsTrouble();

void SleepMs(int milliseconds);

}  // namespace review

#endif  // COLTSFOOTVANE_REVIEW_RIG_2_PROCESS_H_
