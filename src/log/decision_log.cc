#include "log/decision_log.h"

#include <fcntl.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <cstdio>
#include <iterator>

#include "base/digest.h"

namespace coltsfootvane {
namespace {

constexpr std::size_t kBufferBytes = 64UL * 1024;
/// At most, of a line before its details.
constexpr std::size_t kHeadBytes = 256;
constexpr std::size_t kFlushBytes = 4UL * 1024;
constexpr Milliseconds kWindow{1000};
constexpr int kInfosPerWindow = 30;
constexpr int kWarningsPerWindow = 60;
/// One of this many requests is sampled.
constexpr std::uint64_t kSampling = 16;

const char* SeverityName(Severity severity) {
  switch (severity) {
    case Severity::kInfo:
      return "info";
    case Severity::kWarning:
      return "warning";
    case Severity::kError:
      return "error";
  }
  return "error";
}

/// Appends the text as the rest of a line: control bytes would end it.
void AppendLine(std::string_view text, std::string* buffer) {
  const auto is_control = [](char c) {
    return static_cast<unsigned char>(c) < ' ' || c == '\x7f';
  };
  std::replace_copy_if(text.begin(), text.end(), std::back_inserter(*buffer),
                       is_control, '?');
  buffer->push_back('\n');
}

}  // namespace

DecisionLog::DecisionLog(int log_descriptor, std::string_view name)
    : descriptor(log_descriptor), process_name(name) {
  const int flags = fcntl(log_descriptor, F_GETFL);
  if (flags >= 0)
    fcntl(log_descriptor, F_SETFL, flags | O_NONBLOCK);
}

bool DecisionLog::Samples(std::string_view request_id) const {
  return Hash64(request_id) % kSampling == 0;
}

bool DecisionLog::TakeBudget(Severity severity) {
  const TimePoint now = Clock::now();
  if (now >= this->window_end) {
    this->window_end = now + kWindow;
    this->infos = 0;
    this->warnings = 0;
  }
  if (severity == Severity::kInfo)
    return ++this->infos <= kInfosPerWindow;
  return ++this->warnings <= kWarningsPerWindow;
}

void DecisionLog::Write(const Event& event,
                        std::string_view request_id,
                        std::string_view detail) {
  if (event.severity == Severity::kInfo && !request_id.empty() &&
      !this->Samples(request_id))
    return;
  if (!this->TakeBudget(event.severity)) {
    ++this->left_out_by_rate;
    return;
  }
  if (this->buffer.size() + detail.size() + kHeadBytes > kBufferBytes) {
    ++this->left_out_by_buffer;
    return;
  }
  timeval time{};
  gettimeofday(&time, nullptr);
  char head[160];
  const int length = std::snprintf(
      head, sizeof(head), "time=%lld.%03d level=%s process=%.40s event=%d %s",
      static_cast<long long>(time.tv_sec),
      static_cast<int>(time.tv_usec / 1000), SeverityName(event.severity),
      this->process_name.c_str(), event.number, event.name);
  this->buffer.append(head, static_cast<std::size_t>(length));
  if (!request_id.empty())
    this->buffer.append(" request=").append(request_id);
  this->buffer.append(" ");
  AppendLine(detail, &this->buffer);
  if (this->buffer.size() >= kFlushBytes || event.severity != Severity::kInfo ||
      request_id.empty())
    this->Flush();
}

void DecisionLog::Flush() {
  if (this->buffer.empty())
    return;
  const ssize_t written =
      write(this->descriptor, this->buffer.data(), this->buffer.size());
  if (written > 0)
    this->buffer.erase(0, static_cast<std::size_t>(written));
}

}  // namespace coltsfootvane
