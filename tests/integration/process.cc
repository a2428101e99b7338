#include "process.h"

#include <signal.h>
#include <sys/wait.h>

#include <boost/process/args.hpp>
#include <boost/process/io.hpp>
#include <boost/process/pipe.hpp>
#include <chrono>
#include <iterator>
#include <thread>

namespace coltsfootvane::testing {
namespace {

std::string ProgramPath(const std::string& program) {
  return std::string(COLTSFOOTVANE_BINARY_DIR) + "/" + program;
}

}  // namespace

Process::Process(const std::string& program,
                 const std::vector<std::string>& arguments,
                 const std::string& log_path)
    : log_path(log_path),
      child(ProgramPath(program),
            boost::process::args(arguments),
            boost::process::std_in<boost::process::null,
                                   (boost::process::std_out &
                                    boost::process::std_err)> log_path) {}

Process::~Process() {
  this->Kill();
}

void Process::Signal(int number) {
  if (!this->child.running())
    return;
  ::kill(this->child.id(), number);
  if (number != SIGSTOP)
    return;
  // A busy machine lets threads of the process run on for some ms.
  siginfo_t info{};
  ::waitid(P_PID, static_cast<id_t>(this->child.id()), &info,
           WSTOPPED | WEXITED | WNOWAIT);
}

void Process::Kill() {
  if (!this->child.valid())
    return;
  this->Signal(SIGKILL);
  std::error_code ignored;
  this->child.wait(ignored);
}

bool Process::IsRunning() {
  return this->child.running();
}

int Process::WaitForExit(TimePoint deadline) {
  if (!WaitUntil(deadline, [this] { return !this->child.running(); }))
    return -1;
  return this->child.exit_code();
}

std::string Process::DescribeEnd() {
  if (this->child.running())
    return "";
  const int status = this->child.native_exit_code();
  if (WIFSIGNALED(status))
    return "ended by signal " + std::to_string(WTERMSIG(status));
  return "exited with " + std::to_string(WEXITSTATUS(status));
}

int Process::Pid() const {
  return this->child.id();
}

const std::string& Process::LogPath() const {
  return this->log_path;
}

Output RunProgram(const std::string& program,
                  const std::vector<std::string>& arguments) {
  boost::process::ipstream stream;
  boost::process::child child(
      ProgramPath(program), boost::process::args(arguments),
      boost::process::std_in<boost::process::null, (boost::process::std_out &
                                                    boost::process::std_err)>
          stream);
  Output output;
  output.text.assign(std::istreambuf_iterator<char>(stream), {});
  child.wait();
  output.exit_code = child.exit_code();
  return output;
}

TimePoint In(int milliseconds) {
  return Clock::now() + Milliseconds{milliseconds};
}

bool WaitUntil(TimePoint deadline, const std::function<bool()>& condition) {
  constexpr Milliseconds kPollInterval{10};
  while (!condition()) {
    if (Clock::now() >= deadline)
      return false;
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

}  // namespace coltsfootvane::testing
