#include "process.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <chrono>
#include <cstdlib>
#include <thread>

#include "http.h"

namespace review {

pid_t StartSelf(const std::vector<std::string>& arguments) {
  std::vector<char*> words;
  std::vector<std::string> copies = arguments;
  std::string program = "/proc/self/exe";
  words.push_back(program.data());
  for (std::string& copy : copies)
    words.push_back(copy.data());
  words.push_back(nullptr);
  const pid_t process = fork();
  if (process != 0)
    return process;
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  execv(program.c_str(), words.data());
  _exit(127);
}

void Kill(pid_t process) {
  if (process <= 0)
    return;
  kill(process, SIGKILL);
  waitpid(process, nullptr, 0);
}

Record::Record(const std::string& path) : file(path) {}

void Record::Write(const std::string& line) {
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->file << ElapsedMs() << " ms: " << line << std::endl;
}

void AppendLine(const std::string& path, const std::string& line) {
  const int descriptor =
      open(path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0644);
  const std::string text = line + "\n";
  (void)!write(descriptor, text.data(), text.size());
  close(descriptor);
}

std::vector<std::string> ReadLines(const std::string& path) {
  std::ifstream file(path);
  std::vector<std::string> lines;
  std::string line;
  while (std::getline(file, line))
    lines.push_back(line);
  return lines;
}

bool WantsTrouble() {
  const char* const value = std::getenv("TROUBLE");
  return value == nullptr || std::string(value) != "0";
}

void SleepMs(int milliseconds) {
  std::this_thread::sleep_for(Milliseconds(milliseconds));
}

}  // namespace review
