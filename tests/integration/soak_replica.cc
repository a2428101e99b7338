#include "soak_replica.h"

#include <algorithm>
#include <cstdio>
#include <cstdlib>
#include <utility>

namespace coltsfootvane::testing {
namespace {

using StreamPtr = std::shared_ptr<net::TcpStream>;

/// The users' bounds: a replica that says that it leaves takes requests for
/// drainMs; one that wants a pause gets two at most from half a second on.
constexpr Milliseconds kDrainTime{2000};
constexpr Milliseconds kPauseSlack{500};
constexpr int kMaxLateArrivals = 2;

constexpr char kStray[] =
    "HTTP/1.1 503 Busy\r\nNot-Executed: 1\r\nRetry-After: 0.1\r\n"
    "Content-Length: 0\r\n\r\n";

std::string ChunkOf(const std::string& text) {
  char size[16];
  std::snprintf(size, sizeof(size), "%zx\r\n", text.size());
  return size + text + "\r\n";
}

}  // namespace

int DaemonOf(const std::string& id) {
  return std::atoi(id.c_str());
}

std::string SoakEvents(int first, int last) {
  std::string text;
  for (int i = first; i <= last; ++i)
    text += "id: " + std::to_string(i) + "\ndata: part" + std::to_string(i) +
            "\n\n";
  return text;
}

SoakReplica::SoakReplica(boost::asio::io_context* io,
                         const std::string& host,
                         const std::string& id,
                         std::mt19937* random_numbers)
    : standin(io, host, id), random(random_numbers) {
  this->standin.answer = [this](const ReceivedRequest& request,
                                const StreamPtr& stream) {
    this->OnRequest(request, stream);
  };
}

void SoakReplica::Restart() {
  this->standin.Restart();
  this->faults = {};
  this->stated.clear();
}

void SoakReplica::Excuse(int daemon) {
  this->stated.erase(daemon);
}

bool SoakReplica::Happens(double chance) {
  return std::uniform_real_distribution<>(0, 1)(*this->random) < chance;
}

void SoakReplica::CheckArrival(const std::string& id, Stated* known) {
  const TimePoint now = Clock::now();
  const bool left = known->leaving_at != TimePoint() &&
                    this->sent_at(id) > known->leaving_at + kDrainTime;
  if (left)
    this->on_violation(id, "reaches a leaving replica: ");
  for (StatedPause& pause : known->pauses) {
    if (now < pause.from + kPauseSlack || now >= pause.until)
      continue;
    if (++pause.late == kMaxLateArrivals + 1)
      this->on_violation(id, "reaches within its pause: ");
  }
}

void SoakReplica::OnRequest(const ReceivedRequest& request,
                            const StreamPtr& stream) {
  const std::string id(net::FieldValue(request.head.fields, "Request-Id"));
  Stated& known = this->stated[DaemonOf(id)];
  this->CheckArrival(id, &known);
  this->on_arrival(id, request);
  const TimePoint now = Clock::now();
  net::Fields more;
  if (this->faults.leaving) {
    more.push_back({"Server-Leaving", "1"});
    if (known.leaving_at == TimePoint())
      known.leaving_at = now;
  }
  if (now < this->faults.paused_until) {
    char text[32];
    std::snprintf(
        text, sizeof(text), "%.2f",
        std::chrono::duration<double>(this->faults.paused_until - now).count());
    more.push_back({"Retry-After", text});
    const auto stated_ms =
        Milliseconds(static_cast<std::int64_t>(std::atof(text) * 1000));
    known.pauses.push_back({now, now + stated_ms, 0});
    ReplicaStandin::Refuse(request, stream, more);
    return;
  }
  if (this->faults.refuses) {
    ReplicaStandin::Refuse(request, stream, more);
    return;
  }
  this->on_run(id);
  // An earlier answer is written once more on a kept connection.
  const bool kept = !this->used_streams.insert(stream.get()).second;
  if (kept && this->Happens(this->faults.stray))
    stream->Write(kStray);
  if (this->Happens(this->faults.resets)) {
    ++this->standin.runs[id];
    stream->Reset();
    return;
  }
  if (this->Happens(this->faults.fails)) {
    ++this->standin.runs[id];
    net::Fields fields = AnswerFields(request);
    fields.insert(fields.end(), more.begin(), more.end());
    Reply(stream, 500, std::string(this->faults.failure_bytes, 'F'), fields);
    return;
  }
  if (request.head.target.find("/stream/") == 0)
    this->AnswerStream(request, stream, more);
  else
    this->standin.Run(request, stream, more);
}

void SoakReplica::AnswerStream(const ReceivedRequest& request,
                               const StreamPtr& stream,
                               const net::Fields& more) {
  const std::string after(
      net::FieldValue(request.head.fields, "Last-Event-Id"));
  const int first = std::atoi(after.c_str()) + 1;
  net::ResponseHead head;
  head.status = 200;
  head.fields = AnswerFields(request);
  head.fields.insert(head.fields.end(), more.begin(), more.end());
  head.fields.push_back({"Content-Type", "text/event-stream"});
  head.fields.push_back({"Transfer-Encoding", "chunked"});
  stream->Write(net::FormatHead(head));
  if (this->Happens(this->faults.breaks) && first < kSoakEvents) {
    stream->Write(ChunkOf(SoakEvents(first, first) + "id: 9\nda"));
    stream->CloseAfterWrite();
    return;
  }
  if (first <= kSoakEvents)
    stream->Write(ChunkOf(SoakEvents(first, kSoakEvents)));
  stream->Write("0\r\n\r\n");
}

}  // namespace coltsfootvane::testing
