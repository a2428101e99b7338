#ifndef COLTSFOOTVANE_REVIEW_STANDINS_HTTP_H_
#define COLTSFOOTVANE_REVIEW_STANDINS_HTTP_H_

#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

/// Seconds of the steady clock since the program began.
double Now();
void SleepFor(double seconds);

using Fields = std::vector<std::pair<std::string, std::string>>;

/// A request or an answer.
struct Message {
  std::string method;
  std::string target;
  int status = 0;
  Fields fields;
  std::string body;

  /// Returns the value of the first field of that name, or an empty text.
  std::string Field(std::string_view name) const;
};

/// A blocking TCP connection.
class Connection {
 public:
  explicit Connection(int connected) : descriptor(connected) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// Returns false at the end of the connection or for malformed input.
  bool ReadRequest(Message* request);
  /// Returns whether the answer is complete: by its length, by its last chunk,
  /// or, without either, by a regular end of the connection.
  bool ReadAnswer(Message* answer, double deadline);
  bool Write(std::string_view bytes) const;
  /// Reads at most `most` bytes. Returns 0 at the end, -1 on a failure.
  long Read(std::string* bytes, std::size_t most) const;
  /// Ends the sending side.
  void FinishSending() const;

 private:
  bool ReadMore();
  bool ReadHead(Message* message);
  bool ReadChunks(std::string* body);
  bool ReadLength(std::size_t length, std::string* body);

  int descriptor;
  double deadline = 1e12;
  bool ended = false;  ///< By the peer, in the regular way.
  std::string buffer;
};

std::unique_ptr<Connection> Connect(const std::string& ip,
                                    int port,
                                    double timeout_s);

/// How a connection differs from those of the loopback device.
struct LinkOptions {
  int segment_bytes = 0;  ///< Largest segment; 0 for that of the device.
  int window_bytes = 0;   ///< Receive buffer; 0 for the default.
};

/// The same over a link with smaller segments and windows.
std::unique_ptr<Connection> ConnectOver(const LinkOptions& link,
                                        const std::string& ip,
                                        int port,
                                        double timeout_s);

/// Formats an answer with a length.
std::string FormatAnswer(int status,
                         const Fields& fields,
                         std::string_view body);

using Handler = std::function<void(Connection*, const Message&)>;

/// Listens at an address. Each connection has a thread, which passes its
/// requests one after the other to the handler.
class Server {
 public:
  Server(const std::string& ip, int port, Handler request_handler);

 private:
  void Accept(int listener) const;

  Handler handler;
};

}  // namespace review

#endif  // COLTSFOOTVANE_REVIEW_STANDINS_HTTP_H_
