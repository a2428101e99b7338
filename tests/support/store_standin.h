#ifndef COLTSFOOTVANE_TESTS_SUPPORT_STORE_STANDIN_H_
#define COLTSFOOTVANE_TESTS_SUPPORT_STORE_STANDIN_H_

#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "support/loopback_server.h"

namespace coltsfootvane::testing {

/// What the stand-in does wrong, until it is changed.
struct StoreFaults {
  bool unavailable = false;    ///< Answers 503 without doing anything.
  bool silent = false;         ///< Reads and never answers.
  bool loses_answers = false;  ///< Does writes and closes without an answer.
  bool history_gone = false;   ///< Answers watches with 410, once.
  bool loses_watches = false;  ///< Never answers watches.
};

/// Stands in for the platform's store, by its published protocol.
class StoreStandin {
 public:
  StoreStandin(boost::asio::io_context* io, const std::string& host);

  /// Writes as the operators or endpoints do, whatever the faults.
  void Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& spec);
  /// The same with the text of a spec that need not be readable.
  void PutText(const std::string& kind,
               const std::string& name,
               const std::string& spec);
  void Remove(const std::string& kind, const std::string& name);
  /// Returns the spec, or null.
  nlohmann::json Get(const std::string& kind, const std::string& name) const;

  LoopbackServer server;
  StoreFaults faults;
  int calls = 0;

 private:
  struct Object {
    std::int64_t revision = 0;
    std::string spec = "null";  ///< As JSON text.
  };
  struct Event {
    std::int64_t revision = 0;
    std::string kind;
    std::string json;
  };
  struct Waiting {
    std::string kind;
    std::int64_t revision = 0;
    std::shared_ptr<net::TcpStream> stream;
  };

  void OnRequest(const ReceivedRequest& request,
                 const std::shared_ptr<net::TcpStream>& stream);
  void OnGet(const std::string& kind,
             const std::string& name,
             const std::map<std::string, std::string>& query,
             const std::shared_ptr<net::TcpStream>& stream);
  void OnWrite(const std::string& method,
               const std::string& kind,
               const nlohmann::json& object,
               const std::shared_ptr<net::TcpStream>& stream);
  void Note(const std::string& kind, const std::string& name, bool deleted);
  bool AnswerWatch(const Waiting& waiting);

  std::int64_t revision = 100;
  std::map<std::string, std::map<std::string, Object>> kinds;
  std::vector<Event> events;
  std::vector<Waiting> waiting;
};

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_SUPPORT_STORE_STANDIN_H_
