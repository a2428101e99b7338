#ifndef COLTSFOOTVANE_REVIEW_STANDINS_STORE_H_
#define COLTSFOOTVANE_REVIEW_STANDINS_STORE_H_

#include <condition_variable>
#include <cstdint>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "http.h"

namespace review {

/// The platform's store: objects by kind and name, lists, watches, conditional
/// writes. Calls with `serializable=1` see the state of `stale_s` ago.
class Store {
 public:
  Store(const std::string& ip, int port, double stale_seconds = 0);

  /// Writes as the operator or a replica does. Returns the time of the
  /// acknowledgement.
  double Put(const std::string& kind,
             const std::string& name,
             const nlohmann::json& spec);
  void Remove(const std::string& kind, const std::string& name);

 private:
  struct Event {
    std::int64_t revision = 0;
    double at = 0;
    std::string kind;
    nlohmann::json object;
    bool deleted = false;
  };
  struct Query {
    std::string kind;
    std::string name;
    std::map<std::string, std::string> values;
  };

  static Query ReadTarget(const std::string& target);
  void OnRequest(const Connection* connection, const Message& request);
  std::string Get(const Query& query);
  std::string Watch(const Query& query, double cutoff_age);
  std::string WriteObject(const Query& query, const Message& request);
  nlohmann::json Append(const std::string& kind,
                        const std::string& name,
                        const nlohmann::json& spec,
                        bool deleted = false);
  /// Returns the objects of a kind as of that time, and the revision then.
  std::map<std::string, nlohmann::json> StateAt(const std::string& kind,
                                                double time,
                                                std::int64_t* at) const;

  std::mutex mutex;
  std::condition_variable changed;
  double stale_s;
  std::int64_t revision = 1;
  std::vector<Event> events;
  std::unique_ptr<Server> server;
};

}  // namespace review

#endif  // COLTSFOOTVANE_REVIEW_STANDINS_STORE_H_
