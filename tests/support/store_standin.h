#ifndef COLTSFOOTVANE_TESTS_SUPPORT_STORE_STANDIN_H_
#define COLTSFOOTVANE_TESTS_SUPPORT_STORE_STANDIN_H_

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <map>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "support/loopback_server.h"

namespace coltsfootvane::testing {

/// What the stand-in does wrong, until it is changed.
struct StoreFaults {
  bool unavailable = false;    ///< Answers 503 without doing anything.
  bool silent = false;         ///< Reads and never answers.
  bool away = false;           ///< Closes connections without an answer.
  bool loses_answers = false;  ///< Does writes and closes without an answer.
  bool history_gone = false;   ///< Answers watches with 410, once.
  bool loses_watches = false;  ///< Never answers watches.
  bool refuses_pages = false;  ///< Answers 503 for all pages but the first.
  /// Lists and watches that ask for it show the state of that long ago.
  Milliseconds stale_by{0};
};

/// Stands in for the platform's store, by its published protocol. In a drill it
/// is away for a moment and comes back from a copy of an earlier state.
class StoreStandin {
 public:
  /// A write that the copy lacks.
  struct LostWrite {
    std::string kind;
    std::string name;
    std::string spec;  ///< As JSON text.
    bool deleted = false;
  };

  /// A call that has reached the store, whatever the answer.
  struct Call {
    TimePoint at;
    std::string operation;  ///< `list page` is a further page of a list.
    std::string kind;
  };

  StoreStandin(boost::asio::io_context* io, const std::string& host);

  /// Answers a request that reached the store by another listener.
  void Serve(const ReceivedRequest& request,
             const std::shared_ptr<net::TcpStream>& stream) {
    this->OnRequest(request, stream);
  }
  /// Writes as the operators or endpoints do, whatever the faults.
  void Put(const std::string& kind,
           const std::string& name,
           const nlohmann::json& spec);
  /// The same with the text of a spec that need not be readable.
  void PutText(const std::string& kind,
               const std::string& name,
               const std::string& spec);
  void Remove(const std::string& kind, const std::string& name);
  /// Goes back to the state of `age` ago and begins a new era: what was written
  /// since is gone, revisions are given out again, watches are cut. Returns the
  /// lost writes in order.
  std::vector<LostWrite> Rewind(Milliseconds age);
  /// Writes a lost write again.
  void WriteAgain(const LostWrite& lost);
  /// Watches that wait on these connections are never answered.
  void DropWatches(
      const std::set<std::shared_ptr<net::TcpStream>>& connections);
  std::int64_t Revision() const { return this->revision; }
  std::int64_t Era() const { return this->era; }
  /// Returns the spec, or null.
  nlohmann::json Get(const std::string& kind, const std::string& name) const;

  LoopbackServer server;
  StoreFaults faults;
  int calls = 0;
  int refused_targets = 0;     ///< Calls that were answered with 400.
  std::vector<Call> call_log;  ///< In order, without those.
  /// Objects in a page of a list; so few that paging is used.
  std::size_t page_size = 2;
  /// Replaces the header `Store-Era` of all answers; empty leaves it out.
  std::optional<std::string> stated_era;

 private:
  static constexpr std::int64_t kFirstRevision = 100;

  struct Object {
    std::int64_t revision = 0;
    std::string spec = "null";  ///< As JSON text.
  };
  struct Event {
    std::int64_t revision = 0;
    std::string kind;
    std::string name;
    Object object;
    bool deleted = false;
    TimePoint at;
  };
  struct Waiting {
    std::string kind;
    std::int64_t revision = 0;
    bool stale = false;
    TimePoint until;
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
               const std::string& path_name,
               const nlohmann::json& object,
               const std::shared_ptr<net::TcpStream>& stream);
  void Answer(const std::shared_ptr<net::TcpStream>& stream,
              int status,
              const std::string& json) const;
  void Note(const std::string& kind, const std::string& name, bool deleted);
  bool AnswerWatch(const Waiting& waiting);
  void AnswerWatches();
  void PollWatches();
  /// Returns the revision that a call shows, which may be a stale one.
  std::int64_t VisibleRevision(bool stale) const;
  std::map<std::string, Object> ObjectsAt(const std::string& kind,
                                          std::int64_t revision) const;

  std::int64_t revision = kFirstRevision;
  std::int64_t era = 1;
  std::map<std::string, std::map<std::string, Object>> kinds;
  std::vector<Event> events;
  std::vector<Waiting> waiting;
  boost::asio::steady_timer poll;
};

}  // namespace coltsfootvane::testing

#endif  // COLTSFOOTVANE_TESTS_SUPPORT_STORE_STANDIN_H_
