#ifndef COLTSFOOTVANE_REVIEW_RIG_2_HTTP_H_
#define COLTSFOOTVANE_REVIEW_RIG_2_HTTP_H_

#include <chrono>
#include <functional>
#include <map>
#include <string>

/// Blocking HTTP/1.1 on loopback for the stand-ins and clients of the review.
namespace review {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Milliseconds = std::chrono::milliseconds;

/// Returns the milliseconds since the first call, for records.
long long ElapsedMs();

/// Header fields by name in lower case.
using Fields = std::map<std::string, std::string>;

struct Request {
  std::string method;
  std::string target;
  Fields fields;
  std::string body;
};

/// What a client has received of an answer.
struct Answer {
  int status = 0;
  Fields fields;
  std::string body;
  /// The framing shows that nothing is missing.
  bool complete = false;
  /// Ended by a reset or a time-out instead of a close.
  bool broken = false;
};

/// Returns a port of the loopback address that is free now.
int FreePort();
/// Listens at the port of the loopback address. Returns the descriptor.
int Listen(int port);
/// Connects to the port. Returns a negative number if that fails.
int Connect(int port, Milliseconds timeout);
/// Returns whether all bytes were handed to the kernel.
bool Write(int descriptor, const std::string& bytes);

/// A connection whose bytes are read into a buffer.
class Reader {
 public:
  explicit Reader(int open_descriptor) : descriptor(open_descriptor) {}

  /// Reads one request. Returns false if the connection ends before.
  bool ReadRequest(Request* request, TimePoint deadline);
  /// Reads one answer, as far as it comes.
  Answer ReadAnswer(TimePoint deadline);

 private:
  bool ReadMore(TimePoint deadline);
  bool ReadHead(std::string* head, TimePoint deadline);
  bool ReadBytes(std::size_t count, std::string* bytes, TimePoint deadline);
  bool ReadChunks(std::string* body, TimePoint deadline);

  int descriptor;
  std::string buffer;
  bool was_reset = false;
};

/// Sends a request on a connection of its own and reads the answer.
Answer Call(int port, const std::string& request, Milliseconds timeout);

/// Serves connections with a thread each until the process ends. The handler
/// gets the descriptor and returns whether the connection stays open.
void Serve(int listening,
           const std::function<bool(const Request&, int)>& handler);

/// Returns a whole answer with its length.
std::string FormatAnswer(int status,
                         const std::string& body,
                         const std::string& more_fields = "");

}  // namespace review

#endif  // COLTSFOOTVANE_REVIEW_RIG_2_HTTP_H_
